#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "fleet/fleet_view.h"
#include "limits/lease_guard.h"
#include "limits/share_record.h"
#include "store/object_store.h"

namespace bluebell::limits {

/// This host's fractions of the accounts' budgets.
///
/// The parts in use locally never exceed those that the platform's record
/// grants: a fraction is lowered locally first and raised locally last. A
/// fraction that was confirmed before the host lease lapsed is not used until a
/// conditional write has confirmed it again.
class share_ledger {
 public:
  /// Told of each change of the local parts, before a lowered fraction is
  /// written and after a raised one is confirmed.
  using parts_listener = std::function<void(const account_id&, int parts)>;
  /// Whether the tokens that are set aside fit into so many parts. Until then
  /// a lowered fraction is not given to others.
  using lower_check = std::function<bool(const account_id&, int parts)>;

  share_ledger(store::object_store& store, const fleet::fleet_view& fleet,
               lease_guard& guard, clock& time, event_log& events,
               parts_listener on_parts, lower_check may_lower);

  /// Takes the next step for `account`, if one is due. Called every 100 ms or
  /// so; makes at most one platform call at a time.
  void Step(const account_id& account);

  /// Whether the local parts may be spent from now. Checks the lease.
  bool MaySpend(const account_id& account);

 private:
  /// A write whose outcome is not known yet.
  struct open_write {
    std::string stamp;
    int parts = 0;
    std::uint64_t span = 0;
    revision expected;
  };
  using holder = std::pair<host_id, incarnation_id>;
  struct reclaim_candidate {
    std::string stamp;
    clock::time_point since;
  };
  struct budget {
    /// Empty until read.
    std::optional<share_record> record;
    revision version;
    int parts = 0;
    /// Lease span in which `parts` was confirmed; 0: never.
    std::uint64_t confirmed_span = 0;
    std::optional<open_write> unresolved;
    std::map<holder, reclaim_candidate> candidates;
    bool busy = false;
    clock::time_point next_step;
    clock::time_point next_read;
  };

  void Read(const account_id& account, budget& own);
  void OnRead(const account_id& account, const result<store::object>& found);
  void Adopt(const account_id& account, budget& own,
             const std::optional<store::object>& found);
  void Decide(const account_id& account, budget& own);
  void Reclaim(budget& own, share_record& next);
  void Write(const account_id& account, budget& own, share_record next,
             const share& mine);
  void OnWritten(const account_id& account, const open_write& sent,
                 const share_record& next, const store::write_result& outcome);
  void Confirm(const account_id& account, budget& own, int parts,
               std::uint64_t span);
  void SetParts(const account_id& account, budget& own, int parts);
  int TargetParts(const account_id& account);
  void ReadHosts();
  bool HoldsAny(const budget& own) const;
  void LogReclaimed(const account_id& account, const share_record& before,
                    const share_record& after);
  int RecordedParts(const budget& own) const;

  store::object_store& store_;
  const fleet::fleet_view& fleet_;
  lease_guard& guard_;
  clock& clock_;
  event_log& events_;
  parts_listener on_parts_;
  lower_check may_lower_;
  std::map<account_id, budget> budgets_;
  /// Hosts that callers may use, when they were read, and the target parts of
  /// each account with them.
  std::vector<host_id> hosts_;
  std::optional<clock::time_point> hosts_read_;
  std::map<account_id, int> targets_;
  /// Expires with this object; late answers of the store check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
