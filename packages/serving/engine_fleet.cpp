#include "serving/engine_fleet.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// The work of a plain request and the first token of a short prompt take tens
// of milliseconds at a typical engine.
constexpr double kTypicalAnswerSeconds = 0.03;
constexpr double kStartHeldSeconds = 0.2;
// Weight of the newest sample in the averages.
constexpr double kSampleWeight = 0.1;
// Weight of the newest outcome in the share of failures: an engine that fails
// everything is found after three sends.
constexpr double kOutcomeWeight = 0.25;
// Time after which half of a share of failures is forgotten, so that an
// engine that recovered is tried again.
constexpr double kForgiveSeconds = 2.0;
// Seconds that a certain failure is worth in comparison with a late answer.
constexpr double kFailureSeconds = 1.0;
// Pace and share of failures from which an engine is reported as slow or
// failing, and below which it is usual again. A third of the engines is twice
// as slow as the rest at all times, which is no news.
constexpr double kSlowPace = 2.5;
constexpr double kFailingShare = 0.5;
constexpr double kUsualPace = 2;
constexpr double kUsualShare = 0.2;
// One way to another zone and back.
constexpr double kOtherZoneSeconds = 0.004;
// An engine is drawn with a probability that falls with this power of its
// cost. Always taking the cheapest would send every host's requests to the
// same engine until the next digests tell of them.
constexpr double kCostExponent = 3;

void Average(double& value, double sample) {
  value += kSampleWeight * (sample - value);
}

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

const char* ToString(engine_verdict verdict) {
  switch (verdict) {
    case engine_verdict::kUsual:
      return "usual";
    case engine_verdict::kSlow:
      return "slow";
    case engine_verdict::kFailing:
      return "failing";
  }
  return "";
}

int engine_fleet::state::InFlight() const {
  int total = own_in_flight;
  for (const auto& [host, count] : others_in_flight) total += count;
  return total;
}

bool engine_fleet::state::HasModel(const model_id& model,
                                   clock::time_point now) const {
  const auto change = changes.find({model, adapter_id()});
  if (change != changes.end() && now - change->second.at < kRecordLag) {
    return change->second.present;
  }
  return record.resident.count(model) > 0;
}

bool engine_fleet::state::HasAdapter(const model_id& model,
                                     const adapter_id& adapter,
                                     clock::time_point now) const {
  if (!HasModel(model, now)) return false;
  const auto change = changes.find({model, adapter});
  if (change != changes.end() && now - change->second.at < kRecordLag) {
    return change->second.present;
  }
  const auto listed = record.resident.find(model);
  return listed != record.resident.end() && listed->second.count(adapter) > 0;
}

resident_models engine_fleet::state::Resident(clock::time_point now) const {
  resident_models models = record.resident;
  for (const auto& [key, change] : changes) {
    const auto& [model, adapter] = key;
    if (now - change.at >= kRecordLag || adapter.value().empty()) continue;
    if (change.present) {
      models[model].insert(adapter);
    } else if (const auto found = models.find(model); found != models.end()) {
      found->second.erase(adapter);
    }
  }
  for (const auto& [key, change] : changes) {
    const auto& [model, adapter] = key;
    if (now - change.at >= kRecordLag || !adapter.value().empty()) continue;
    if (change.present) {
      models[model];
    } else {
      models.erase(model);
    }
  }
  return models;
}

bool engine_fleet::Replace(std::vector<engine_record> records) {
  bool changed = false;
  std::set<endpoint_id> listed;
  for (auto& record : records) {
    listed.insert(record.id);
    auto [entry, added] = engines_.try_emplace(record.id);
    auto& engine = entry->second;
    if (!added && engine.record == record) continue;
    changed = true;
    const bool restarted =
        !added && engine.record.started_ms != record.started_ms;
    if (added || restarted) {
      const int own_in_flight = engine.own_in_flight;
      engine = {};
      engine.own_in_flight = own_in_flight;
      engine.answer_s = kTypicalAnswerSeconds;
      engine.held_s = kStartHeldSeconds;
      misdirected_.erase(record.id);
    }
    engine.record = std::move(record);
  }
  for (auto entry = engines_.begin(); entry != engines_.end();) {
    auto& engine = entry->second;
    if (listed.count(entry->first)) {
      ++entry;
    } else if (engine.own_in_flight > 0) {
      // Requests still run there; their ends refer to the entry.
      changed = changed || !engine.record.leaving;
      engine.record.leaving = true;
      ++entry;
    } else {
      changed = true;
      pace_.Forget(entry->first);
      entry = engines_.erase(entry);
    }
  }
  return changed;
}

