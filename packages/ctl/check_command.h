#pragma once

#include <ostream>
#include <string>

#include "ctl/session.h"

namespace bluebell::ctl {

/// Text for `check --help`.
inline constexpr const char* kCheckExitCodeHelp =
    "Exit codes: 0 nothing found; 1 findings; 2 usage, or a file cannot be "
    "read or is not JSON. Differences do not change the exit code.";

struct check_options {
  std::string file;
  /// Configuration in force; empty if there is no comparison.
  std::string against;
  bool json = false;
};

/// Checks a configuration of hosted entry hosts before it is submitted and
/// prints findings and differences. Contacts no host and prints no API key.
exit_code CheckConfigFile(const check_options& options, std::ostream& out,
                          std::ostream& err);

}  // namespace bluebell::ctl
