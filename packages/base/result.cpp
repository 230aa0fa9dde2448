#include "base/result.h"

namespace bluebell {

const char* ToString(error_code code) {
  switch (code) {
    case error_code::kInvalidArgument:
      return "invalid_argument";
    case error_code::kNotFound:
      return "not_found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kOutcomeUnknown:
      return "outcome_unknown";
    case error_code::kTooLarge:
      return "too_large";
    case error_code::kTimeout:
      return "timeout";
    case error_code::kRefused:
      return "refused";
  }
  return "unknown";
}

}  // namespace bluebell
