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
      {id::kDrainStarted, level::kInfo, "drain_started",
       "The host is leaving and waits for open requests"},
      {id::kDrainFinished, level::kInfo, "drain_finished",
       "The last open request ended"},

      // 200-299: platform and configuration
      {id::kConfigComplete, level::kInfo, "config_complete",
       "The host has a first complete configuration"},
      {id::kConfigWatchLost, level::kWarning, "config_watch_lost",
       "A list or watch of the configuration failed or was not answered in "
       "time"},
      {id::kConfigWatchRestored, level::kInfo, "config_watch_restored",
       "The platform answers lists and watches of the configuration again"},
      {id::kConfigRowInvalid, level::kWarning, "config_row_invalid",
       "A stored row is invalid and is not in force"},
      {id::kConfigFromPeer, level::kInfo, "config_from_peer",
       "Newer rows were taken from another host"},
      {id::kConfigEditAccepted, level::kInfo, "config_edit_accepted",
       "An edit is stored and in force at a majority of members"},
      {id::kConfigEditUnconfirmed, level::kWarning, "config_edit_unconfirmed",
       "An edit is stored, but a majority of members did not confirm it in "
       "time"},
      {id::kConfigEditRefused, level::kInfo, "config_edit_refused",
       "An edit was refused or its outcome is unknown"},
      {id::kOperatorKeyRefused, level::kWarning, "operator_key_refused",
       "An admin request had no valid operator key"},

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
      {id::kShareChanged, level::kInfo, "share_changed",
       "The host's fraction of an account's budget changed"},
      {id::kShareReclaimed, level::kWarning, "share_reclaimed",
       "The fraction of a host with an expired lease was set free"},
      {id::kShareLapsed, level::kWarning, "share_lapsed",
       "The host spends no tokens until its fractions are confirmed again"},

      // 500-599: idempotency
      {id::kRecordTakenOver, level::kInfo, "record_taken_over",
       "An attempt that was never dispatched was replaced by a repeat"},
      {id::kAttemptGivenUp, level::kWarning, "attempt_given_up",
       "The platform did not confirm an attempt in time"},
      {id::kAnswerNotRecorded, level::kWarning, "answer_not_recorded",
       "An outcome was dropped because too many wait to be recorded"},
      {id::kRecordOverwritten, level::kError, "record_overwritten",
       "The record of a dispatched attempt was replaced or removed"},
      {id::kRecordInvalid, level::kError, "record_invalid",
       "An idempotency record cannot be read"},

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
