#include "routing/quarantine.h"

#include <algorithm>
#include <utility>

namespace bluebell::routing {
namespace {

// Bounds memory use; the entry that expires first is evicted.
constexpr std::size_t kMaxEntries = 10'000;

}  // namespace

quarantine::quarantine(const clock& source, clock::duration retention,
                       notify_function notify)
    : clock_(source), retention_(retention), notify_(std::move(notify)) {}

void quarantine::RecordCrash(const std::string& fingerprint) {
  if (fingerprint.empty()) return;
  const int crashes = ++Touch(fingerprint).own;
  if (notify_) notify_(fingerprint, crashes);
}

void quarantine::OnNotice(const host_id& sender, const std::string& fingerprint,
                          int crashes) {
  if (fingerprint.empty() || crashes <= 0) return;
  // A repeated notice must not keep the entry from expiring.
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    const auto other = found->second.by_host.find(sender);
    if (other != found->second.by_host.end() && other->second >= crashes)
      return;
  }
  int& known = Touch(fingerprint).by_host[sender];
  known = std::max(known, crashes);
}

void quarantine::Clear(const std::string& fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) return;
  found->second.own = 0;
  if (found->second.by_host.empty()) entries_.erase(found);
}

int quarantine::Crashes(const std::string& fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) return 0;
  if (found->second.expires <= clock_.now()) return 0;
  int crashes = found->second.own;
  for (const auto& [host, count] : found->second.by_host) crashes += count;
  return crashes;
}

std::map<std::string, int> quarantine::OwnCrashes() const {
  std::map<std::string, int> crashes;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.own > 0 && entry.expires > clock_.now()) {
      crashes[fingerprint] = entry.own;
    }
  }
  return crashes;
}

// Returns the entry of `fingerprint` with a new expiry, and removes expired
// entries.
quarantine::record& quarantine::Touch(const std::string& fingerprint) {
  const auto now = clock_.now();
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = it->second.expires <= now ? entries_.erase(it) : std::next(it);
  }
  if (entries_.size() >= kMaxEntries && entries_.count(fingerprint) == 0) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.expires < b.second.expires;
        }));
  }
  record& touched = entries_[fingerprint];
  touched.expires = now + retention_;
  return touched;
}

}  // namespace bluebell::routing
