#pragma once

#include <map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "serving/host_digest.h"

namespace bluebell::serving {

/// Requests per second for each model and adapter, averaged over a time that
/// is short enough to follow demand that moves to other models in seconds.
class demand_average {
 public:
  demand_average(const clock& source, clock::duration span)
      : clock_(source), span_(span) {}

  /// Counts `weight` requests for the model and, if named, its adapter.
  void Count(const model_id& model, const adapter_id& adapter,
             double weight = 1);
  double Of(const model_id& model, const adapter_id& adapter = {}) const;
  /// Every rate above `kLeast`, for the placement holder.
  std::vector<model_use> Rates() const;

 private:
  // Rates below this are not worth a place in a datagram.
  static constexpr double kLeast = 0.02;

  struct rate {
    double value = 0;
    clock::time_point at;
  };
  double Decayed(const rate& entry) const;

  const clock& clock_;
  clock::duration span_;
  std::map<std::pair<model_id, adapter_id>, rate> rates_;
};

}  // namespace bluebell::serving
