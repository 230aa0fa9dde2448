#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/result.h"

namespace bluebell::config {

/// Folder of all configuration rows in the object API.
inline constexpr const char* kObjectPrefix = "config/";

enum class field_type { kText, kInteger, kBoolean };

struct field_kind {
  std::string name;
  field_type type;
};

/// One table. The first field is the id, which is also the row's name.
struct table_kind {
  std::string name;
  std::vector<field_kind> fields;

  const std::string& id_field() const { return fields.front().name; }
};

/// All tables, those first to which rows of later ones refer.
const std::vector<table_kind>& Tables();

/// Returns the table of that name, or null.
const table_kind* FindTable(const std::string& name);

/// Whether the value marks a removed row.
bool IsTombstone(const nlohmann::json& value);

/// Checks a stored value and returns it with all defaults and without fields
/// that are not part of the table, such as the writer id.
result<nlohmann::json> ParseStored(const table_kind& table,
                                   const std::string& id,
                                   const nlohmann::json& value);

/// As `ParseStored` for a value that an operator entered: fills in an absent
/// id and refuses unknown fields.
result<nlohmann::json> ParseEntered(const table_kind& table,
                                    const std::string& id,
                                    nlohmann::json value);

}  // namespace bluebell::config
