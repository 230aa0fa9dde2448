#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ctl/admin_client.h"

namespace bluebell::ctl {

enum class exit_code : int {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kUnreachable = 4,
  kUnconfirmed = 5,
};

/// Text for `--help`.
inline constexpr const char* kExitCodeHelp =
    "Exit codes: 0 done; 1 refused or failed; 2 usage; 3 conflict with another "
    "edit; 4 no host reachable; 5 stored but not confirmed in force at a "
    "majority of members (the command may be repeated)";

/// What every command works with.
struct session {
  admin_group& admin;
  bool json = false;
  std::ostream& out;
  std::ostream& err;
};

/// A row as the admin listener shows it.
struct shown_row {
  revision version;
  nlohmann::json value;
};

/// Outcome of one call: the parsed answer, or the exit code after the cause
/// was printed to `err`.
using call_result = tl::expected<nlohmann::json, exit_code>;

/// Path of a row below the admin root.
std::string RowPath(const std::string& table, const std::string& id);

/// Calls the first reachable host; an answer other than 2xx is reported.
call_result CallAny(session& current, const http_request& request);
/// Reads one answer of any host.
call_result Interpret(session& current, const result<http_answer>& answer);

/// Reads a row; the exit code is `kFailed` if it does not exist.
tl::expected<shown_row, exit_code> ReadRow(session& current,
                                           const std::string& table,
                                           const std::string& id);

/// Reports a confirmed or unconfirmed edit and returns its exit code.
exit_code ReportEdit(session& current, const std::string& name,
                     const call_result& edited);

/// Prints lines of cells in aligned columns; the first line is the header.
void PrintTable(std::ostream& out,
                const std::vector<std::vector<std::string>>& lines);

/// Text of a JSON value without the quotes of strings.
std::string ToCell(const nlohmann::json& value);

}  // namespace bluebell::ctl
