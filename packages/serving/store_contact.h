#pragma once

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace bluebell::serving {

/// A host's contact to the store, in the digests that it sends.
struct store_contact_report {
  /// Time since its newest answered read was sent.
  clock::duration read_age{0};
  /// Time since which the store has answered without a pause.
  clock::duration up_for{0};
};

/// Distinguishes an outage of the store from the loss of this host's own path
/// to it.
///
/// Records of endpoints may expire while the store is away and return within
/// two seconds after it. A record that is missing then is kept for that time; a
/// record that is missing at any other time is gone. The store was away if no
/// host could read it.
///
/// Workload: some hosts are cut off from the store, or rejected by it, while it
/// serves the others and endpoints leave.
class store_contact {
 public:
  explicit store_contact(const clock& source) : clock_(source) {}

  /// A read that was sent at `sent` was answered.
  void OnRead(clock::time_point sent);
  /// The store was restored from an older copy.
  void OnRestored();
  /// Another host's report, sent `late` ago.
  void OnPeer(const store_contact_report& report, clock::duration late);
  /// None if this host has not read the store for `kMaxPause`.
  std::optional<store_contact_report> Report() const;

  /// Whether records that a listing lacks may have expired in an outage, and
  /// until when.
  bool MayLackRecords() const { return clock_.now() < LacksRecordsUntil(); }
  clock::time_point LacksRecordsUntil() const;

 private:
  // Longest time between two reads, by all hosts together, of a store that
  // answers.
  static constexpr std::chrono::milliseconds kMaxPause{1000};
  // Records return within two seconds; the rest covers their way here.
  static constexpr std::chrono::milliseconds kRecordReturnPeriod{2100};

  // The store answered a read sent at `newest`, and all reads since `since`.
  void OnContact(clock::time_point since, clock::time_point newest);

  const clock& clock_;
  std::optional<clock::time_point> own_read_;
  // By the reads of all hosts.
  std::optional<clock::time_point> newest_read_;
  clock::time_point up_since_;
  bool was_away_ = false;
};

}  // namespace bluebell::serving
