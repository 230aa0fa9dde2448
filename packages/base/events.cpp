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
      {id::kHostStatusChanged, level::kWarning, "host_status_changed",
       "The host became connected, went into outage or became isolated"},
      {id::kLeaseGranted, level::kInfo, "lease_granted",
       "The platform granted the host lease"},
      {id::kLeaseLapsed, level::kWarning, "lease_lapsed",
       "The host lease expired or was taken; exclusive rights are lost"},
      {id::kMembershipChanged, level::kInfo, "membership_changed",
       "This host added or removed a member"},
      {id::kHostSuperseded, level::kError, "host_superseded",
       "Another process writes the host record of this host"},
      {id::kMemberListAdopted, level::kInfo, "member_list_adopted",
       "A newer member list is in force at this host"},
      {id::kObjectInvalid, level::kError, "object_invalid",
       "A membership object or host record cannot be read"},

      // 400-499: rate limits and budgets

      // 500-599: idempotency

      // 600-699: routing and endpoints

      // 700-799: placement

      // 800-899: requests
      {id::kRequestRefused, level::kInfo, "request_refused",
       "A caller got a problem document"},
      {id::kRequestFinished, level::kInfo, "request_finished",
       "A caller got the whole answer"},

      // 900-999: peer messages
      {id::kPeerConnected, level::kDebug, "peer_connected",
       "A connection to another host was opened"},
      {id::kPeerConnectionLost, level::kInfo, "peer_connection_lost",
       "An open connection to another host ended"},
      {id::kPeerFrameRejected, level::kWarning, "peer_frame_rejected",
       "A message from another host was malformed or too large"},
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