void engine_fleet::OnNotice(const residency_notice& notice) {
  auto* engine = Find(notice.engine);
  if (engine == nullptr || engine->record.started_ms != notice.started_ms) {
    return;
  }
  const auto at = clock_.now() - notice.age;
  auto& change = engine->changes[{notice.model, notice.adapter}];
  if (at > change.at) change = {notice.present, at};
}

void engine_fleet::OnAbsent(const endpoint_id& engine,
                            const engine_need& need) {
  auto* found = Find(engine);
  if (found == nullptr) return;
  found->changes[{need.model, need.adapter}] = {false, clock_.now()};
}

void engine_fleet::OnMisdirected(const endpoint_id& engine) {
  misdirected_.insert(engine);
}

void engine_fleet::OnPeerLoad(const host_id& sender,
                              const std::map<endpoint_id, int>& in_flight) {
  for (auto& [id, engine] : engines_) {
    const auto count = in_flight.find(id);
    if (count == in_flight.end()) {
      engine.others_in_flight.erase(sender);
    } else {
      engine.others_in_flight[sender] = count->second;
    }
  }
}

void engine_fleet::OnPeerGone(const host_id& sender) {
  for (auto& [id, engine] : engines_) engine.others_in_flight.erase(sender);
}

double engine_fleet::WaitSeconds(const state& engine) const {
  const int slots = std::max(1, engine.record.slots);
  const int over = engine.InFlight() + 1 - slots;
  return over <= 0 ? 0 : engine.held_s * over / slots;
}

// Expected seconds to the first answer, with the failures of the last seconds
// counted as lost time.
double engine_fleet::Cost(const state& engine) const {
  const double taken =
      static_cast<double>(engine.InFlight()) / std::max(1, engine.record.slots);
  double cost =
      kTypicalAnswerSeconds * pace_.Of(engine.record.id) * (0.5 + taken) +
      WaitSeconds(engine);
  cost += kFailureSeconds * Failing(engine);
  if (engine.record.zone != own_zone_) cost += kOtherZoneSeconds;
  return cost;
}

engine_choice engine_fleet::Choose(const engine_need& need,
                                   clock::duration within,
                                   const std::set<endpoint_id>& excluded) {
  engine_choice choice;
  bool has_model = false;
  double least_wait = 0;
  double weights = 0;
  for (const auto& [id, engine] : engines_) {
    if (engine.record.service != need.service || engine.record.leaving ||
        misdirected_.count(id) || excluded.count(id)) {
      continue;
    }
    if (choice.status == choice_status::kNoEngine) {
      choice.status = choice_status::kNoModel;
    }
    if (!need.model.value().empty()) {
      if (!engine.HasModel(need.model, clock_.now())) continue;
      has_model = true;
      if (!need.adapter.value().empty() &&
          !engine.HasAdapter(need.model, need.adapter, clock_.now())) {
        continue;
      }
    }
    const double wait = WaitSeconds(engine);
    if (choice.status != choice_status::kChosen &&
        (choice.status != choice_status::kBusy || wait < least_wait)) {
      choice.status = choice_status::kBusy;
      least_wait = wait;
    }
    if (wait > Seconds(within) || engine.own_in_flight >= need.most_in_flight) {
      continue;
    }
    // Draws one engine by weight in a single pass.
    const double weight = std::pow(Cost(engine), -kCostExponent);
    weights += weight;
    if (std::uniform_real_distribution<double>(0, weights)(random_) < weight) {
      choice.engine = id;
    }
    choice.status = choice_status::kChosen;
  }
  if (choice.status == choice_status::kNoModel && has_model) {
    choice.status = choice_status::kNoAdapter;
  }
  choice.wait = std::chrono::duration_cast<clock::duration>(
      std::chrono::duration<double>(least_wait));
  return choice;
}

