#include "serving/part_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bluebell::serving {
namespace {

// The crashes of a stored part are not stored; one crash without an engine
// stands for them.
const endpoint_id kRestored;

}  // namespace

void part_quarantine::OnCrash(const std::vector<prompt_part_id>& parts,
                              const endpoint_id& engine,
                              clock::time_point sent_at,
                              clock::time_point crashed_at) {
  for (const auto& part : parts) {
    auto& entry = Touch(part);
    if (!IsQuarantined(entry)) entry.quarantined_at.reset();
    AddCrash(entry, {engine, crashed_at, sent_at});
    UpdateQuarantine(part, entry);
  }
}

void part_quarantine::OnAnswered(const std::vector<prompt_part_id>& parts,
                                 clock::time_point sent_at) {
  for (const auto& part : parts) {
    auto& entry = Touch(part);
    entry.answered = std::max(entry.answered.value_or(sent_at), sent_at);
    UpdateQuarantine(part, entry);
  }
}

part_verdict part_quarantine::Admit(const std::vector<prompt_part_id>& parts,
                                    bool may_test) {
  record* suspected = nullptr;
  for (const auto& part : parts) {
    const auto found = records_.find(part);
    if (found == records_.end() || !IsQuarantined(found->second)) continue;
    // A request with two such parts tests neither.
    if (!may_test || suspected != nullptr || !IsTrialDue(found->second)) {
      return part_verdict::kRefused;
    }
    suspected = &found->second;
  }
  if (suspected == nullptr) return part_verdict::kAllowed;
  suspected->trial_until = clock_.now() + kTrialTime;
  return part_verdict::kTrial;
}

bool part_quarantine::IsQuarantined(
    const std::vector<prompt_part_id>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](const auto& part) {
    const auto found = records_.find(part);
    return found != records_.end() && IsQuarantined(found->second);
  });
}

std::vector<part_evidence> part_quarantine::Evidence() const {
  const auto now = clock_.now();
  struct candidate {
    int crashes;
    clock::time_point newest;
    const prompt_part_id* part;
    const record* entry;
  };
  std::vector<candidate> candidates;
  for (const auto& [part, entry] : records_) {
    if (entry.crashes.empty()) continue;
    const auto newest = entry.crashes.back().at;
    if (now - newest > kReportTime && !IsQuarantined(entry)) continue;
    candidates.push_back({UnrefutedCrashes(entry), newest, &part, &entry});
  }
  std::sort(
      candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return std::tie(a.crashes, a.newest) > std::tie(b.crashes, b.newest);
      });
  if (candidates.size() > kMaxReported) candidates.resize(kMaxReported);
  std::vector<part_evidence> evidence;
  for (const auto& chosen : candidates) {
    part_evidence report;
    report.part = *chosen.part;
    for (const auto& seen : chosen.entry->crashes) {
      report.crashes.push_back(
          {seen.engine, now - seen.at, now - seen.sent_at});
    }
    if (chosen.entry->answered) {
      report.answered_age = now - *chosen.entry->answered;
    }
    evidence.push_back(std::move(report));
  }
  return evidence;
}

void part_quarantine::OnEvidence(const std::vector<part_evidence>& reported,
                                 clock::duration lateness) {
  const auto sent = clock_.now() - lateness;
  for (const auto& report : reported) {
    auto& entry = Touch(report.part);
    if (!IsQuarantined(entry)) entry.quarantined_at.reset();
    for (const auto& seen : report.crashes) {
      AddCrash(entry, {seen.engine, sent - seen.age, sent - seen.sent_age});
    }
    if (report.answered_age) {
      const auto answered = sent - *report.answered_age;
      entry.answered = std::max(entry.answered.value_or(answered), answered);
    }
    UpdateQuarantine(report.part, entry);
  }
}

std::vector<prompt_part_id> part_quarantine::TakeQuarantined() {
  return std::exchange(quarantined_, {});
}

std::vector<prompt_part_id> part_quarantine::Quarantined() const {
  std::vector<prompt_part_id> parts;
  for (const auto& [part, entry] : records_) {
    if (IsQuarantined(entry)) parts.push_back(part);
  }
  return parts;
}

