#pragma once

#include <string_view>
#include <vector>

namespace bluebell {

/// Numbered events. Numbers are stable; docs/events.md is the catalogue.
enum class event_id : int {
  // 100-199: process and settings
  kHostStarted = 100,
  kDrainStarted = 102,
  kDrainFinished = 103,

  // 200-299: platform and configuration
  kConfigComplete = 250,
  kConfigWatchLost = 251,
  kConfigWatchRestored = 252,
  kConfigRowInvalid = 253,
  kConfigFromPeer = 254,
  kConfigEditAccepted = 255,
  kConfigEditUnconfirmed = 256,
  kConfigEditRefused = 257,
  kOperatorKeyRefused = 258,

  // 300-399: fleet membership and leases
  kHostStatusChanged = 300,
  kLeaseGranted = 301,
  kLeaseLapsed = 302,
  kMembershipChanged = 303,
  kHostSuperseded = 304,
  kMemberListAdopted = 305,
  kObjectInvalid = 306,

  // 400-499: rate limits and budgets
  kShareChanged = 400,
  kShareReclaimed = 401,
  kShareLapsed = 402,

  // 500-599: idempotency
  kRecordTakenOver = 500,
  kAttemptGivenUp = 501,
  kAnswerNotRecorded = 502,
  kRecordOverwritten = 503,
  kRecordInvalid = 504,

  // 600-699: routing and endpoints
  kEndpointHealthChanged = 600,
  kEndpointCrashed = 601,
  kRequestQuarantined = 602,

  // 700-799: placement
  kControlAcquired = 700,
  kControlLost = 701,
  kOrderSent = 702,
  kOrderRefused = 703,
  kModelUnplaced = 704,

  // 800-899: requests
  kRequestRefused = 800,
  kRequestFinished = 801,

  // 900-999: peer messages
  kPeerConnected = 900,
  kPeerConnectionLost = 901,
  kPeerFrameRejected = 902,
};

enum class event_level { kDebug, kInfo, kWarning, kError };

/// Name, level and meaning of one event.
struct event_kind {
  event_id id;
  event_level level;
  std::string_view name;
  std::string_view meaning;
};

/// All events in ascending order of their numbers.
const std::vector<event_kind>& EventCatalogue();

/// Returns the kind of `id`; throws `std::out_of_range` if it is not in the
/// catalogue.
const event_kind& Describe(event_id id);

}  // namespace bluebell
