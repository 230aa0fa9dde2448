#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/result.h"

namespace bluebell::config {

/// Name prefix of all configuration rows in the object store.
inline constexpr const char* kObjectPrefix = "config/";

enum class field_type { kText, kInteger, kBoolean };

struct field_schema {
  std::string name;
  field_type type;
};

/// Schema of a table. The first field is the id, which is also the row's name.
struct table_schema {
  std::string name;
  std::vector<field_schema> fields;

  const std::string& id_field() const { return fields.front().name; }
};

/// All tables, ordered so that rows refer only to earlier tables.
const std::vector<table_schema>& Tables();

/// Returns the table with that name, or null.
const table_schema* FindTable(const std::string& name);

/// Whether the value marks a removed row.
bool IsTombstone(const nlohmann::json& value);

/// Validates a stored value. Returns it with defaults filled in and without
/// fields that are not in the schema, such as the writer id. Fails with
/// `kInvalidArgument`.
result<nlohmann::json> ParseStored(const table_schema& table,
                                   const std::string& id,
                                   const nlohmann::json& value);

/// Like `ParseStored`, for operator input: fills in a missing id and rejects
/// unknown fields.
result<nlohmann::json> ParseEntered(const table_schema& table,
                                    const std::string& id,
                                    nlohmann::json value);

}  // namespace bluebell::config
