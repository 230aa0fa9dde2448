#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "fleet/fleet_timing.h"
#include "fleet/host_lease.h"
#include "fleet/host_record.h"
#include "store/object_store.h"

namespace bluebell::fleet {

/// Writes the record of this host and keeps its lease.
///
/// Each term of the lease is an incarnation of its own: after the lease lapsed,
/// `incarnation()` changes and rights of the former one are lost. Without
/// this, a holder whose rights were reclaimed while it was paused would use
/// them again after its next renewal.
///
/// A term starts when the record was written and a member list that was
/// requested after the answer contains this host, so that the list in use is
/// at least as new as any that was in force when the record appeared.
class lease_keeper {
 public:
  struct environment {
    store::object_store& store;
    clock& time;
    event_log& events;
    /// Whether the status at the present moment is outage.
    std::function<bool()> in_outage;
    /// Called when the platform answered a call that was sent at this time.
    std::function<void(clock::time_point)> on_contact;
  };

  lease_keeper(environment around, const fleet_timing& timing, host_id self,
               host_addresses addresses);
  ~lease_keeper();

  /// Evaluates the clock now.
  bool Holds();
  const incarnation_id& incarnation() const { return incarnation_; }
  /// Whether `incarnation` is a former term of this process.
  bool IsFormerTerm(const incarnation_id& incarnation) const;

  /// Writes the record if it is due. `list_version` is the version of the
  /// member list that this host uses.
  void Tick(revision list_version);
  /// The member list that was requested at `sent` was received.
  void OnMembersRead(clock::time_point sent, bool is_member);
  void SetLeaving() { leaving_ = true; }
  /// Gives up the lease for good and calls `done` after one attempt to write
  /// this down.
  void Release(std::function<void()> done);

 private:
  struct attempt {
    incarnation_id incarnation;
    std::uint64_t write = 0;
    clock::time_point sent;
    revision list_version;
    bool leaving = false;
    bool released = false;
  };

  void StartTerm();
  void Lapse(const char* reason);
  bool IsDue(revision list_version) const;
  void ReadRecord();
  void WriteRecord(revision list_version);
  void OnWritten(const attempt& made, store::write_result outcome);
  void OnEffective(const attempt& made, revision version);
  void OnPresent(const std::optional<store::object>& present);
  void OnRival(revision version);
  void RetryLater();
  void FinishRelease();

  environment around_;
  fleet_timing timing_;
  host_id self_;
  host_addresses addresses_;
  std::string process_;
  std::uint64_t term_ = 0;
  incarnation_id incarnation_;
  host_lease lease_;

  /// Version of the record on which the next write is conditional; empty if it
  /// must be read first.
  std::optional<revision> version_;
  bool busy_ = false;
  std::uint64_t writes_ = 0;
  bool written_ = false;
  /// The last write, and whether its effect is known.
  attempt last_;
  bool last_effective_ = false;
  clock::time_point not_before_;
  /// Latest effective write of this term and when that became known.
  std::optional<clock::time_point> granted_;
  clock::time_point granted_known_;
  /// Record of another process of this host, and since when it is unchanged.
  revision rival_;
  clock::time_point rival_seen_;
  bool leaving_ = false;
  bool released_ = false;
  std::function<void()> on_released_;
  std::shared_ptr<bool> alive_;
};

}  // namespace bluebell::fleet
