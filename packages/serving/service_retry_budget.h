#pragma once

#include <deque>
#include <map>

#include "base/clock.h"
#include "serving/serving_config.h"

namespace bluebell::serving {

/// Limit on retries to a service, over all hosts.
struct retry_limits {
  /// Retries per caller request.
  double ratio = 0.1;
  /// Retries allowed beyond the ratio in one window.
  double slack = 0;
  clock::duration window = std::chrono::seconds(10);
};

/// This host's share of the retry limit of each service.
///
/// The ratio applies to the host's own requests, so that the sum over all hosts
/// stays within the limit; the slack is divided by the number of hosts. A host
/// that starts may have used its share of the slack before: it has none for one
/// window.
class service_retry_budget {
 public:
  service_retry_budget(const clock& source, retry_limits limits)
      : clock_(source), limits_(limits), started_(source.now()) {}

  void OnRequest(const service_id& service);
  /// Takes one retry from the budget; false if it is used up. `hosts` is the
  /// number of hosts that may use a share of the slack.
  bool Take(const service_id& service, int hosts);

 private:
  // Fraction of the limit that is used; the rest covers sends that arrive in a
  // different window than the one they were counted in.
  static constexpr double kUsedFraction = 0.8;

  struct history {
    std::deque<clock::time_point> requests;
    std::deque<clock::time_point> retries;
  };
  void Expire(std::deque<clock::time_point>& times) const;

  const clock& clock_;
  retry_limits limits_;
  clock::time_point started_;
  std::map<service_id, history> histories_;
};

}  // namespace bluebell::serving
