#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet_timing.h"
#include "fleet/fleet_view.h"

namespace bluebell::fleet {

/// Tracks since when a condition has held without interruption. Each
/// observation proves the condition up to an expiry time.
class continuity_window {
 public:
  /// Records an observation made at `now` that is valid until `until`.
  void Renew(clock::time_point now, clock::time_point until);
  void Reset() { since_.reset(); }
  /// Start of the uninterrupted period that reaches `now`; empty if the
  /// condition does not hold at `now`.
  std::optional<clock::time_point> Start(clock::time_point now) const;

 private:
  std::optional<clock::time_point> since_;
  clock::time_point until_;
};

/// Tracks this host's contact with its peers, and the platform contact of this
/// host and of its peers. All times are on the local clock; callers pass the
/// current time, because a process that was paused must not use a stale one.
class contact_tracker {
 public:
  contact_tracker(const fleet_timing& timing, host_id self);

  /// Sets the current and the previous member list. The windows are kept: a
  /// holder whose lease clock is stopped uses one of these two lists.
  void SetMembers(std::vector<host_id> members, std::vector<host_id> previous,
                  clock::time_point now);
  /// Restarts all windows after a reset of the member list.
  void ResetWindows(clock::time_point now);
  /// Records that the platform answered a call sent at `sent`.
  void RecordOwnContact(clock::time_point sent);
  /// Records that the platform answered a read of the member list. Only this
  /// call extends the read window, which also proves that the list is current.
  void RecordMembersRead(clock::time_point sent, clock::time_point now);
  /// Records that a peer reported a platform contact of this age.
  void RecordReportedContact(clock::duration age, clock::time_point now);
  /// Records that `peer`, whose process started at `started`, answered a ping
  /// sent at `sent`.
  void RecordAnswer(const host_id& peer, clock::time_point sent,
                    clock::time_point started, clock::time_point now);

  host_status Evaluate(clock::time_point now) const;
  /// Age of the most recent known platform contact.
  std::optional<clock::duration> ContactAge(clock::time_point now) const;
  /// Whether `peer` answered a ping sent at most `limit` ago.
  bool RespondedWithin(const host_id& peer, clock::duration limit,
                       clock::time_point now) const;
  /// Start of the uninterrupted period in which this host read the member list
  /// from the platform within T and received ping answers from at least half of
  /// its members, which intersects every majority. Unless the lease holder is
  /// known to use the current list, half of the previous list is required too.
  std::optional<clock::time_point> WindowStart(bool holder_uses_current_list,
                                               clock::time_point now) const;

 private:
  struct ping_answer {
    clock::time_point sent;
    clock::time_point started;
  };

  bool MajorityConfirmsOutage(clock::time_point now) const;
  clock::time_point QuorumValidUntil(const std::vector<host_id>& hosts) const;
  void RenewQuorumWindows(clock::time_point now);

  fleet_timing timing_;
  host_id self_;
  std::vector<host_id> members_;
  std::vector<host_id> previous_;
  std::map<host_id, ping_answer> ping_answers_;
  std::optional<clock::time_point> newest_contact_;
  std::optional<clock::time_point> members_read_sent_;
  continuity_window read_window_;
  continuity_window quorum_window_;
  continuity_window previous_quorum_window_;
};

}  // namespace bluebell::fleet
