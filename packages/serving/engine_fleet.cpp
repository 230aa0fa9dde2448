#include "serving/engine_fleet.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// A plain request and the first token of a short prompt take tens of
// milliseconds at a typical engine.
constexpr double kTypicalAnswerSeconds = 0.03;
constexpr double kInitialServiceSeconds = 0.2;
// Weight of the newest sample in the averages.
constexpr double kSampleWeight = 0.1;
// Weight of the newest outcome in the error rate: an engine that fails every
// request is detected after three sends.
constexpr double kOutcomeWeight = 0.25;
// Half-life of the error rate without new sends, so that an engine that
// recovered is tried again.
constexpr double kFailureHalfLifeSeconds = 2.0;
// Cost of a failed send in seconds of delay.
constexpr double kFailurePenaltySeconds = 1.0;
// Step time ratio and error rate above which an engine is reported as
// slow or failing, and below which it is normal again. A third of the engines
// is always twice as slow as the rest, which must not be reported.
constexpr double kSlowStepTime = 2.5;
constexpr double kFailingErrorRate = 0.5;
constexpr double kNormalStepTime = 2;
constexpr double kNormalErrorRate = 0.2;
// Round trip to another zone.
constexpr double kOtherZoneRoundTripSeconds = 0.004;
// An engine is chosen with a probability inversely proportional to this power
// of its cost. Always choosing the lowest cost would send the requests of all
// hosts to the same engine until the next digests report them.
constexpr double kCostExponent = 3;
// As above for engines that share their machines. Most of what tells them apart
// at a moment has changed before the next digests, so the lowest cost attracts
// bursts of prompts, which delay the streams that run there.
constexpr double kSharedMachineCostExponent = 2;

void UpdateAverage(double& value, double sample) {
  value += kSampleWeight * (sample - value);
}

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

