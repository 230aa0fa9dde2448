#include "serving/step_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Minimum weight of a sample: an engine that becomes slow is detected after ten
// samples.
constexpr double kEngineWeight = 0.1;
// The model factors are stable, so their terms are updated more slowly.
constexpr double kModelWeight = 0.02;
// Half-life of an engine's estimate without samples, so that an engine that was
// slow for a while is tried again.
constexpr double kHalfLifeSeconds = 10;

// Total weight of `count` samples that follow `previous` others.
double SampleWeight(double min_weight, double previous, int count) {
  const double single = std::max(min_weight, 1 / (previous + 2));
  return 1 - std::pow(1 - single, count);
}

}  // namespace

double step_time_estimator::Decay(const term& engine) const {
  const double age =
      std::chrono::duration<double>(clock_.now() - engine.at).count();
  return std::exp2(-std::max(0.0, age) / kHalfLifeSeconds);
}

void step_time_estimator::OnSample(const step_time_sample& sample) {
  if (sample.count <= 0) return;
  auto& engine = engines_[sample.engine];
  const double decay = Decay(engine);
  engine.value *= decay;
  engine.samples *= decay;
  engine.at = clock_.now();
  auto [entry, first] = models_.try_emplace(sample.model);
  auto& model = entry->second;
  if (first) model.value = sample.log_seconds - engine.value;
  const double error = sample.log_seconds - engine.value - model.value;
  engine.value +=
      error * SampleWeight(kEngineWeight, engine.samples, sample.count);
  model.value +=
      error * SampleWeight(kModelWeight, model.samples, sample.count);
  engine.samples += sample.count;
  model.samples += sample.count;
}

double step_time_estimator::Ratio(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return 1;
  return std::exp(found->second.value * Decay(found->second));
}

}  // namespace bluebell::serving
