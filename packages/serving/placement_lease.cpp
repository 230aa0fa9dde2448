#include "serving/placement_lease.h"

namespace bluebell::serving {

// A record that names this process without its knowledge comes from a write
// whose response was lost. It is a valid grant of unknown age and must be
// renewed before use.
void placement_lease::OnRead(const lease_record& read) {
  if (read_once_ && read.revision == known_.revision) return;
  if (read_once_ && read.revision < known_.revision) return;  // stale read
  const bool was_own = read_once_ && IsOwn(known_) && !known_.released;
  known_ = read;
  read_once_ = true;
  unchanged_since_ = clock_.now();
  if (!IsOwn(read) || read.released) {
    renewed_.reset();
  } else if (!was_own) {
    fencing_number_ = read.revision;
  }
}

std::optional<lease_record> placement_lease::NextWrite() const {
  if (!read_once_) return std::nullopt;
  const auto now = clock_.now();
  const bool own = IsOwn(known_) && !known_.released;
  if (resigned_) {
    if (!own) return std::nullopt;
    return lease_record{known_.revision, self_, incarnation_, true};
  }
  const lease_record wanted{known_.revision, self_, incarnation_, false};
  if (own) {
    if (renewed_ && now - *renewed_ < kRenewal) return std::nullopt;
    return wanted;
  }
  // Orders of two processes on one host count as orders of one holder.
  if (known_.revision == 0 || known_.holder == self_) return wanted;
  const auto silence =
      pause_ + kMargin +
      (known_.released ? clock::duration(0) : clock::duration(kValidity));
  if (now - unchanged_since_ < silence) return std::nullopt;
  return wanted;
}

void placement_lease::OnWritten(std::uint64_t revision, bool released,
                                clock::time_point sent) {
  const bool was_own = IsOwn(known_) && !known_.released;
  known_ = {revision, self_, incarnation_, released};
  unchanged_since_ = clock_.now();
  if (released) {
    renewed_.reset();
    return;
  }
  if (!was_own) fencing_number_ = revision;
  renewed_ = sent;
}

bool placement_lease::MayAct() const {
  return !resigned_ && IsOwn(known_) && !known_.released && renewed_ &&
         clock_.now() - *renewed_ < kValidity;
}

}  // namespace bluebell::serving
