#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Measured step time of one model at one engine: the mean of the natural
/// logarithm of seconds per step, over `count` requests.
struct step_time_sample {
  endpoint_id engine;
  /// Empty for plain services, where a step is the complete response.
  model_id model;
  double log_seconds = 0;
  int count = 0;
};

/// Estimates the relative step time of engines, independently of the models
/// they run.
///
/// The step time is modelled as an engine factor times a model factor, so the
/// logarithm of a sample is a sum of two terms, which are estimated jointly.
/// Each sample improves the estimate for its engine and for its model, so a few
/// per second and engine suffice.
///
/// Workload: a third of the engines is more than twice as slow as the others,
/// some become slow for seconds, and a host in a large fleet sends to each
/// engine only every ten seconds, so hosts exchange their samples.
class step_time_estimator {
 public:
  explicit step_time_estimator(const clock& source) : clock_(source) {}

  void OnSample(const step_time_sample& sample);
  /// Time per step at the engine as a multiple of a typical engine's; 1 for an
  /// engine without samples.
  double Ratio(const endpoint_id& engine) const;
  void Forget(const endpoint_id& engine) { engines_.erase(engine); }

 private:
  struct term {
    double value = 0;
    double samples = 0;
    clock::time_point at;
  };

  double Decay(const term& engine) const;

  const clock& clock_;
  std::map<endpoint_id, term> engines_;
  std::map<model_id, term> models_;
};

}  // namespace bluebell::serving
