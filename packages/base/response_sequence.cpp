#include "base/response_sequence.h"

#include <fmt/format.h>

namespace bluebell {
namespace {

constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
// Bounds what a server can send without ever answering; a sound one sends few.
constexpr int kMaxInterimResponses = 32;

}  // namespace

result<bool> response_sequence::Add(int status) {
  if (status < kMinStatus || status > kMaxStatus) {
    return Fail(error_code::kOutcomeUnknown,
                fmt::format("status {:03} does not exist", status));
  }
  if (status >= kMinFinalStatus) return true;
  // Answers a request to change the protocol, which no reader here sends.
  if (status == kSwitchingProtocols) {
    return Fail(error_code::kOutcomeUnknown, "unexpected change of protocol");
  }
  if (++interim_ > kMaxInterimResponses) {
    return Fail(error_code::kTooLarge, "too many interim responses");
  }
  return false;
}

}  // namespace bluebell
