#pragma once

#include <exception>
#include <string>

#include "base/result.h"

namespace bluebell {

/// Runs `parse`, which reads a JSON document, and turns its exceptions into
/// `kInvalidArgument` with `what` in front.
template <class Parse>
auto GuardParse(const char* what, Parse parse) -> result<decltype(parse())> {
  try {
    return parse();
  } catch (const std::exception& fault) {
    return Fail(error_code::kInvalidArgument,
                std::string(what) + ": " + fault.what());
  }
}

}  // namespace bluebell
