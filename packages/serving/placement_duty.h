#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// The stored record that says which host gives orders to engines.
struct duty_record {
  /// Revision of the object; 0 if it does not exist.
  std::uint64_t revision = 0;
  host_id holder;
  /// Unique to one run of the holder's process.
  std::string incarnation;
  /// The holder has stopped giving orders.
  bool released = false;
};

/// Lease on the duty to give orders to engines.
///
/// Engines do not check fencing numbers, so two hosts must never give orders
/// close together. The holder acts only for `kValidity` after it sent its last
/// successful renewal. Another host takes over only after it saw the record
/// unchanged for `kValidity`, the required pause between two holders, and a
/// margin; the conditional write settles races. A suspended holder is covered
/// because the clock counts suspended time.
class placement_duty {
 public:
  /// How long after sending a renewal the holder may act on it.
  static constexpr std::chrono::milliseconds kValidity{1200};
  /// Time between renewals: two may be lost within the validity.
  static constexpr std::chrono::milliseconds kRenewal{400};
  /// Covers the way of an order to its engine.
  static constexpr std::chrono::milliseconds kMargin{400};

  /// `pause` is the least time between the orders of two holders.
  placement_duty(const clock& source, host_id self, std::string incarnation,
                 clock::duration pause)
      : clock_(source),
        self_(std::move(self)),
        incarnation_(std::move(incarnation)),
        pause_(pause) {}

  /// The record was read; the answer may be seconds old.
  void OnRead(const duty_record& read);
  /// The record to write now, on condition that its revision is unchanged;
  /// none if there is nothing to write.
  std::optional<duty_record> NextWrite() const;
  /// A write sent at `sent` succeeded and gave the record `revision`.
  void OnWritten(std::uint64_t revision, bool released, clock::time_point sent);
  /// Stops acting; `NextWrite` then releases the duty once.
  void Resign() { resigned_ = true; }

  /// Whether this host may send an order now. To be asked after every wait.
  bool MayAct() const;
  /// Grows with each grant of the duty; 0 before the first.
  std::uint64_t fencing_number() const { return fencing_number_; }
  const duty_record& known() const { return known_; }

 private:
  bool IsOwn(const duty_record& record) const {
    return record.holder == self_ && record.incarnation == incarnation_;
  }

  const clock& clock_;
  host_id self_;
  std::string incarnation_;
  clock::duration pause_;
  duty_record known_;
  bool read_once_ = false;
  clock::time_point unchanged_since_;
  std::optional<clock::time_point> renewed_;
  std::uint64_t fencing_number_ = 0;
  bool resigned_ = false;
};

}  // namespace bluebell::serving
