#pragma once

#include <limits>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/serving_config.h"

namespace bluebell::serving {

/// Load and capacity of the engines of one zone that could serve a request. An
/// engine that is twice as slow as a typical one counts half, and one that has
/// failed for this host counts less.
struct zone_load {
  int engines = 0;
  /// Requests in flight from all hosts.
  double in_flight = 0;
  double slots = 0;
  /// Least expected wait for a free slot.
  double least_wait_s = std::numeric_limits<double>::infinity();
};

/// Loads by zone. Engines that fail for this host are not included, so a zone
/// behind a cut link is absent.
using zone_loads = std::map<zone_id, zone_load>;

/// The share of requests for a model that may go to other zones has changed.
struct zone_share_change {
  service_id service;
  /// Empty for plain services.
  model_id model;
  double share = 0;
};

/// Decides which share of this host's requests may go to other zones.
///
/// Requests leave their zone only when its engines are used above a target, and
/// only into the room that other zones have below theirs. Zones above the
/// target divide that room in proportion to their excess. A model with a single
/// engine in the own zone leaves it by expected wait instead.
///
/// Workload: the demand of three zones peaks at different times, bytes between
/// zones have a price, and the loads of other hosts are known 0.7 s late.
class zone_share {
 public:
  zone_share(const clock& source, zone_id own_zone)
      : clock_(source), own_zone_(std::move(own_zone)) {}

  /// Updates the share of a model with the current loads.
  void Update(const service_id& service, const model_id& model,
              const zone_loads& zones);
  /// Returns the zone for a request whose answer is due after `objective`; none
  /// if the engines of all zones are to be compared.
  std::optional<zone_id> Draw(const service_id& service, const model_id& model,
                              const zone_loads& zones,
                              clock::duration objective,
                              std::mt19937_64& random) const;
  /// Fraction of the model's requests that may go to other zones, 0 to 1.
  double Share(const service_id& service, const model_id& model) const;
  double LargestShare() const;
  /// Shares that have changed by more than `kReportedChange` since they were
  /// last returned here.
  std::vector<zone_share_change> TakeChanges();

 private:
  static constexpr double kReportedChange = 0.1;

  struct entry {
    double share = 0;
    // Share that the loads reflect (`Away`).
    double away = 0;
    double reported = 0;
    clock::time_point updated_at;
  };

  double Decayed(const entry& model) const;
  double Away(const entry& model) const;
  void DropUnused();

  const clock& clock_;
  zone_id own_zone_;
  std::map<std::pair<service_id, model_id>, entry> entries_;
  clock::time_point dropped_at_;
};

}  // namespace bluebell::serving
