#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/store_version.h"

namespace bluebell::serving {

/// The stored record of the host that may send orders to engines.
struct lease_record {
  /// Revision of the object; 0 if it does not exist.
  std::uint64_t revision = 0;
  host_id holder;
  /// Unique to one process of the holder.
  std::string incarnation;
  /// The holder has stopped sending orders.
  bool released = false;
  /// Era of the store (`deployment_store::Era`) as known to the writer.
  std::uint64_t written_era = 0;
  /// Era of the response that returned the record.
  std::uint64_t store_era = 0;
};

/// Lease on the right to send orders to engines.
///
/// Engines do not check fencing numbers, so the orders of two holders must be
/// separated in time. The holder acts only for `kValidity` after it sent its
/// last successful renewal. Another host takes over only after it saw the
/// record unchanged for `kValidity`, the required pause between two holders,
/// and a margin; the conditional write resolves races. A suspended holder
/// cannot act late because the clock includes suspended time.
///
/// A store that is restored from an older copy loses renewals and takeovers,
/// and assigns revisions again. Versions are therefore ordered by era, then by
/// revision. A missing record, or one whose writer knew an earlier era than the
/// store's, does not identify the last holder: every host waits as after a lost
/// holder, counted from its first read. The process that held the lease until
/// then goes on at once while no other can have taken over.
class placement_lease {
 public:
  /// Time after sending a renewal for which the holder may act on it.
  static constexpr std::chrono::milliseconds kValidity{1200};
  /// Time between renewals; two may be lost within `kValidity`.
  static constexpr std::chrono::milliseconds kRenewal{400};
  /// Covers the time until an order reaches its engine.
  static constexpr std::chrono::milliseconds kMargin{400};

  /// `pause` is the minimum time between the orders of two holders.
  placement_lease(const clock& source, host_id self, std::string incarnation,
                  clock::duration pause)
      : clock_(source),
        self_(std::move(self)),
        incarnation_(std::move(incarnation)),
        pause_(pause) {}

  /// The record was read; the result may be seconds old.
  void OnRead(const lease_record& read);
  /// The record to write now, on condition that its revision is unchanged;
  /// none if there is nothing to write.
  std::optional<lease_record> NextWrite() const;
  /// A write sent at `sent` succeeded and gave the record `version`.
  void OnWritten(const store_version& version, bool released,
                 clock::time_point sent);
  /// Stops acting; `NextWrite` then releases the lease once.
  void Resign() { resigned_ = true; }
  /// May hold the lease again after `Resign`.
  void Return() { resigned_ = false; }

  /// Whether this host may send an order now. Must be checked after every wait.
  bool MayAct() const;
  /// Increases with each grant of the lease, over eras too; 0 before the first.
  std::uint64_t fencing_number() const { return fencing_number_; }
  const lease_record& known() const { return known_; }

 private:
  // Whether the record identifies the last holder.
  static bool IsCurrent(const lease_record& record) {
    return record.revision != 0 && record.written_era == record.store_era;
  }
  bool IsHeldBySelf() const {
    return IsCurrent(known_) && known_.holder == self_ &&
           known_.incarnation == incarnation_ && !known_.released;
  }
  // Time without a renewal after which the holder counts as lost.
  clock::duration Silence() const { return kValidity + pause_ + kMargin; }

  const clock& clock_;
  host_id self_;
  std::string incarnation_;
  clock::duration pause_;
  lease_record known_;
  bool read_once_ = false;
  clock::time_point unchanged_since_;
  std::optional<clock::time_point> renewed_;
  /// Same as `renewed_`, but kept when the store is restored.
  std::optional<clock::time_point> held_;
  std::uint64_t fencing_number_ = 0;
  bool resigned_ = false;
};

}  // namespace bluebell::serving
