#include "serving/request_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace bluebell::serving {

void request_quarantine::OnCrash(const std::string& fingerprint) {
  if (fingerprint.empty()) return;
  ++OnCounted(fingerprint).own;
}

void request_quarantine::OnNotice(const host_id& host,
                                  const std::string& incarnation,
                                  const std::string& fingerprint, int crashes) {
  if (fingerprint.empty() || crashes <= 0) return;
  const auto process = host.value() + "/" + incarnation;
  const auto found = records_.find(fingerprint);
  if (found != records_.end()) {
    const auto known = found->second.by_process.find(process);
    if (known != found->second.by_process.end() && known->second >= crashes) {
      return;
    }
  }
  OnCounted(fingerprint).by_process[process] = crashes;
}

void request_quarantine::OnAnswered(const std::string& fingerprint,
                                    clock::time_point sent_at) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || sent_at <= found->second.last_crash) return;
  OnRefuted(fingerprint, Sum(found->second));
}

void request_quarantine::OnRefuted(const std::string& fingerprint,
                                   int crashes) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  // The other host may know of crashes that this one does not.
  crashes = std::min(crashes, Sum(found->second));
  if (found->second.refuted >= crashes) return;
  found->second.refuted = crashes;
  found->second.refuted_at = clock_.now();
}

request_quarantine::verdict request_quarantine::Admit(
    const std::string& fingerprint, int rank) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || !IsQuarantined(fingerprint)) {
    return verdict::kAllowed;
  }
  auto& entry = found->second;
  const auto now = clock_.now();
  const bool is_due =
      now - entry.last_crash >= TrialInterval(entry) * (1 + rank);
  if (!is_due || now < entry.trial_until) return verdict::kRefused;
  entry.trial_until = now + kTrialTime;
  return verdict::kTrial;
}

bool request_quarantine::IsQuarantined(const std::string& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() && Crashes(found->second) >= kCrashLimit;
}

std::map<std::string, int> request_quarantine::OwnCrashes() const {
  std::map<std::string, int> crashes;
  std::vector<std::pair<clock::time_point, const std::string*>> refused;
  for (const auto& [fingerprint, entry] : records_) {
    if (entry.own == 0) continue;
    if (clock_.now() - entry.last_crash < kRetention) {
      crashes[fingerprint] = entry.own;
    } else if (Crashes(entry) >= kCrashLimit) {
      refused.emplace_back(entry.last_crash, &fingerprint);
    }
  }
  std::sort(refused.rbegin(), refused.rend());
  if (refused.size() > kMaxReported) refused.resize(kMaxReported);
  for (const auto& [last, fingerprint] : refused) {
    crashes[*fingerprint] = records_.at(*fingerprint).own;
  }
  return crashes;
}

std::map<std::string, int> request_quarantine::Refuted() const {
  std::map<std::string, int> refuted;
  for (const auto& [fingerprint, entry] : records_) {
    if (entry.refuted > 0 && clock_.now() - entry.refuted_at < kNoticeTime) {
      refuted[fingerprint] = entry.refuted;
    }
  }
  return refuted;
}

int request_quarantine::Sum(const record& entry) {
  int crashes = entry.own;
  for (const auto& [process, count] : entry.by_process) crashes += count;
  return crashes;
}

int request_quarantine::Crashes(const record& entry) {
  return Sum(entry) - entry.refuted;
}

bool request_quarantine::IsExpired(const record& entry) const {
  return Crashes(entry) < kCrashLimit &&
         clock_.now() - entry.last_crash >= kRetention + kNoticeTime;
}

clock::duration request_quarantine::TrialInterval(const record& entry) const {
  clock::duration interval = kRetention;
  for (int n = Crashes(entry) - kCrashLimit;
       n > 0 && interval < kMaxTrialInterval; --n) {
    interval *= kTrialIntervalGrowth;
  }
  return std::min<clock::duration>(interval, kMaxTrialInterval);
}

// Returns the record of `fingerprint` for another crash.
request_quarantine::record& request_quarantine::OnCounted(
    const std::string& fingerprint) {
  const auto now = clock_.now();
  for (auto it = records_.begin(); it != records_.end();) {
    it = IsExpired(it->second) ? records_.erase(it) : std::next(it);
  }
  if (records_.size() >= kMaxRecords && records_.count(fingerprint) == 0) {
    const auto rank = [](const record& entry) {
      return std::make_tuple(Crashes(entry) >= kCrashLimit, entry.last_crash);
    };
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [&](const auto& a, const auto& b) {
                                      return rank(a.second) < rank(b.second);
                                    }));
  }
  record& entry = records_[fingerprint];
  // Too few crashes that are too old count no more.
  if (Crashes(entry) < kCrashLimit && now - entry.last_crash >= kRetention) {
    entry.refuted = Sum(entry);
  }
  entry.last_crash = now;
  entry.trial_until = {};
  return entry;
}

}  // namespace bluebell::serving
