#pragma once

#include <chrono>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/serving_config.h"

namespace bluebell::serving {

/// Paces that engines state while they share their machines with others: how
/// long work takes at a moment, as a multiple of its usual time.
///
/// Workload: engines run two and a half times as slow as usual for half a
/// second, several times a minute and each at its own time. A stream lasts
/// longer than such a phase, so capacity is planned for the slow phases.
class engine_pace {
 public:
  explicit engine_pace(const clock& source) : clock_(source) {}

  /// An engine of the service has stated its pace.
  void OnStated(const service_id& service, double pace);
  /// Whether engines of the service share their machines.
  bool IsShared(const service_id& service) const;
  /// Highest pace that engines of the service stated within the last minute, at
  /// least 1 and at most `kMaxPeak`; 1 if they do not share their machines.
  double Peak(const service_id& service) const;

 private:
  // A statement far above what machines are shared for is an error or a lie; it
  // must not make the placement copy every model everywhere.
  static constexpr double kMaxPeak = 3;
  static constexpr std::chrono::seconds kPeakWindow{60};
  struct statement {
    double pace = 1;
    clock::time_point at;
  };

  const clock& clock_;
  std::map<service_id, statement> peaks_;
};

}  // namespace bluebell::serving
