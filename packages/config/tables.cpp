#include "config/tables.h"

#include <algorithm>
#include <utility>

#include "config/rows.h"

namespace bluebell::config {
namespace {

using nlohmann::json;

template <class Row>
result<json> Normalize(const json& value) {
  return ParseRow<Row>(value).map([](const Row& row) { return ToJson(row); });
}

result<json> Normalize(const std::string& table, const json& value) {
  if (table == "accounts") return Normalize<account_row>(value);
  if (table == "keys") return Normalize<key_row>(value);
  if (table == "models") return Normalize<model_row>(value);
  if (table == "adapters") return Normalize<adapter_row>(value);
  if (table == "endpoints") return Normalize<endpoint_row>(value);
  if (table == "routes") return Normalize<route_row>(value);
  return Fail(error_code::kInvalidArgument, "no such table");
}

}  // namespace

const std::vector<table_schema>& Tables() {
  using type = field_type;
  static const std::vector<table_schema> kTables = {
      {"accounts",
       {{"id", type::kText},
        {"weight", type::kInteger},
        {"rate", type::kInteger},
        {"burst", type::kInteger},
        {"priority", type::kInteger}}},
      {"keys",
       {{"digest", type::kText},
        {"account", type::kText},
        {"withdrawn", type::kBoolean}}},
      {"models",
       {{"id", type::kText},
        {"memory_bytes", type::kInteger},
        {"min_copies", type::kInteger}}},
      {"adapters",
       {{"id", type::kText},
        {"model", type::kText},
        {"memory_bytes", type::kInteger}}},
      {"endpoints",
       {{"id", type::kText},
        {"address", type::kText},
        {"zone", type::kText},
        {"kind", type::kText},
        {"group", type::kText},
        {"memory_bytes", type::kInteger},
        {"checks_fencing", type::kBoolean},
        {"max_concurrency", type::kInteger}}},
      {"routes",
       {{"id", type::kText},
        {"prefix", type::kText},
        {"group", type::kText},
        {"open", type::kBoolean},
        {"repeatable", type::kBoolean}}},
  };
  return kTables;
}

const table_schema* FindTable(const std::string& name) {
  const auto& all = Tables();
  const auto found = std::find_if(
      all.begin(), all.end(),
      [&](const table_schema& table) { return table.name == name; });
  return found == all.end() ? nullptr : &*found;
}

bool IsTombstone(const json& value) {
  if (!value.is_object()) return false;
  const auto deleted = value.find("deleted");
  return deleted != value.end() && *deleted == true;
}

result<json> ParseStored(const table_schema& table, const std::string& id,
                         const json& value) {
  auto row = Normalize(table.name, value);
  if (row && (*row)[table.id_field()] != id) {
    return Fail(error_code::kInvalidArgument,
                table.id_field() + ": allowed: the name of the row");
  }
  return row;
}

result<json> ParseEntered(const table_schema& table, const std::string& id,
                          json value) {
  if (value.is_object()) {
    value.emplace(table.id_field(), id);
    for (const auto& [name, field] : value.items()) {
      const bool known = std::any_of(table.fields.begin(), table.fields.end(),
                                     [&name = name](const field_schema& kind) {
                                       return kind.name == name;
                                     });
      if (!known) {
        // In table keys, the field name may be a plaintext key entered by
        // mistake.
        const std::string shown = table.name == "keys" ? "a field" : name;
        return Fail(error_code::kInvalidArgument,
                    shown + ": no such field in table " + table.name);
      }
    }
  }
  return ParseStored(table, id, value);
}

}  // namespace bluebell::config
