#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "serving/serving_config.h"

namespace bluebell::serving {

/// What a host knows of a brittle service, as sent to other hosts.
struct brittle_notice {
  service_id service;
  /// Refusals per second that an engine survives.
  double refusals_per_s = 0;
  /// Time since an engine last named it.
  clock::duration named_age{0};
  /// Time since the sending of the newest request whose answer did not name it.
  std::optional<clock::duration> free_age;
};

/// Services whose engines fall over when they have to refuse more than a few
/// requests per second.
///
/// Engines say so in all their answers. The state belongs to the service: an
/// engine that comes back has said nothing yet. Hosts exchange the time of the
/// latest such answer, and the send time of the latest request that was
/// answered without the statement; the state has ended if the latter is later.
class brittle_services {
 public:
  explicit brittle_services(const clock& source) : clock_(source) {}

  /// An engine of `service` has named the number of refusals per second that it
  /// survives.
  void OnNamed(const service_id& service, double refusals_per_s);
  /// An engine answered a request sent at `sent` without naming one.
  void OnNoneNamed(const service_id& service, clock::time_point sent);
  /// Another host's notice, sent `late` ago.
  void OnNotice(const brittle_notice& notice, clock::duration late);
  /// Notices for other hosts.
  std::vector<brittle_notice> Notices() const;
  /// Refusals per second that an engine of the service survives; none if the
  /// service is not brittle.
  std::optional<double> Refusals(const service_id& service) const;

 private:
  // The end of the state is sent to other hosts for this long.
  static constexpr std::chrono::seconds kEndNoticePeriod{10};

  struct state {
    double refusals_per_s = 0;
    clock::time_point named_at;
    std::optional<clock::time_point> free_at;

    bool InForce() const { return !(free_at && *free_at > named_at); }
  };

  void Name(const service_id& service, double refusals_per_s,
            clock::time_point at);

  const clock& clock_;
  std::map<service_id, state> services_;
};

}  // namespace bluebell::serving
