#include "fleet/contact_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bluebell::fleet {
namespace {

void KeepLatest(std::optional<clock::time_point>& latest,
                clock::time_point candidate) {
  if (!latest || *latest < candidate) latest = candidate;
}

}  // namespace

void continuity_window::Renew(clock::time_point now, clock::time_point until) {
  if (!since_ || now > until_) {
    since_.reset();
    if (now <= until) since_ = now;
  }
  until_ = until;
}

std::optional<clock::time_point> continuity_window::Start(
    clock::time_point now) const {
  return since_ && now <= until_ ? since_ : std::nullopt;
}

contact_tracker::contact_tracker(const fleet_timing& timing, host_id self)
    : timing_(timing), self_(std::move(self)) {}

void contact_tracker::SetMembers(std::vector<host_id> members,
                                 std::vector<host_id> previous,
                                 clock::time_point now) {
  members_ = std::move(members);
  previous_ = std::move(previous);
  RenewQuorumWindows(now);
}

void contact_tracker::ResetWindows(clock::time_point now) {
  read_window_.Reset();
  quorum_window_.Reset();
  previous_quorum_window_.Reset();
  RenewQuorumWindows(now);
}

void contact_tracker::RecordOwnContact(clock::time_point sent) {
  KeepLatest(newest_contact_, sent);
}

void contact_tracker::RecordMembersRead(clock::time_point sent,
                                        clock::time_point now) {
  RecordOwnContact(sent);
  KeepLatest(members_read_sent_, sent);
  read_window_.Renew(now, *members_read_sent_ + timing_.contact_bound);
  RenewQuorumWindows(now);
}

void contact_tracker::RecordReportedContact(clock::duration age,
                                            clock::time_point now) {
  KeepLatest(newest_contact_, now - age);
}

void contact_tracker::RecordAnswer(const host_id& peer, clock::time_point sent,
                                   clock::time_point started,
                                   clock::time_point now) {
  const auto [entry, added] =
      ping_answers_.emplace(peer, ping_answer{sent, started});
  if (!added && entry->second.sent < sent) entry->second = {sent, started};
  RenewQuorumWindows(now);
}

host_status contact_tracker::Evaluate(clock::time_point now) const {
  const auto age = ContactAge(now);
  if (age && *age <= timing_.outage_threshold) return host_status::kConnected;
  return MajorityConfirmsOutage(now) ? host_status::kOutage
                                     : host_status::kIsolated;
}

// Counts the members that can confirm that no contact is known: this host, and
// peers that answered within T and have been up long enough.
bool contact_tracker::MajorityConfirmsOutage(clock::time_point now) const {
  std::size_t confirmations = 0;
  for (const auto& member : members_) {
    const auto found = ping_answers_.find(member);
    const bool confirms =
        member == self_ ||
        (found != ping_answers_.end() &&
         now - found->second.sent <= timing_.contact_bound &&
         now - found->second.started >= timing_.min_witness_uptime);
    if (confirms) ++confirmations;
  }
  return confirmations > members_.size() / 2;
}

std::optional<clock::duration> contact_tracker::ContactAge(
    clock::time_point now) const {
  if (!newest_contact_) return std::nullopt;
  return std::max(now - *newest_contact_, clock::duration::zero());
}

bool contact_tracker::RespondedWithin(const host_id& peer,
                                      clock::duration limit,
                                      clock::time_point now) const {
  const auto found = ping_answers_.find(peer);
  return found != ping_answers_.end() && now - found->second.sent <= limit;
}

std::optional<clock::time_point> contact_tracker::WindowStart(
    bool holder_uses_current_list, clock::time_point now) const {
  const auto members_read = read_window_.Start(now);
  const auto quorum = quorum_window_.Start(now);
  if (!members_read || !quorum) return std::nullopt;
  const auto start = std::max(*members_read, *quorum);
  if (holder_uses_current_list) return start;
  const auto previous = previous_quorum_window_.Start(now);
  if (!previous) return std::nullopt;
  return std::max(start, *previous);
}

// Returns until when at least half of `hosts` count as reachable. This host
// always counts.
clock::time_point contact_tracker::QuorumValidUntil(
    const std::vector<host_id>& hosts) const {
  const std::size_t needed = (hosts.size() + 1) / 2;
  if (needed == 0) return clock::time_point::max();
  std::vector<clock::time_point> valid_until;
  for (const auto& host : hosts) {
    const auto found = ping_answers_.find(host);
    if (host == self_) {
      valid_until.push_back(clock::time_point::max());
    } else if (found != ping_answers_.end()) {
      valid_until.push_back(found->second.sent + timing_.contact_bound);
    }
  }
  if (valid_until.size() < needed) return clock::time_point::min();
  std::sort(valid_until.begin(), valid_until.end(), std::greater<>());
  return valid_until[needed - 1];
}

void contact_tracker::RenewQuorumWindows(clock::time_point now) {
  quorum_window_.Renew(now, QuorumValidUntil(members_));
  previous_quorum_window_.Renew(now, QuorumValidUntil(previous_));
}

}  // namespace bluebell::fleet
