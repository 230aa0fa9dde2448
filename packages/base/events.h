#pragma once

#include <string_view>
#include <vector>

namespace bluebell {

/// Numbered events. Numbers are stable; docs/events.md is the catalogue.
enum class event_id : int {
  // 100-199: process and settings
  kHostStarted = 100,
  kHostReady = 101,
  kDrainStarted = 102,
  kDrainFinished = 103,
  kSettingsInvalid = 104,

  // 200-299: platform and configuration

  // 300-399: fleet membership and leases

  // 400-499: rate limits and budgets

  // 500-599: idempotency

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
