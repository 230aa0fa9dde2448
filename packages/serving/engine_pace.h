#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Measured pace of one model at one engine: the mean of the natural logarithm
/// of seconds per answer step, over `count` requests.
struct pace_sample {
  endpoint_id engine;
  /// Empty for plain services, whose step is the whole answer.
  model_id model;
  double log_seconds = 0;
  int count = 0;
};

/// Relative pace of engines, apart from that of the models they run.
///
/// A step takes the engine's factor times the model's, so the logarithm of a
/// sample is a sum of two terms, and both are estimated together. Samples of
/// different models at one engine, and of one model at different engines,
/// support each other: a few per second and engine suffice.
///
/// Load pattern: a third of the engines is more than twice as slow as the
/// others, some turn slow for seconds, and a host in a large fleet sends to
/// each engine only every ten seconds, so that hosts exchange their samples.
class engine_pace {
 public:
  explicit engine_pace(const clock& source) : clock_(source) {}

  void OnSample(const pace_sample& sample);
  /// Time that a step takes at the engine, as a multiple of a typical one's.
  /// 1 for an engine without samples.
  double Of(const endpoint_id& engine) const;
  void Forget(const endpoint_id& engine) { engines_.erase(engine); }

 private:
  struct term {
    double value = 0;
    double samples = 0;
    clock::time_point at;
  };

  double Remembered(const term& engine) const;

  const clock& clock_;
  std::map<endpoint_id, term> engines_;
  std::map<model_id, term> models_;
};

}  // namespace bluebell::serving
