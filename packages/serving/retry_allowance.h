#pragma once

#include <deque>
#include <map>

#include "base/clock.h"
#include "serving/serving_config.h"

namespace bluebell::serving {

/// Bound on repeated sends to a service, over all hosts.
struct retry_bound {
  /// Repeats per request of callers.
  double ratio = 0.1;
  /// Repeats allowed beyond the ratio in one window.
  double slack = 0;
  clock::duration window = std::chrono::seconds(10);
};

/// This host's part of the bound on repeated sends.
///
/// The ratio applies to the host's own requests, so it sums to the bound over
/// all hosts; the slack is divided by the number of hosts.
class retry_allowance {
 public:
  retry_allowance(const clock& source, retry_bound bound)
      : clock_(source), bound_(bound) {}

  void OnRequest(const service_id& service);
  /// Takes one repeat if there is one left; `hosts` is the number of hosts
  /// that may hold a share of the slack.
  bool Take(const service_id& service, int hosts);

 private:
  // Part of the bound that is used; the rest covers sends that arrive in
  // another window than they were counted in.
  static constexpr double kUsedPart = 0.8;

  struct history {
    std::deque<clock::time_point> requests;
    std::deque<clock::time_point> repeats;
  };
  void Expire(std::deque<clock::time_point>& times) const;

  const clock& clock_;
  retry_bound bound_;
  std::map<service_id, history> histories_;
};

}  // namespace bluebell::serving
