#include "serving/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Least weight of a sample: an engine that turns slow is known after ten.
constexpr double kEngineWeight = 0.1;
// Models keep their pace, so their terms move less.
constexpr double kModelWeight = 0.02;
// Half of what is known of an engine is forgotten after this time without a
// sample, so that one that was slow for a while is tried again.
constexpr double kForgetSeconds = 10;

// Weight of `count` samples after `before` others.
double Weight(double least, double before, int count) {
  const double one = std::max(least, 1 / (before + 2));
  return 1 - std::pow(1 - one, count);
}

}  // namespace

double engine_pace::Remembered(const term& engine) const {
  const double age =
      std::chrono::duration<double>(clock_.now() - engine.at).count();
  return std::exp2(-std::max(0.0, age) / kForgetSeconds);
}

void engine_pace::OnSample(const pace_sample& sample) {
  if (sample.count <= 0) return;
  auto& engine = engines_[sample.engine];
  const double remembered = Remembered(engine);
  engine.value *= remembered;
  engine.samples *= remembered;
  engine.at = clock_.now();
  auto [entry, first] = models_.try_emplace(sample.model);
  auto& model = entry->second;
  if (first) model.value = sample.log_seconds - engine.value;
  const double error = sample.log_seconds - engine.value - model.value;
  engine.value += error * Weight(kEngineWeight, engine.samples, sample.count);
  model.value += error * Weight(kModelWeight, model.samples, sample.count);
  engine.samples += sample.count;
  model.samples += sample.count;
}

double engine_pace::Of(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return 1;
  return std::exp(found->second.value * Remembered(found->second));
}

}  // namespace bluebell::serving
