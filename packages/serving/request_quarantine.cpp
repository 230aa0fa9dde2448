#include "serving/request_quarantine.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace bluebell::serving {

void request_quarantine::OnCrash(const std::string& fingerprint,
                                 const endpoint_id& engine,
                                 clock::time_point sent_at,
                                 clock::time_point crashed_at) {
  if (fingerprint.empty()) return;
  auto& entry = Touch(fingerprint);
  AddCrash(entry, {engine, crashed_at, sent_at});
  entry.trial_until = {};
}

void request_quarantine::OnAnswered(const std::string& fingerprint,
                                    clock::time_point sent_at) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  SetAnswered(found->second, sent_at);
}

request_quarantine::verdict request_quarantine::Admit(
    const std::string& fingerprint, int rank) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || !IsQuarantined(found->second)) {
    return verdict::kAllowed;
  }
  auto& entry = found->second;
  const auto now = clock_.now();
  const bool is_due = now - entry.learned_at >= TrialDelay(entry, rank);
  if (!is_due || now < entry.trial_until) return verdict::kRefused;
  entry.trial_until = now + kTrialTime;
  return verdict::kTrial;
}

bool request_quarantine::IsQuarantined(const std::string& fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() && IsQuarantined(found->second);
}

std::vector<request_evidence> request_quarantine::TakeEvidence() {
  const auto now = clock_.now();
  using entry_iterator = std::map<std::string, record>::const_iterator;
  std::vector<entry_iterator> newest;
  std::vector<entry_iterator> refused;
  for (auto it = records_.cbegin(); it != records_.cend(); ++it) {
    const auto& entry = it->second;
    const bool answered = entry.answered && now - *entry.answered < kNoticeTime;
    if (answered || now - entry.crashes.back().at < kRetention) {
      newest.push_back(it);
    } else if (IsQuarantined(entry)) {
      refused.push_back(it);
    }
  }
  // Many requests are in flight at an engine that crashes; those at several
  // crashes go first.
  const auto kept = std::min(newest.size(), kMaxNewest);
  const auto middle = newest.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(
      newest.begin(), middle, newest.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const record& entry) {
          return std::make_tuple(Series(entry).size(), entry.crashes.size(),
                                 entry.crashes.back().at);
        };
        return rank(a->second) > rank(b->second);
      });
  std::vector<request_evidence> evidence;
  for (auto it = newest.begin(); it != middle; ++it) {
    evidence.push_back(Report((*it)->first, (*it)->second));
  }
  const auto next = std::find_if(
      refused.begin(), refused.end(),
      [this](const auto& it) { return it->first > last_in_turn_; });
  std::rotate(refused.begin(), next, refused.end());
  if (refused.size() > kMaxInTurn) refused.resize(kMaxInTurn);
  for (const auto& it : refused) {
    evidence.push_back(Report(it->first, it->second));
    last_in_turn_ = it->first;
  }
  return evidence;
}

void request_quarantine::OnEvidence(
    const std::vector<request_evidence>& reported, clock::duration lateness) {
  const auto sent = clock_.now() - lateness;
  for (const auto& report : reported) {
    if (report.fingerprint.empty() || report.crashes.empty()) continue;
    auto& entry = Touch(report.fingerprint);
    for (const auto& seen : report.crashes) {
      AddCrash(entry, {seen.engine, sent - seen.age, sent - seen.sent_age});
    }
    if (report.answered_age) SetAnswered(entry, sent - *report.answered_age);
  }
}

std::vector<std::string> request_quarantine::TakeQuarantined() {
  std::vector<std::string> taken;
  for (auto& [fingerprint, entry] : records_) {
    const bool refused = IsQuarantined(entry);
    if (refused && !entry.announced) taken.push_back(fingerprint);
    entry.announced = refused;
  }
  return taken;
}

std::vector<std::string> request_quarantine::Quarantined() const {
  std::vector<std::string> refused;
  for (const auto& [fingerprint, entry] : records_) {
    if (IsQuarantined(entry)) refused.push_back(fingerprint);
  }
  return refused;
}

std::optional<clock::duration> request_quarantine::UnansweredAge(
    const std::string& fingerprint) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.answered ||
      !IsQuarantined(found->second)) {
    return std::nullopt;
  }
  return clock_.now() - found->second.crashes.back().at;
}

bool request_quarantine::Restore(const std::string& fingerprint,
                                 clock::duration age) {
  if (fingerprint.empty() || age >= kStoredTime || age < -kMaxClockError) {
    return false;
  }
  auto& entry = Touch(fingerprint);
  entry.announced = true;
  if (IsQuarantined(entry)) return true;
  // The crashes are not stored; as many as the refusal needs stand for them.
  const auto newest = clock_.now() - std::max(age, clock::duration(0));
  for (int number = 1; number <= kCrashLimit; ++number) {
    const auto at = newest - (kCrashLimit - number) * kSameMoment;
    AddCrash(entry,
             {endpoint_id("restored/" + std::to_string(number)), at, at});
  }
  return true;
}

void request_quarantine::OnCount(const host_id& host,
                                 const std::string& incarnation,
                                 const std::string& fingerprint, int crashes) {
  if (fingerprint.empty() || crashes <= 0) return;
  const auto process = host.value() + "/" + incarnation;
  const auto found = records_.find(fingerprint);
  const bool known = found != records_.end() &&
                     found->second.counts.count(process) > 0 &&
                     found->second.counts.at(process) >= crashes;
  if (known) return;
  const auto now = clock_.now();
  auto& entry = Touch(fingerprint);
  int& counted = entry.counts[process];
  // The engines are not known; any of the crashes may be another one.
  const int first = std::max(counted, crashes - kCrashLimit);
  counted = crashes;
  for (int number = first + 1; number <= crashes; ++number) {
    AddCrash(entry,
             {endpoint_id(process + "/" + std::to_string(number)), now, now});
  }
}

