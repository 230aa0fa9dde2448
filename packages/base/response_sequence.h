#pragma once

#include "base/result.h"

namespace bluebell {

/// The heads of the responses to one request: any number of interim ones (1xx),
/// which have no body, then the final one (RFC 9110, section 15).
///
/// Only the final response is an answer. An error means that the server does
/// not follow the protocol: nothing in the response proves anything about the
/// request, and its connection must not be used again.
class response_sequence {
 public:
  /// Whether the response with `status`, the next one, is the final one.
  /// Errors: `kOutcomeUnknown` if no such status exists, `kTooLarge` after too
  /// many interim responses.
  result<bool> Add(int status);

 private:
  int interim_ = 0;
};

}  // namespace bluebell
