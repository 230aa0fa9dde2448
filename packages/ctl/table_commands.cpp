#include "ctl/table_commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <map>
#include <utility>

#include "config/csv.h"

namespace bluebell::ctl {
namespace {

using config::csv_row;
using config::table_schema;
using nlohmann::json;

call_result ReadTable(session& current, const table_schema& table) {
  return CallAny(current, {"GET", "/admin/v1/config/" + table.name, {}, ""});
}

// Valid rows of a table answer; reports the invalid ones.
std::vector<csv_row> ValidRows(session& current, const json& answer) {
  std::vector<csv_row> rows;
  for (const auto& item : answer.value("rows", json::array())) {
    if (item.contains("row")) {
      rows.push_back(
          {item["row"], revision(item.value("revision", std::uint64_t{0}))});
    } else {
      fmt::print(current.err, "warning: row {} is invalid: {}\n",
                 item.value("id", ""), item.value("invalid", ""));
    }
  }
  return rows;
}

call_result WriteRow(session& current, const table_schema& table,
                     const std::string& id, const json& value,
                     revision expected) {
  return CallAny(current, {"PUT", RowPath(table.name, id),
                           std::to_string(expected.value()), value.dump()});
}

void PrintRows(session& current, const table_schema& table,
               const std::vector<csv_row>& rows) {
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& field : table.fields) lines[0].push_back(field.name);
  lines[0].push_back("revision");
  for (const auto& row : rows) {
    std::vector<std::string> line;
    for (const auto& field : table.fields) {
      line.push_back(ToCell(row.value.at(field.name)));
    }
    line.push_back(std::to_string(row.version.value()));
    lines.push_back(std::move(line));
  }
  PrintTable(current.out, lines);
}

// Applies "name=value" to the row; false after reporting a usage error.
bool ApplyField(session& current, const table_schema& table,
                const std::string& text, json& row) {
  const auto equals = text.find('=');
  const std::string name = text.substr(0, equals);
  const auto field = std::find_if(
      table.fields.begin(), table.fields.end(),
      [&](const config::field_schema& kind) { return kind.name == name; });
  if (equals == std::string::npos || field == table.fields.end() ||
      name == table.id_field()) {
    fmt::print(current.err,
               "error: '{}': allowed: <field>=<value>, where "
               "<field> is one of",
               name);
    for (std::size_t i = 1; i < table.fields.size(); ++i) {
      fmt::print(current.err, " {}", table.fields[i].name);
    }
    fmt::print(current.err, "\n");
    return false;
  }
  auto value = config::ParseField(*field, text.substr(equals + 1));
  if (!value) {
    fmt::print(current.err, "error: {}\n", value.error().detail);
    return false;
  }
  row[name] = *std::move(value);
  return true;
}

/// Counts of the rows of an import by outcome.
struct import_counts {
  int unchanged = 0;
  int written = 0;
  int unconfirmed = 0;
  int conflicts = 0;
  int failed = 0;
};

exit_code ToExitCode(const import_counts& counts) {
  if (counts.failed > 0) return exit_code::kFailed;
  if (counts.conflicts > 0) return exit_code::kConflict;
  if (counts.unconfirmed > 0) return exit_code::kUnconfirmed;
  return exit_code::kDone;
}

void Report(session& current, const import_counts& counts) {
  const json summary = {{"written", counts.written},
                        {"unconfirmed", counts.unconfirmed},
                        {"unchanged", counts.unchanged},
                        {"conflicts", counts.conflicts},
                        {"failed", counts.failed}};
  if (current.json) {
    fmt::print(current.out, "{}\n", summary.dump(2));
    return;
  }
  fmt::print(current.out,
             "{} written ({} of them not yet confirmed in force), {} "
             "unchanged, {} conflicts, {} failed\n",
             counts.written, counts.unconfirmed, counts.unchanged,
             counts.conflicts, counts.failed);
}

}  // namespace

exit_code ListTable(session& current, const table_schema& table) {
  const auto answer = ReadTable(current, table);
  if (!answer) return answer.error();
  if (current.json) {
    fmt::print(current.out, "{}\n", answer->dump(2));
  } else {
    PrintRows(current, table, ValidRows(current, *answer));
  }
  return exit_code::kDone;
}

exit_code GetRow(session& current, const table_schema& table,
                 const std::string& id) {
  const auto row = ReadRow(current, table.name, id);
  if (!row) return row.error();
  if (current.json) {
    const json view = {{"revision", row->version.value()}, {"row", row->value}};
    fmt::print(current.out, "{}\n", view.dump(2));
  } else {
    PrintRows(current, table, {{row->value, row->version}});
  }
  return exit_code::kDone;
}

exit_code SetRow(session& current, const table_schema& table,
                 const std::string& id, const std::vector<std::string>& fields,
                 bool create) {
  shown_row row{revision(), json::object()};
  for (const auto& field : fields) {
    if (!ApplyField(current, table, field, row.value)) return exit_code::kUsage;
  }
  if (!create) {
    auto held = ReadRow(current, table.name, id);
    if (!held) return held.error();
    held->value.update(row.value);
    row = *std::move(held);
  }
  return ReportEdit(current, table.name + "/" + id,
                    WriteRow(current, table, id, row.value, row.version));
}

exit_code RemoveRow(session& current, const table_schema& table,
                    const std::string& id) {
  const auto answer =
      CallAny(current, {"GET", RowPath(table.name, id), {}, ""});
  if (!answer) return answer.error();
  const auto version = answer->value("revision", std::uint64_t{0});
  return ReportEdit(current, table.name + "/" + id,
                    CallAny(current, {"DELETE", RowPath(table.name, id),
                                      std::to_string(version), ""}));
}

exit_code ImportTable(session& current, const table_schema& table,
                      const std::string& text) {
  const auto rows = config::ReadCsv(table, text);
  if (!rows) {
    fmt::print(current.err, "error: {}\n", rows.error().detail);
    return exit_code::kUsage;
  }
  const auto answer = ReadTable(current, table);
  if (!answer) return answer.error();
  std::map<std::string, json> held;
  for (auto& row : ValidRows(current, *answer)) {
    held[row.value.at(table.id_field())] = row.value;
  }
  import_counts counts;
  for (const auto& row : *rows) {
    const std::string id = row.value.at(table.id_field());
    const auto same = held.find(id);
    if (same != held.end() && same->second == row.value) {
      ++counts.unchanged;
      continue;
    }
    const auto edited = WriteRow(current, table, id, row.value, row.version);
    if (!edited) {
      fmt::print(current.err, "row {} was not written\n", id);
      if (edited.error() == exit_code::kUnreachable) return edited.error();
      ++(edited.error() == exit_code::kConflict ? counts.conflicts
                                                : counts.failed);
      continue;
    }
    ++counts.written;
    if (!edited->value("confirmed", false)) ++counts.unconfirmed;
  }
  Report(current, counts);
  return ToExitCode(counts);
}

exit_code ExportTable(session& current, const table_schema& table,
                      std::ostream& out) {
  const auto answer = ReadTable(current, table);
  if (!answer) return answer.error();
  out << config::WriteCsv(table, ValidRows(current, *answer));
  return exit_code::kDone;
}

}  // namespace bluebell::ctl
