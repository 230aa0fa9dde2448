#include "gateway/connection_status.h"

namespace bluebell::gateway {

const char* ToString(connection_phase phase) {
  switch (phase) {
    case connection_phase::kIdle:
      return "idle";
    case connection_phase::kReading:
      return "reading";
    case connection_phase::kServing:
      return "serving";
    case connection_phase::kClosing:
      return "closing";
  }
  return "";
}

const char* ToString(connection_cause cause) {
  switch (cause) {
    case connection_cause::kNone:
      return "open";
    case connection_cause::kAnswered:
      return "answered";
    case connection_cause::kCallerClosed:
      return "caller_closed";
    case connection_cause::kReadFailed:
      return "read_failed";
    case connection_cause::kIdleTimeout:
      return "idle_timeout";
    case connection_cause::kHeadTimeout:
      return "head_timeout";
    case connection_cause::kBodyTimeout:
      return "body_timeout";
    case connection_cause::kWriteTimeout:
      return "write_timeout";
    case connection_cause::kWriteFailed:
      return "write_failed";
    case connection_cause::kRejected:
      return "rejected";
    case connection_cause::kNoMemory:
      return "no_memory";
    case connection_cause::kAborted:
      return "aborted";
    case connection_cause::kNoAnswer:
      return "no_answer";
    case connection_cause::kException:
      return "exception";
    case connection_cause::kMadeRoom:
      return "made_room";
    case connection_cause::kStopped:
      return "stopped";
  }
  return "";
}

const char* ToString(refusal reason) {
  switch (reason) {
    case refusal::kNoRoom:
      return "no_room";
    case refusal::kNoMemory:
      return "no_memory";
    case refusal::kAcceptFailed:
      return "accept_failed";
  }
  return "";
}

}  // namespace bluebell::gateway