const char* ToString(engine_health health) {
  switch (health) {
    case engine_health::kNormal:
      return "usual";
    case engine_health::kSlow:
      return "slow";
    case engine_health::kFailing:
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
      engine.first_answer_s = kTypicalAnswerSeconds;
      engine.service_time_s = kInitialServiceSeconds;
      misdirected_.erase(record.id);
    }
    engine.record = std::move(record);
  }
  for (auto entry = engines_.begin(); entry != engines_.end();) {
    auto& engine = entry->second;
    if (listed.count(entry->first)) {
      ++entry;
    } else if (engine.own_in_flight > 0) {
      // Requests in flight still refer to the entry when they end.
      changed = changed || !engine.record.leaving;
      engine.record.leaving = true;
      ++entry;
    } else {
      changed = true;
      step_times_.Forget(entry->first);
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

void engine_fleet::OnNotResident(const endpoint_id& engine,
                                 const engine_requirements& requirements) {
  auto* found = Find(engine);
  if (found == nullptr) return;
  found->changes[{requirements.model, requirements.adapter}] = {false,
                                                                clock_.now()};
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
  const int excess = engine.InFlight() + 1 - slots;
  return excess <= 0 ? 0 : engine.service_time_s * excess / slots;
}

// Expected seconds to the first answer, plus a penalty for recent failures.
double engine_fleet::Cost(const state& engine) const {
  const double occupancy =
      static_cast<double>(engine.InFlight()) / std::max(1, engine.record.slots);
  double cost = kTypicalAnswerSeconds * step_times_.Ratio(engine.record.id) *
                    (0.5 + occupancy) +
                WaitSeconds(engine);
  cost += kFailurePenaltySeconds * ErrorRate(engine);
  if (engine.record.zone != own_zone_) cost += kOtherZoneRoundTripSeconds;
  return cost;
}

engine_choice engine_fleet::Choose(const engine_requirements& requirements,
                                   clock::duration max_wait,
                                   const std::set<endpoint_id>& excluded) {
  const auto& service = requirements.service;
  if (preferring_own_zone_.count(service) == 0) {
    return ChooseIn(std::nullopt, requirements, max_wait, excluded, nullptr);
  }
  zone_loads loads;
  const auto choice =
      ChooseIn(std::nullopt, requirements, max_wait, excluded, &loads);
  // Without the engines that this request has tried, the loads do not apply to
  // others.
  if (excluded.empty()) {
    zone_share_.Update(service, requirements.model, loads);
  }
  if (choice.status != choice_status::kChosen) return choice;
  const auto zone = zone_share_.Draw(service, requirements.model, loads,
                                     requirements.latency_objective, random_);
  if (!zone) return choice;
  const auto choice_in_zone =
      ChooseIn(zone, requirements, max_wait, excluded, nullptr);
  return choice_in_zone.status == choice_status::kChosen ? choice_in_zone
                                                         : choice;
}

void engine_fleet::AddLoad(const state& engine, zone_loads& loads) const {
  // An engine that has failed counts again by degrees, so that a zone behind a
  // cut link is tried with few requests.
  const double reliability = 1 - ErrorRate(engine) / kNormalErrorRate;
  if (reliability <= 0) return;
  const double weight = reliability / step_times_.Ratio(engine.record.id);
  auto& zone = loads[engine.record.zone];
  ++zone.engines;
  zone.in_flight += engine.InFlight() * weight;
  zone.slots += std::max(1, engine.record.slots) * weight;
  zone.least_wait_s = std::min(zone.least_wait_s, WaitSeconds(engine));
}

void engine_fleet::SetPrefersOwnZone(const service_id& service, bool prefers) {
  if (prefers) {
    preferring_own_zone_.insert(service);
  } else {
    preferring_own_zone_.erase(service);
  }
}

void engine_fleet::SetSharesMachines(const service_id& service) {
  sharing_machines_.insert(service);
}

std::vector<zone_share_change> engine_fleet::TakeShareChanges() {
  return zone_share_.TakeChanges();
}

engine_choice engine_fleet::ChooseIn(const std::optional<zone_id>& zone,
                                     const engine_requirements& requirements,
                                     clock::duration max_wait,
                                     const std::set<endpoint_id>& excluded,
                                     zone_loads* loads) {
  const double exponent = sharing_machines_.count(requirements.service)
                              ? kSharedMachineCostExponent
                              : kCostExponent;
  engine_choice choice;
  bool has_model = false;
  double least_wait = 0;
  double weights = 0;
  for (const auto& [id, engine] : engines_) {
    if (engine.record.service != requirements.service ||
        engine.record.leaving || misdirected_.count(id) || excluded.count(id) ||
        evacuations_.IsEvacuated(engine.record.zone)) {
      continue;
    }
    if (choice.status == choice_status::kNoEngine) {
      choice.status = choice_status::kNoVersion;
    }
    if (requirements.software &&
        requirements.software->count(engine.record.software) == 0) {
      continue;
    }
    if (choice.status == choice_status::kNoVersion) {
      choice.status = choice_status::kNoModel;
    }
    const bool needs_model = !requirements.model.value().empty();
    if (needs_model) {
      if (!engine.HasModel(requirements.model, clock_.now())) continue;
      has_model = true;
    }
    if (loads != nullptr) AddLoad(engine, *loads);
    if (needs_model && !requirements.adapter.value().empty() &&
        !engine.HasAdapter(requirements.model, requirements.adapter,
                           clock_.now())) {
      continue;
    }
    if (zone && engine.record.zone != *zone) continue;
    const double wait = WaitSeconds(engine);
    if (choice.status != choice_status::kChosen &&
        (choice.status != choice_status::kBusy || wait < least_wait)) {
      choice.status = choice_status::kBusy;
      least_wait = wait;
    }
    if (wait > Seconds(max_wait) ||
        engine.own_in_flight >= requirements.max_in_flight) {
      continue;
    }
    // Weighted random selection in a single pass.
    const double weight = std::pow(Cost(engine), -exponent);
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
    UpdateAverage(found->first_answer_s, Seconds(*outcome.first_answer));
    if (!outcome.failed) {
      UpdateAverage(found->service_time_s, Seconds(outcome.service_time));
    }
  }
  if (outcome.step && *outcome.step > clock::duration(0)) {
    const double log_seconds = std::log(Seconds(*outcome.step));
    step_times_.OnSample({engine, outcome.model, log_seconds, 1});
    auto& sum = step_time_samples_[{engine, outcome.model}];
    sum.engine = engine;
    sum.model = outcome.model;
    ++sum.count;
    sum.log_seconds += (log_seconds - sum.log_seconds) / sum.count;
  }
}

double engine_fleet::ErrorRate(const state& engine) const {
  const double age =
      std::max(0.0, Seconds(clock_.now() - engine.error_rate_updated_at));
  return engine.error_rate * std::exp2(-age / kFailureHalfLifeSeconds);
}

std::vector<engine_health_change> engine_fleet::TakeHealthChanges() {
  std::vector<engine_health_change> changes;
  for (auto& [id, engine] : engines_) {
    const double step_time_ratio = step_times_.Ratio(id);
    const double error_rate = ErrorRate(engine);
    auto health = engine.health;
    if (error_rate > kFailingErrorRate) {
      health = engine_health::kFailing;
    } else if (step_time_ratio > kSlowStepTime) {
      health = engine_health::kSlow;
    } else if (error_rate < kNormalErrorRate &&
               step_time_ratio < kNormalStepTime) {
      health = engine_health::kNormal;
    }
    if (health == engine.health) continue;
    engine.health = health;
    changes.push_back({id, health, step_time_ratio, error_rate});
  }
  return changes;
}

// Updates the error rate with `ended` outcomes at once.
void engine_fleet::CountOutcomes(state& engine, int ended, int failed) {
  if (ended <= 0) return;
  const double previous = ErrorRate(engine);
  const double weight = 1 - std::pow(1 - kOutcomeWeight, ended);
  const double sample_rate = static_cast<double>(failed) / ended;
  engine.error_rate = previous + weight * (sample_rate - previous);
  engine.error_rate_updated_at = clock_.now();
}

void engine_fleet::OnPeerOutcomes(const outcome_report& report) {
  for (const auto& sends : report.sends) {
    auto* engine = Find(sends.engine);
    if (engine != nullptr) CountOutcomes(*engine, sends.ended, sends.failed);
  }
  for (const auto& sample : report.step_times) {
    if (Find(sample.engine) != nullptr) step_times_.OnSample(sample);
  }
}

outcome_report engine_fleet::TakeOutcomes() {
  outcome_report report;
  for (auto& [engine, sends] : sends_) report.sends.push_back(sends);
  for (auto& [key, sample] : step_time_samples_) {
    report.step_times.push_back(sample);
  }
  sends_.clear();
  step_time_samples_.clear();
  return report;
}

bool engine_fleet::AcceptsRequests(const endpoint_id& engine) const {
  const auto* found = Find(engine);
  return found != nullptr && !found->record.leaving &&
         !evacuations_.IsEvacuated(found->record.zone);
}

bool engine_fleet::IsEvacuated(const endpoint_id& engine) const {
  const auto* found = Find(engine);
  return found != nullptr && evacuations_.IsEvacuated(found->record.zone);
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
