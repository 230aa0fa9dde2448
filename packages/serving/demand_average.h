#pragma once

#include <map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "serving/host_digest.h"

namespace bluebell::serving {

/// Exponential moving average of requests per second for each model and
/// adapter. The time constant is short enough to follow demand that shifts
/// between models within seconds.
class demand_average {
 public:
  demand_average(const clock& source, clock::duration time_constant)
      : clock_(source), time_constant_(time_constant) {}

  /// Counts `weight` requests for the model and, if named, its adapter.
  void Count(const model_id& model, const adapter_id& adapter,
             double weight = 1);
  double Rate(const model_id& model, const adapter_id& adapter = {}) const;
  /// All rates of at least `kMinReportedRate`, for the placement lease holder.
  std::vector<model_rate> Rates() const;

 private:
  // Lower rates are omitted to save space in datagrams.
  static constexpr double kMinReportedRate = 0.02;

  struct rate {
    double value = 0;
    clock::time_point at;
  };
  double Decayed(const rate& entry) const;

  const clock& clock_;
  clock::duration time_constant_;
  std::map<std::pair<model_id, adapter_id>, rate> rates_;
};

}  // namespace bluebell::serving
