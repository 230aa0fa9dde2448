#pragma once

#include <string>
#include <tl/expected.hpp>

namespace bluebell {

/// Kinds of failure that callers tell apart.
enum class error_code {
  kInvalidArgument,
  kNotFound,
  kConflict,
  /// The operation certainly did not take place.
  kUnavailable,
  /// The operation may have taken place.
  kOutcomeUnknown,
  kTooLarge,
  kTimeout,
  kRefused,
};

/// Returns the stable lower-case name of `code`.
const char* ToString(error_code code);

struct error {
  error_code code;
  std::string detail;
};

template <class T>
using result = tl::expected<T, error>;

/// Shorthand for a failed `result`.
inline tl::unexpected<error> Fail(error_code code, std::string detail) {
  return tl::unexpected<error>(error{code, std::move(detail)});
}

}  // namespace bluebell
