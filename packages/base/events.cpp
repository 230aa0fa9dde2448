#include "base/events.h"

#include <algorithm>
#include <stdexcept>

namespace bluebell {

const std::vector<event_kind>& EventCatalogue() {
  using id = event_id;
  using level = event_level;
  static const std::vector<event_kind> kCatalogue = {
      // 100-199: process and settings
      {id::kHostStarted, level::kInfo, "host_started",
       "The process listens for callers"},
      {id::kHostReady, level::kInfo, "host_ready",
       "The host has a configuration and accepts requests"},
      {id::kDrainStarted, level::kInfo, "drain_started",
       "The host is leaving and waits for open requests"},
      {id::kDrainFinished, level::kInfo, "drain_finished",
       "The last open request ended"},
      {id::kSettingsInvalid, level::kError, "settings_invalid",
       "The settings file has errors"},

      // 200-299: platform and configuration

      // 300-399: fleet membership and leases

      // 400-499: rate limits and budgets

      // 500-599: idempotency

      // 600-699: routing and endpoints
      {id::kEndpointHealthChanged, level::kInfo, "endpoint_health_changed",
       "An endpoint became usable or unusable for this host"},
      {id::kEndpointCrashed, level::kWarning, "endpoint_crashed",
       "An endpoint died or restarted while requests were in flight"},
      {id::kRequestQuarantined, level::kWarning, "request_quarantined",
       "A request was refused because endpoints died while running it"},

      // 700-799: placement
      {id::kControlAcquired, level::kInfo, "control_acquired",
       "This host controls the engines"},
      {id::kControlLost, level::kWarning, "control_lost",
       "This host no longer controls the engines"},
      {id::kOrderSent, level::kDebug, "order_sent",
       "An engine was ordered to load or unload a model or adapter"},
      {id::kOrderRefused, level::kWarning, "order_refused",
       "An engine refused an order because of its fencing number"},
      {id::kModelUnplaced, level::kError, "model_unplaced",
       "No engine has room for a model; it is loaded when requests wait"},

      // 800-899: requests
      {id::kRequestRefused, level::kInfo, "request_refused",
       "A caller got a problem document"},
      {id::kRequestFinished, level::kInfo, "request_finished",
       "A caller got the whole answer"},

      // 900-999: peer messages
  };
  return kCatalogue;
}

const event_kind& Describe(event_id id) {
  const auto& all = EventCatalogue();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [id](const event_kind& kind) { return kind.id == id; });
  if (found == all.end()) throw std::out_of_range("event not in catalogue");
  return *found;
}

}  // namespace bluebell
