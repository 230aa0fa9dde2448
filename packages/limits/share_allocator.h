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
#include "limits/lease_monitor.h"
#include "limits/share_record.h"
#include "store/object_store.h"

namespace bluebell::limits {

/// Acquires, adjusts and releases this host's shares of the account budgets.
///
/// The parts in local use never exceed those in the stored record: a share is
/// lowered locally before the write and raised locally after it. A share that
/// was confirmed before the host lease lapsed is not used until a conditional
/// write has confirmed it again.
class share_allocator {
 public:
  /// Called on each change of the local parts, before a lowered share is
  /// written and after a raised one is confirmed.
  using parts_listener = std::function<void(const account_id&, int parts)>;
  /// Returns whether the tokens that are set aside fit into `parts`. Until they
  /// do, a lowered share is not released to other hosts.
  using lower_predicate = std::function<bool(const account_id&, int parts)>;

  share_allocator(store::object_store& store, const fleet::fleet_view& fleet,
                  lease_monitor& monitor, clock& time, event_log& events,
                  parts_listener on_parts, lower_predicate may_lower);

  /// Moves the account's share toward its target if a read or write is due.
  /// Called every 200 ms; each account has at most one store call in flight.
  void Reconcile(const account_id& account);

  /// Returns whether the local parts may be spent now. Checks the lease.
  bool MaySpend(const account_id& account);

 private:
  /// A write whose outcome is unknown.
  struct pending_write {
    std::string stamp;
    int parts = 0;
    std::uint64_t epoch = 0;
    revision expected;
  };
  using holder_key = std::pair<host_id, incarnation_id>;
  struct reclaim_candidate {
    std::string stamp;
    clock::time_point since;
  };
  struct account_state {
    /// Empty until read.
    std::optional<share_record> record;
    revision version;
    int parts = 0;
    /// Lease epoch in which `parts` was confirmed, or 0 if never.
    std::uint64_t confirmed_epoch = 0;
    std::optional<pending_write> unresolved_write;
    std::map<holder_key, reclaim_candidate> candidates;
    bool call_in_flight = false;
    clock::time_point next_reconcile;
    clock::time_point next_read;
  };

  void Read(const account_id& account, account_state& state);
  void OnRead(const account_id& account, const result<store::object>& found);
  void ApplyRecord(const account_id& account, account_state& state,
                   const std::optional<store::object>& found);
  void UpdateRecord(const account_id& account, account_state& state);
  void Reclaim(account_state& state, share_record& next);
  void Write(const account_id& account, account_state& state, share_record next,
             const share& own_share);
  void OnWritten(const account_id& account, const pending_write& sent,
                 const share_record& next, const store::write_result& outcome);
  void Confirm(const account_id& account, account_state& state, int parts,
               std::uint64_t epoch);
  void SetParts(const account_id& account, account_state& state, int parts);
  int TargetParts(const account_id& account);
  void RefreshHosts();
  bool MayHoldShare(const account_state& state) const;
  void LogReclaimed(const account_id& account, const share_record& before,
                    const share_record& after);
  int RecordedParts(const account_state& state) const;

  store::object_store& store_;
  const fleet::fleet_view& fleet_;
  lease_monitor& lease_monitor_;
  clock& clock_;
  event_log& events_;
  parts_listener on_parts_;
  lower_predicate may_lower_;
  std::map<account_id, account_state> accounts_;
  /// Sorted entry hosts, the time they were read, and the target parts of each
  /// account for this list.
  std::vector<host_id> hosts_;
  std::optional<clock::time_point> hosts_read_at_;
  std::map<account_id, int> targets_;
  /// Expires with this object; callbacks of late store responses check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