void engine_fleet::OnSend(const endpoint_id& engine) {
  auto* found = Find(engine);
  if (found != nullptr) ++found->own_in_flight;
}

void engine_fleet::OnEnd(const endpoint_id& engine,
                         const send_outcome& outcome) {
  auto* found = Find(engine);
  if (found == nullptr) return;
  found->own_in_flight = std::max(0, found->own_in_flight - 1);
  CountOutcomes(*found, 1, outcome.failed ? 1 : 0);
  auto& sends = sends_[engine];
  sends.engine = engine;
  ++sends.ended;
  if (outcome.failed) ++sends.failed;
  if (outcome.first_answer) {
    Average(found->answer_s, Seconds(*outcome.first_answer));
    if (!outcome.failed) Average(found->held_s, Seconds(outcome.held));
  }
  if (outcome.step && *outcome.step > clock::duration(0)) {
    const double log_seconds = std::log(Seconds(*outcome.step));
    pace_.OnSample({engine, outcome.model, log_seconds, 1});
    auto& sum = paces_[{engine, outcome.model}];
    sum.engine = engine;
    sum.model = outcome.model;
    ++sum.count;
    sum.log_seconds += (log_seconds - sum.log_seconds) / sum.count;
  }
}

double engine_fleet::Failing(const state& engine) const {
  const double age = std::max(0.0, Seconds(clock_.now() - engine.failed_at));
  return engine.failing * std::exp2(-age / kForgiveSeconds);
}

std::vector<verdict_change> engine_fleet::TakeVerdictChanges() {
  std::vector<verdict_change> changes;
  for (auto& [id, engine] : engines_) {
    const double pace = pace_.Of(id);
    const double failing = Failing(engine);
    auto verdict = engine.verdict;
    if (failing > kFailingShare) {
      verdict = engine_verdict::kFailing;
    } else if (pace > kSlowPace) {
      verdict = engine_verdict::kSlow;
    } else if (failing < kUsualShare && pace < kUsualPace) {
      verdict = engine_verdict::kUsual;
    }
    if (verdict == engine.verdict) continue;
    engine.verdict = verdict;
    changes.push_back({id, verdict, pace, failing});
  }
  return changes;
}

// Moves the share of failures by `ended` outcomes at once.
void engine_fleet::CountOutcomes(state& engine, int ended, int failed) {
  if (ended <= 0) return;
  const double before = Failing(engine);
  const double weight = 1 - std::pow(1 - kOutcomeWeight, ended);
  const double share = static_cast<double>(failed) / ended;
  engine.failing = before + weight * (share - before);
  engine.failed_at = clock_.now();
}

void engine_fleet::OnPeerOutcomes(const outcome_report& report) {
  for (const auto& sends : report.sends) {
    auto* engine = Find(sends.engine);
    if (engine != nullptr) CountOutcomes(*engine, sends.ended, sends.failed);
  }
  for (const auto& sample : report.paces) {
    if (Find(sample.engine) != nullptr) pace_.OnSample(sample);
  }
}

outcome_report engine_fleet::TakeOutcomes() {
  outcome_report report;
  for (auto& [engine, sends] : sends_) report.sends.push_back(sends);
  for (auto& [key, sample] : paces_) report.paces.push_back(sample);
  sends_.clear();
  paces_.clear();
  return report;
}

engine_fleet::state* engine_fleet::Find(const endpoint_id& engine) {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

const engine_fleet::state* engine_fleet::Find(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

std::map<endpoint_id, int> engine_fleet::OwnInFlight() const {
  std::map<endpoint_id, int> counts;
  for (const auto& [id, engine] : engines_) {
    if (engine.own_in_flight > 0) counts[id] = engine.own_in_flight;
  }
  return counts;
}

}  // namespace bluebell::serving
