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
    entry.noted = entry.noted && IsQuarantined(entry);
    AddCrash(entry, {engine, crashed_at, sent_at});
    NoteQuarantine(part, entry);
  }
}

void part_quarantine::OnAnswered(const std::vector<prompt_part_id>& parts,
                                 clock::time_point sent_at) {
  for (const auto& part : parts) {
    auto& entry = Touch(part);
    entry.answered = std::max(entry.answered.value_or(sent_at), sent_at);
    entry.noted = IsQuarantined(entry);
  }
}

part_verdict part_quarantine::Admit(const std::vector<prompt_part_id>& parts) {
  std::vector<record*> suspected;
  for (const auto& part : parts) {
    const auto found = records_.find(part);
    if (found == records_.end() || !IsQuarantined(found->second)) continue;
    if (!IsTrialDue(found->second)) return part_verdict::kRefused;
    suspected.push_back(&found->second);
  }
  if (suspected.empty()) return part_verdict::kAllowed;
  for (auto* entry : suspected) {
    entry->trial_until = clock_.now() + kTrialTime;
  }
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

void part_quarantine::OnEvidence(const std::vector<part_evidence>& reported) {
  const auto now = clock_.now();
  for (const auto& report : reported) {
    auto& entry = Touch(report.part);
    entry.noted = entry.noted && IsQuarantined(entry);
    for (const auto& seen : report.crashes) {
      AddCrash(entry, {seen.engine, now - seen.age, now - seen.sent_age});
    }
    if (report.answered_age) {
      const auto answered = now - *report.answered_age;
      entry.answered = std::max(entry.answered.value_or(answered), answered);
    }
    NoteQuarantine(report.part, entry);
  }
}

std::vector<prompt_part_id> part_quarantine::TakeQuarantined() {
  return std::exchange(quarantined_, {});
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
  entry.noted = IsQuarantined(entry);
  return true;
}

void part_quarantine::NoteQuarantine(const prompt_part_id& part,
                                     record& entry) {
  const bool now_quarantined = IsQuarantined(entry);
  if (now_quarantined && !entry.noted) quarantined_.push_back(part);
  entry.noted = now_quarantined;
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

// Removes what no longer matters, at least the entry that was unused longest.
void part_quarantine::RemoveOld() {
  const auto now = clock_.now();
  for (auto it = records_.begin(); it != records_.end();) {
    const auto kept = it->second.crashes.empty()
                          ? clock::duration(kAnswerRetention)
                          : clock::duration(kCrashRetention);
    it = now - it->second.touched > kept ? records_.erase(it) : std::next(it);
  }
  if (records_.size() < kMaxRecords) return;
  records_.erase(std::min_element(records_.begin(), records_.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.touched < b.second.touched;
                                  }));
}

void part_quarantine::AddCrash(record& entry, crash added) {
  auto& crashes = entry.crashes;
  for (auto& known : crashes) {
    const auto apart =
        known.at < added.at ? added.at - known.at : known.at - added.at;
    if (known.engine != added.engine || apart >= kSameCrash) continue;
    known.sent_at = std::max(known.sent_at, added.sent_at);
    return;
  }
  const auto after = std::upper_bound(
      crashes.begin(), crashes.end(), added,
      [](const crash& a, const crash& b) { return a.at < b.at; });
  crashes.insert(after, std::move(added));
  if (crashes.size() > kMaxCrashes) crashes.erase(crashes.begin());
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

bool part_quarantine::HadAnswers(const record& entry) const {
  return entry.answered && clock_.now() - *entry.answered < kAnswerRetention;
}

bool part_quarantine::IsQuarantined(const record& entry) const {
  if (entry.crashes.empty()) return false;
  if (clock_.now() - entry.crashes.back().at >= kQuarantineTime) return false;
  return UnrefutedCrashes(entry) >=
         (HadAnswers(entry) ? kCrashLimitOfAnswered : kCrashLimit);
}

bool part_quarantine::IsTrialDue(const record& entry) const {
  if (!HadAnswers(entry)) return false;
  const auto now = clock_.now();
  if (now < entry.trial_until) return false;
  std::chrono::duration<double> interval = kTrialInterval;
  for (int n = UnrefutedCrashes(entry); n > kCrashLimitOfAnswered; --n) {
    interval *= kTrialIntervalGrowth;
  }
  return now - entry.crashes.back().at >= interval * entry.trial_spread;
}

}  // namespace bluebell::serving
