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

/// Writes the record of this host and renews its lease.
///
/// Each lease term has its own incarnation: when the lease lapses,
/// `incarnation()` changes and the rights of the previous one are lost.
/// Otherwise a holder whose rights were reclaimed while it was paused would use
/// them again after its next renewal.
///
/// The lease is granted once the record was written and a member list requested
/// after the answer to this write contains this host. The list in use is then
/// at least as new as any that was current when the record appeared.
class lease_keeper {
 public:
  struct dependencies {
    store::object_store& store;
    clock& time;
    event_log& events;
    /// Whether the current status is outage.
    std::function<bool()> in_outage;
    /// Called with the send time of each call that the platform answered.
    std::function<void(clock::time_point)> on_contact;
  };

  lease_keeper(dependencies deps, const fleet_timing& timing, host_id self,
               host_addresses addresses);
  ~lease_keeper();

  /// Whether the lease is held now; starts a new term if it has expired.
  bool Holds();
  const incarnation_id& incarnation() const { return incarnation_; }
  /// Whether `incarnation` is an earlier term of this process.
  bool IsFormerTerm(const incarnation_id& incarnation) const;

  /// Reads or writes the record if due. `list_version` is the version of the
  /// member list that this host uses.
  void Tick(revision list_version);
  /// Call when the member list requested at `sent` was received.
  void OnMembersRead(clock::time_point sent, bool is_member);
  void SetLeaving() { leaving_ = true; }
  /// Gives up the lease permanently and calls `done` after one attempt to
  /// record this.
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
  void OnWritten(const attempt& attempted, store::write_result outcome);
  void OnCommitted(const attempt& attempted, revision version);
  void OnRecordRead(const std::optional<store::object>& current);
  void OnSuperseded(revision version);
  void RetryLater();
  void FinishRelease();

  dependencies deps_;
  fleet_timing timing_;
  host_id self_;
  host_addresses addresses_;
  std::string process_id_;
  std::uint64_t term_ = 0;
  incarnation_id incarnation_;
  host_lease lease_;

  /// Record version expected by the next conditional write; empty if the record
  /// must be read first.
  std::optional<revision> version_;
  bool request_pending_ = false;
  std::uint64_t write_count_ = 0;
  bool has_written_ = false;
  /// The last write, and whether it is known to have taken effect.
  attempt last_write_;
  bool last_committed_ = false;
  clock::time_point not_before_;
  /// Send time of the latest committed write of a term whose lease is not
  /// granted yet, and when the commit became known.
  std::optional<clock::time_point> pending_grant_sent_;
  clock::time_point pending_grant_committed_;
  /// Version of a record written by another process of this host, and when it
  /// was first seen.
  revision superseding_version_;
  clock::time_point superseded_at_;
  bool leaving_ = false;
  bool released_ = false;
  std::function<void()> on_released_;
  std::shared_ptr<bool> alive_;
};

}  // namespace bluebell::fleet