std::map<std::string, int> request_quarantine::CountsOf(
    const std::vector<request_evidence>& evidence) const {
  std::map<std::string, int> counts;
  for (const auto& report : evidence) {
    if (IsQuarantined(report.fingerprint)) {
      counts[report.fingerprint] = kCrashLimit;
    }
  }
  return counts;
}

std::map<std::string, int> request_quarantine::RefutedCounts() const {
  std::map<std::string, int> refuted;
  for (const auto& [fingerprint, entry] : records_) {
    if (refuted.size() >= kMaxNewest) break;
    if (!entry.answered || !Series(entry).empty()) continue;
    if (clock_.now() - *entry.answered < kNoticeTime) {
      refuted[fingerprint] = kAllCounts;
    }
  }
  return refuted;
}

void request_quarantine::AddCrash(record& entry, engine_crash added) const {
  auto& crashes = entry.crashes;
  // One that was dropped for its number may be reported again.
  const bool is_new =
      crashes.empty() || added.at - crashes.back().at >= kSameMoment;
  if (!InsertCrash(crashes, std::move(added))) return;
  if (is_new) entry.learned_at = clock_.now();
  if (crashes.size() <= kMaxCrashes) return;
  const auto refuted = std::find_if(
      crashes.begin(), crashes.end(),
      [&](const engine_crash& seen) { return IsRefuted(entry, seen); });
  // The first crashes prove the refusal, the last ones set the next trial.
  crashes.erase(refuted != crashes.end() ? refuted
                                         : crashes.begin() + kCrashLimit);
}

bool request_quarantine::IsRefuted(const record& entry,
                                   const engine_crash& seen) {
  return entry.answered && seen.sent_at <= *entry.answered;
}

void request_quarantine::SetAnswered(record& entry, clock::time_point sent_at) {
  entry.answered = std::max(entry.answered.value_or(sent_at), sent_at);
}

std::vector<engine_crash> request_quarantine::Series(const record& entry) {
  std::vector<engine_crash> series;
  for (const auto& seen : entry.crashes) {
    if (IsRefuted(entry, seen)) continue;
    const bool related =
        series.empty() || seen.at - series.back().at < kRetention;
    if (!related && series.size() < kCrashLimit) series.clear();
    series.push_back(seen);
  }
  return series;
}

int request_quarantine::Moments(const std::vector<engine_crash>& series) {
  int moments = series.empty() ? 0 : 1;
  for (std::size_t i = 1; i < series.size(); ++i) {
    if (series[i].at - series[i - 1].at >= kSameMoment) ++moments;
  }
  return moments;
}

bool request_quarantine::IsQuarantined(const record& entry) const {
  const auto series = Series(entry);
  if (series.size() < kCrashLimit) return false;
  return Moments(series) >= kCrashLimit ||
         clock_.now() - series.back().at >= kAnswerTime;
}

bool request_quarantine::IsExpired(const record& entry) const {
  return clock_.now() - entry.crashes.back().at >= kRetention + kNoticeTime &&
         !IsQuarantined(entry);
}

int request_quarantine::FailedTrials(const std::vector<engine_crash>& series) {
  const auto later = std::find_if(
      series.begin(), series.end(), [&series](const engine_crash& seen) {
        return seen.at - series[kCrashLimit - 1].at >= kEarlierRequests;
      });
  return Moments({later, series.end()});
}

clock::duration request_quarantine::TrialDelay(const record& entry, int rank) {
  const auto series = Series(entry);
  const bool together =
      Moments({series.begin(), series.begin() + kCrashLimit}) == 1;
  int failed = FailedTrials(series);
  if (together && failed == 0 && rank == 0) return kTrialIntervalOfMoment;
  if (together && failed > 0) --failed;
  clock::duration interval =
      entry.answered ? kTrialIntervalOfAnswered : kRetention;
  for (; failed > 0 && interval < kMaxTrialInterval; --failed) {
    interval *= kTrialIntervalGrowth;
  }
  return std::min<clock::duration>(interval, kMaxTrialInterval) * (1 + rank);
}

request_evidence request_quarantine::Report(const std::string& fingerprint,
                                            const record& entry) const {
  const auto now = clock_.now();
  request_evidence report{fingerprint, {}, std::nullopt};
  for (const auto& seen : entry.crashes) {
    report.crashes.push_back({seen.engine, now - seen.at, now - seen.sent_at});
  }
  if (entry.answered) report.answered_age = now - *entry.answered;
  return report;
}

request_quarantine::record& request_quarantine::Touch(
    const std::string& fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found != records_.end()) return found->second;
  for (auto it = records_.begin(); it != records_.end();) {
    it = IsExpired(it->second) ? records_.erase(it) : std::next(it);
  }
  if (records_.size() >= kMaxRecords) {
    const auto rank = [this](const record& entry) {
      return std::make_tuple(IsQuarantined(entry), entry.crashes.back().at);
    };
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [&](const auto& a, const auto& b) {
                                      return rank(a.second) < rank(b.second);
                                    }));
  }
  return records_[fingerprint];
}

}  // namespace bluebell::serving
