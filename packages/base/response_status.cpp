#include "base/response_status.h"

#include <fmt/format.h>

namespace bluebell {

result<void> CheckStatus(int status) {
  constexpr int kMinStatus = 100;
  constexpr int kMaxStatus = 599;
  constexpr int kSwitchingProtocols = 101;
  if (status < kMinStatus || status > kMaxStatus) {
    return Fail(error_code::kOutcomeUnknown,
                fmt::format("status {:03} does not exist", status));
  }
  if (status == kSwitchingProtocols) {
    return Fail(error_code::kOutcomeUnknown, "unexpected change of protocol");
  }
  return {};
}

}  // namespace bluebell
