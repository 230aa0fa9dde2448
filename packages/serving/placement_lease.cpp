#include "serving/placement_lease.h"

#include <tuple>

namespace bluebell::serving {
namespace {

// Fencing numbers are JSON integers, which are exact below 2^53.
constexpr int kRevisionBits = 40;

std::uint64_t ToFencingNumber(const store_version& version) {
  return (version.era << kRevisionBits) + version.revision;
}

}  // namespace

// A record that names this process without its knowledge comes from a write
// whose response was lost. It is a valid grant of unknown age and must be
// renewed before use.
void placement_lease::OnRead(const lease_record& read) {
  const auto version = [](const lease_record& record) {
    return std::tie(record.store_era, record.revision);
  };
  // Unchanged, or a stale read.
  if (read_once_ && version(read) <= version(known_)) return;
  const bool was_held = read_once_ && IsHeldBySelf();
  known_ = read;
  read_once_ = true;
  unchanged_since_ = clock_.now();
  if (!IsHeldBySelf()) {
    renewed_.reset();
    if (IsCurrent(known_)) held_.reset();
  } else if (!was_held) {
    fencing_number_ = ToFencingNumber({read.store_era, read.revision});
  }
}

std::optional<lease_record> placement_lease::NextWrite() const {
  if (!read_once_) return std::nullopt;
  const auto now = clock_.now();
  lease_record wanted = known_;
  wanted.holder = self_;
  wanted.incarnation = incarnation_;
  wanted.released = resigned_;
  wanted.written_era = known_.store_era;
  if (resigned_) {
    if (!IsHeldBySelf()) return std::nullopt;
    return wanted;
  }
  if (IsHeldBySelf()) {
    if (renewed_ && now - *renewed_ < kRenewal) return std::nullopt;
    return wanted;
  }
  if (!IsCurrent(known_)) {
    const bool held_last = held_ && now - *held_ < Silence();
    if (!held_last && now - unchanged_since_ < Silence()) return std::nullopt;
    return wanted;
  }
  // Orders of two processes on one host count as orders of one holder.
  if (known_.holder == self_) return wanted;
  const auto silence = known_.released ? pause_ + kMargin : Silence();
  if (now - unchanged_since_ < silence) return std::nullopt;
  return wanted;
}

void placement_lease::OnWritten(const store_version& version, bool released,
                                clock::time_point sent) {
  const bool was_held = IsHeldBySelf();
  // The condition on the revision is void if the store was restored meanwhile:
  // the write may have replaced the record of another holder.
  const auto written_era = known_.store_era;
  known_ = {version.revision, self_,       incarnation_,
            released,         written_era, version.era};
  unchanged_since_ = clock_.now();
  if (!IsHeldBySelf()) {
    renewed_.reset();
    held_.reset();
    return;
  }
  if (!was_held) fencing_number_ = ToFencingNumber(version);
  renewed_ = sent;
  held_ = sent;
}

bool placement_lease::MayAct() const {
  return !resigned_ && IsHeldBySelf() && renewed_ &&
         clock_.now() - *renewed_ < kValidity;
}

}  // namespace bluebell::serving
