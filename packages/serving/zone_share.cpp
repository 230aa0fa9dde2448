#include "serving/zone_share.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Part of a zone's slots above which its requests may leave and above which it
// takes none from others. The rest covers bursts within the 0.7 s after which
// other hosts' loads are known.
constexpr double kTargetUse = 0.5;
// The target is the utilization of all zones together if that is higher, so
// that they even out, up to this limit: a zone must not become full with the
// requests of two others that are overloaded.
constexpr double kMaxTargetUse = 0.65;
// The share falls slowly: a peak of demand lasts for seconds, and a share that
// follows every fluctuation would make the hosts alternate between zones.
constexpr double kShareHalfLifeSeconds = 2;
// Half-life while no zone has room.
constexpr double kFullHalfLifeSeconds = 0.5;
// The loads show the effect of a share after the age of the digests and the
// time in which requests complete.
constexpr double kLoadHalfLifeSeconds = 0.5;
// Some requests stay, so that the loads show what the own zone can take.
constexpr double kMaxShare = 0.9;
constexpr std::chrono::seconds kUnusedLifetime{30};
// With fewer engines the utilization is too coarse: one request more or less
// crosses the target.
constexpr int kMinEnginesForShare = 2;
// Round trip to another zone; links take up to 3 ms each way.
constexpr double kRoundTripSeconds = 0.006;
// A shorter wait in another zone is worth its price if it saves at least this
// part of the latency objective.
constexpr double kWorthwhileFraction = 0.1;

double TargetUse(const zone_loads& zones) {
  double in_flight = 0;
  double slots = 0;
  for (const auto& [id, zone] : zones) {
    in_flight += zone.in_flight;
    slots += zone.slots;
  }
  const double use = slots > 0 ? in_flight / slots : 0;
  return std::clamp(use, kTargetUse, kMaxTargetUse);
}

double Excess(const zone_load& zone, double target) {
  return std::max(0.0, zone.in_flight - target * zone.slots);
}

double Room(const zone_load& zone, double target) {
  return std::max(0.0, target * zone.slots - zone.in_flight);
}

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void zone_share::Update(const service_id& service, const model_id& model,
                        const zone_loads& zones) {
  DropUnused();
  auto& found = entries_[{service, model}];
  const double away = Away(found);
  double share = Decayed(found);
  const double target = TargetUse(zones);
  double room = 0;
  double excess = 0;
  for (const auto& [id, zone] : zones) {
    excess += Excess(zone, target);
    if (id != own_zone_) room += Room(zone, target);
  }
  const auto own = zones.find(own_zone_);
  if (room <= 0) {
    // Further requests would take what other zones need for their own.
    const double age = Seconds(clock_.now() - found.updated_at);
    share = found.share * std::exp2(-age / kFullHalfLifeSeconds);
  } else if (own != zones.end() && own->second.engines >= kMinEnginesForShare &&
             Excess(own->second, target) > 0) {
    const double own_excess = Excess(own->second, target);
    const double part = std::min(own_excess, room * own_excess / excess);
    // The loads already lack the requests that are in other zones.
    const double demand = own->second.in_flight / (1 - away);
    share = std::max(share, std::min(away + part / demand, kMaxShare));
  }
  found.share = share;
  found.away = away;
  found.updated_at = clock_.now();
}

std::optional<zone_id> zone_share::Draw(const service_id& service,
                                        const model_id& model,
                                        const zone_loads& zones,
                                        clock::duration objective,
                                        std::mt19937_64& random) const {
  const auto own = zones.find(own_zone_);
  bool leaves = own == zones.end();
  if (!leaves && own->second.engines < kMinEnginesForShare) {
    double least_wait = std::numeric_limits<double>::infinity();
    for (const auto& [id, zone] : zones) {
      if (id != own_zone_) least_wait = std::min(least_wait, zone.least_wait_s);
    }
    leaves =
        own->second.least_wait_s > least_wait + kRoundTripSeconds +
                                       kWorthwhileFraction * Seconds(objective);
  } else if (!leaves) {
    leaves = std::uniform_real_distribution<double>(0, 1)(random) <
             Share(service, model);
  }
  if (!leaves) return own_zone_;
  const double target = TargetUse(zones);
  std::optional<zone_id> drawn;
  double rooms = 0;
  for (const auto& [id, zone] : zones) {
    const double room = id == own_zone_ ? 0 : Room(zone, target);
    if (room <= 0) continue;
    rooms += room;
    if (std::uniform_real_distribution<double>(0, rooms)(random) < room) {
      drawn = id;
    }
  }
  return drawn;
}

double zone_share::Share(const service_id& service,
                         const model_id& model) const {
  const auto found = entries_.find({service, model});
  return found == entries_.end() ? 0 : Decayed(found->second);
}

double zone_share::LargestShare() const {
  double largest = 0;
  for (const auto& [key, model] : entries_) {
    largest = std::max(largest, Decayed(model));
  }
  return largest;
}

std::vector<zone_share_change> zone_share::TakeChanges() {
  std::vector<zone_share_change> changes;
  for (auto& [key, model] : entries_) {
    const double share = Decayed(model);
    if (std::abs(share - model.reported) <= kReportedChange) continue;
    model.reported = share;
    changes.push_back({key.first, key.second, share});
  }
  return changes;
}

double zone_share::Decayed(const entry& model) const {
  const double age = Seconds(clock_.now() - model.updated_at);
  return model.share * std::exp2(-age / kShareHalfLifeSeconds);
}

// The share that the loads reflect: an average of the share over the last time.
double zone_share::Away(const entry& model) const {
  const double age = Seconds(clock_.now() - model.updated_at);
  return model.share +
         (model.away - model.share) * std::exp2(-age / kLoadHalfLifeSeconds);
}

void zone_share::DropUnused() {
  const auto now = clock_.now();
  if (now - dropped_at_ < kUnusedLifetime) return;
  dropped_at_ = now;
  for (auto model = entries_.begin(); model != entries_.end();) {
    const bool unused = now - model->second.updated_at >= kUnusedLifetime;
    model = unused ? entries_.erase(model) : std::next(model);
  }
}

}  // namespace bluebell::serving