std::optional<clock::duration> part_quarantine::UnansweredAge(
    const prompt_part_id& part) const {
  const auto found = records_.find(part);
  if (found == records_.end() || found->second.answered ||
      !IsQuarantined(found->second)) {
    return std::nullopt;
  }
  return clock_.now() - found->second.crashes.back().at;
}

bool part_quarantine::Restore(const prompt_part_id& part, clock::duration age) {
  if (age >= kQuarantineTime || age < -kMaxClockError) return false;
  auto& entry = Touch(part);
  if (IsQuarantined(entry)) return true;
  const auto newest = clock_.now() - std::max(age, clock::duration(0));
  AddCrash(entry, {kRestored, newest, newest});
  entry.quarantined_at = clock_.now();
  return true;
}

void part_quarantine::UpdateQuarantine(const prompt_part_id& part,
                                       record& entry) {
  if (!IsQuarantined(entry)) {
    entry.quarantined_at.reset();
  } else if (!entry.quarantined_at) {
    entry.quarantined_at = entry.crashes.back().at;
    quarantined_.push_back(part);
  }
}

part_quarantine::record& part_quarantine::Touch(const prompt_part_id& part) {
  if (records_.size() >= kMaxRecords && records_.count(part) == 0) RemoveOld();
  const auto [found, added] = records_.try_emplace(part);
  if (added) {
    found->second.trial_spread =
        std::uniform_real_distribution<double>(1, 2)(random_);
  }
  found->second.touched = clock_.now();
  return found->second;
}

// Makes room by removing the entries that were unused longest, but none that is
// quarantined.
void part_quarantine::RemoveOld() {
  std::vector<std::pair<clock::time_point, const prompt_part_id*>> removable;
  for (const auto& [part, entry] : records_) {
    if (!IsQuarantined(entry)) removable.emplace_back(entry.touched, &part);
  }
  const auto count = std::min(removable.size(), kMaxRecords / 10);
  const auto last = removable.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(removable.begin(), last, removable.end());
  for (auto it = removable.begin(); it != last; ++it) {
    records_.erase(records_.find(*it->second));
  }
}

void part_quarantine::AddCrash(record& entry, engine_crash added) {
  auto& crashes = entry.crashes;
  if (!InsertCrash(crashes, std::move(added))) return;
  if (crashes.size() <= kMaxCrashes) return;
  // One of several crashes at the same moment says nothing more.
  for (auto it = std::next(crashes.begin()); it != crashes.end(); ++it) {
    if (it->at - std::prev(it)->at >= kSameMoment) continue;
    crashes.erase(it);
    return;
  }
  crashes.erase(crashes.begin());
}

int part_quarantine::UnrefutedCrashes(const record& entry) const {
  int moments = 0;
  int restored = 0;
  std::optional<clock::time_point> last;
  for (const auto& seen : entry.crashes) {
    if (clock_.now() - seen.at > kCrashRetention) continue;
    if (entry.answered && seen.sent_at <= *entry.answered) continue;
    if (seen.engine == kRestored) {
      restored = kCrashLimit;
      continue;
    }
    if (last && seen.at - *last < kSameMoment) continue;
    last = seen.at;
    ++moments;
  }
  // Both may be the same crashes.
  return std::max(moments, restored);
}

int part_quarantine::FailedTrials(const record& entry) const {
  if (!entry.quarantined_at) return 0;
  int failed = 0;
  for (const auto& seen : entry.crashes) {
    if (seen.at - *entry.quarantined_at >= kEarlierRequests) ++failed;
  }
  return failed;
}

bool part_quarantine::IsQuarantined(const record& entry) const {
  if (entry.crashes.empty()) return false;
  if (clock_.now() - entry.crashes.back().at >= kQuarantineTime) return false;
  return UnrefutedCrashes(entry) >=
         (entry.answered ? kCrashLimitOfAnswered : kCrashLimit);
}

bool part_quarantine::IsTrialDue(const record& entry) const {
  const auto now = clock_.now();
  if (now < entry.trial_until) return false;
  std::chrono::duration<double> interval =
      entry.answered ? kTrialIntervalOfAnswered : kTrialInterval;
  for (int n = FailedTrials(entry); n > 0; --n) {
    interval *= kTrialIntervalGrowth;
  }
  const auto last =
      std::max(entry.crashes.back().at, entry.quarantined_at.value_or(now));
  return now - last >= interval * entry.trial_spread;
}

}  // namespace bluebell::serving
