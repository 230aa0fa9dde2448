#pragma once

#include <string>

#include "base/result.h"

namespace bluebell::ctl {

/// Reads a whole file; the error names the file and the reason.
result<std::string> ReadTextFile(const std::string& name);

}  // namespace bluebell::ctl
