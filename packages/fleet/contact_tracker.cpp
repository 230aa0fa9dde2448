#include "fleet/contact_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bluebell::fleet {
namespace {

void KeepLatest(std::optional<clock::time_point>& kept,
                clock::time_point candidate) {
  if (!kept || *kept < candidate) kept = candidate;
}

}  // namespace

void evidence_window::Renew(clock::time_point now, clock::time_point until) {
  if (!since_ || now > until_) {
    since_.reset();
    if (now <= until) since_ = now;
  }
  until_ = until;
}

std::optional<clock::time_point> evidence_window::Start(
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
  RenewQuorums(now);
}

void contact_tracker::ResetWindows(clock::time_point now) {
  read_.Reset();
  half_.Reset();
  previous_half_.Reset();
  RenewQuorums(now);
}

void contact_tracker::RecordOwnContact(clock::time_point sent) {
  KeepLatest(newest_contact_, sent);
}

void contact_tracker::RecordMembersRead(clock::time_point sent,
                                        clock::time_point now) {
  RecordOwnContact(sent);
  KeepLatest(members_read_, sent);
  read_.Renew(now, *members_read_ + timing_.contact_bound);
  RenewQuorums(now);
}

void contact_tracker::RecordReportedContact(clock::duration age,
                                            clock::time_point now) {
  KeepLatest(newest_contact_, now - age);
}

void contact_tracker::RecordAnswer(const host_id& peer, clock::time_point sent,
                                   clock::time_point started,
                                   clock::time_point now) {
  const auto [entry, added] = answers_.emplace(peer, answer{sent, started});
  if (!added && entry->second.sent < sent) entry->second = {sent, started};
  RenewQuorums(now);
}

host_status contact_tracker::Evaluate(clock::time_point now) const {
  const auto age = ContactAge(now);
  if (age && *age <= timing_.outage_threshold) return host_status::kConnected;
  return MajorityVouches(now) ? host_status::kOutage : host_status::kIsolated;
}

// Counts the members that can vouch that no contact is known.
bool contact_tracker::MajorityVouches(clock::time_point now) const {
  std::size_t heard = 0;
  for (const auto& member : members_) {
    const auto found = answers_.find(member);
    const bool counts = member == self_ ||
                        (found != answers_.end() &&
                         now - found->second.sent <= timing_.contact_bound &&
                         now - found->second.started >= timing_.witness_uptime);
    if (counts) ++heard;
  }
  return heard > members_.size() / 2;
}

std::optional<clock::duration> contact_tracker::ContactAge(
    clock::time_point now) const {
  if (!newest_contact_) return std::nullopt;
  return std::max(now - *newest_contact_, clock::duration::zero());
}

bool contact_tracker::HeardWithin(const host_id& peer, clock::duration limit,
                                  clock::time_point now) const {
  const auto found = answers_.find(peer);
  return found != answers_.end() && now - found->second.sent <= limit;
}

std::optional<clock::time_point> contact_tracker::WindowStart(
    bool holder_has_present_list, clock::time_point now) const {
  const auto read = read_.Start(now);
  const auto half = half_.Start(now);
  if (!read || !half) return std::nullopt;
  const auto start = std::max(*read, *half);
  if (holder_has_present_list) return start;
  const auto previous = previous_half_.Start(now);
  if (!previous) return std::nullopt;
  return std::max(start, *previous);
}

// Returns until when at least half of `hosts` count as heard. This host always
// hears itself.
clock::time_point contact_tracker::HalfHeardUntil(
    const std::vector<host_id>& hosts) const {
  const std::size_t needed = (hosts.size() + 1) / 2;
  if (needed == 0) return clock::time_point::max();
  std::vector<clock::time_point> ends;
  for (const auto& host : hosts) {
    const auto found = answers_.find(host);
    if (host == self_) {
      ends.push_back(clock::time_point::max());
    } else if (found != answers_.end()) {
      ends.push_back(found->second.sent + timing_.contact_bound);
    }
  }
  if (ends.size() < needed) return clock::time_point::min();
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[needed - 1];
}

void contact_tracker::RenewQuorums(clock::time_point now) {
  half_.Renew(now, HalfHeardUntil(members_));
  previous_half_.Renew(now, HalfHeardUntil(previous_));
}

}  // namespace bluebell::fleet
