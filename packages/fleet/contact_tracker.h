#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet_timing.h"
#include "fleet/fleet_view.h"

namespace bluebell::fleet {

/// Time during which a condition held without interruption, as known from
/// evidence that each vouches for the condition until a certain time.
class evidence_window {
 public:
  /// Takes in evidence known from `now` on that reaches until `until`.
  void Renew(clock::time_point now, clock::time_point until);
  void Reset() { since_.reset(); }
  /// Start of the uninterrupted time up to `now`; empty if the condition does
  /// not hold at `now`.
  std::optional<clock::time_point> Start(clock::time_point now) const;

 private:
  std::optional<clock::time_point> since_;
  clock::time_point until_;
};

/// What this host knows of its own and its peers' contact with the platform
/// and with each other. Every time is on the clock of this host; callers pass
/// the present time, because a paused process must not use an old one.
class contact_tracker {
 public:
  contact_tracker(const fleet_timing& timing, host_id self);

  /// Uses a member list and the one that it replaced from now on. The windows
  /// go on: while the lease clock of a holder is stopped, the holder uses one
  /// of the two lists that are in use here.
  void SetMembers(std::vector<host_id> members, std::vector<host_id> previous,
                  clock::time_point now);
  /// Starts the windows anew, after the members were reset.
  void ResetWindows(clock::time_point now);
  /// The platform answered a call that was sent at `sent`.
  void RecordOwnContact(clock::time_point sent);
  /// The platform answered a read of the member list. Only this extends the
  /// window, which vouches for the list as well.
  void RecordMembersRead(clock::time_point sent, clock::time_point now);
  /// A peer reported a platform contact of this age.
  void RecordReportedContact(clock::duration age, clock::time_point now);
  /// `peer`, whose process runs since `started`, answered a ping that was sent
  /// at `sent`.
  void RecordAnswer(const host_id& peer, clock::time_point sent,
                    clock::time_point started, clock::time_point now);

  host_status Evaluate(clock::time_point now) const;
  /// Age of the newest known platform contact.
  std::optional<clock::duration> ContactAge(clock::time_point now) const;
  /// Whether `peer` answered a ping that was sent at most `limit` ago.
  bool HeardWithin(const host_id& peer, clock::duration limit,
                   clock::time_point now) const;
  /// Start of the uninterrupted time in which this host read the member list
  /// from the platform within T and heard at least half of its members, which
  /// meets every majority. Unless the holder of the lease in question is known
  /// to use no older list, half of the replaced list is needed as well.
  std::optional<clock::time_point> WindowStart(bool holder_has_present_list,
                                               clock::time_point now) const;

 private:
  struct answer {
    clock::time_point sent;
    clock::time_point started;
  };

  bool MajorityVouches(clock::time_point now) const;
  clock::time_point HalfHeardUntil(const std::vector<host_id>& hosts) const;
  void RenewQuorums(clock::time_point now);

  fleet_timing timing_;
  host_id self_;
  std::vector<host_id> members_;
  std::vector<host_id> previous_;
  std::map<host_id, answer> answers_;
  std::optional<clock::time_point> newest_contact_;
  std::optional<clock::time_point> members_read_;
  evidence_window read_;
  evidence_window half_;
  evidence_window previous_half_;
};

}  // namespace bluebell::fleet
