#include "ctl/session.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>

#include "base/nested_json.h"

namespace bluebell::ctl {
namespace {

using nlohmann::json;

constexpr int kConflictStatus = 409;

// Whether a 409 is about the revision; others are about unknown outcomes.
bool IsConflict(int status, const json& body) {
  return status == kConflictStatus && body.is_object() &&
         body.value("code", "") == "revision_conflict";
}

void ReportProblem(session& current, const json& body, int status) {
  if (!body.is_object()) {
    fmt::print(current.err, "error: status {}\n", status);
    return;
  }
  fmt::print(current.err, "error: {}: {} (executed: {})\n",
             body.value("title", "status " + std::to_string(status)),
             body.value("detail", ""), body.value("executed", "unknown"));
  if (!body.contains("current")) return;
  const json& now = body["current"];
  if (now.contains("row")) {
    fmt::print(current.err, "the row is now at revision {}: {}\n",
               now.value("revision", 0), now["row"].dump());
  } else if (now.value("deleted", false)) {
    fmt::print(current.err, "the row was removed at revision {}\n",
               now.value("revision", 0));
  }
}

}  // namespace

std::string RowPath(const std::string& table, const std::string& id) {
  return "/admin/v1/config/" + EncodePath(table) + "/" + EncodePath(id);
}

call_result CallAny(session& current, const http_request& request) {
  return Interpret(current, current.admin.Call(request));
}

call_result Interpret(session& current, const result<http_answer>& answer) {
  if (!answer) {
    const bool unreachable = answer.error().code == error_code::kUnavailable;
    fmt::print(current.err, "error: {}{}\n", answer.error().detail,
               unreachable ? ""
                           : "; the outcome is unknown, the command may "
                             "be repeated");
    return tl::unexpected(unreachable ? exit_code::kUnreachable
                                      : exit_code::kFailed);
  }
  json body = ParseJson(answer->body);
  if (answer->status >= 200 && answer->status < 300 && body.is_object()) {
    return body;
  }
  if (current.json && body.is_object()) {
    fmt::print(current.out, "{}\n", body.dump(2));
  }
  ReportProblem(current, body, answer->status);
  return tl::unexpected(IsConflict(answer->status, body) ? exit_code::kConflict
                                                         : exit_code::kFailed);
}

tl::expected<shown_row, exit_code> ReadRow(session& current,
                                           const std::string& table,
                                           const std::string& id) {
  const auto body = CallAny(current, {"GET", RowPath(table, id), {}, ""});
  if (!body) return tl::unexpected(body.error());
  const auto row = body->find("row");
  if (row == body->end()) {
    fmt::print(current.err, "error: the stored row is invalid: {}\n",
               body->value("invalid", ""));
    return tl::unexpected(exit_code::kFailed);
  }
  return shown_row{revision(body->value("revision", std::uint64_t{0})), *row};
}

exit_code ReportEdit(session& current, const std::string& name,
                     const call_result& edited) {
  if (!edited) return edited.error();
  const bool confirmed = edited->value("confirmed", false);
  if (current.json) {
    fmt::print(current.out, "{}\n", edited->dump(2));
  } else {
    fmt::print(
        current.out, "{} {} revision {}\n", name,
        confirmed ? "accepted at" : "stored, not yet confirmed in force,",
        edited->value("revision", std::uint64_t{0}));
  }
  return confirmed ? exit_code::kDone : exit_code::kUnconfirmed;
}

void PrintTable(std::ostream& out,
                const std::vector<std::vector<std::string>>& lines) {
  std::vector<std::size_t> widths;
  for (const auto& line : lines) {
    widths.resize(std::max(widths.size(), line.size()));
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    std::string text;
    for (std::size_t i = 0; i < line.size(); ++i) {
      text += i + 1 < line.size() ? fmt::format("{:<{}}  ", line[i], widths[i])
                                  : line[i];
    }
    out << text << "\n";
  }
}

std::string ToCell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace bluebell::ctl
