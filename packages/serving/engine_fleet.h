#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/engine_record.h"
#include "serving/step_time_estimator.h"
#include "serving/zone_evacuations.h"
#include "serving/zone_share.h"

namespace bluebell::serving {

/// A model or, if set, an adapter was loaded at an engine or unloaded. The
/// placement lease holder sends it before the engine's record shows the change.
struct residency_notice {
  endpoint_id engine;
  std::int64_t started_ms = 0;
  model_id model;
  adapter_id adapter;
  bool present = false;
  /// Time since the change.
  clock::duration age{0};
};

/// Requirements of a request on the engine that serves it.
struct engine_requirements {
  service_id service;
  /// Empty for plain services.
  model_id model;
  /// Empty if the request names no adapter.
  adapter_id adapter;
  /// Software versions that may serve it; any if not set.
  std::optional<std::set<software_version>> software = std::nullopt;
  /// Maximum requests that this host has in flight at one engine, so that all
  /// hosts together stay within the engine's connection limit.
  int max_in_flight = std::numeric_limits<int>::max();
  /// Target time to the response or to the first event.
  clock::duration latency_objective{0};
};

/// Result of one send to an engine.
struct send_outcome {
  bool failed = false;
  /// Time to the response or to the first event; none if neither arrived.
  std::optional<clock::duration> first_answer;
  /// Time for which the request occupied a slot.
  clock::duration service_time{0};
  /// Model that ran; empty for plain services.
  model_id model;
  /// Mean time between two events of a stream, or to a complete response; none
  /// if there were too few events.
  std::optional<clock::duration> step;
};

/// Completed sends to one endpoint, and how many of them failed.
struct send_count {
  endpoint_id engine;
  int ended = 0;
  int failed = 0;
};

/// Health of an engine, derived from the outcomes of sends.
enum class engine_health { kNormal, kSlow, kFailing };

const char* ToString(engine_health health);

/// The health of an engine has changed.
struct engine_health_change {
  endpoint_id engine;
  engine_health health = engine_health::kNormal;
  /// Time per step as a multiple of a typical engine's.
  double step_time_ratio = 1;
  /// Recent fraction of failed sends, 0 to 1.
  double error_rate = 0;
};

/// Outcomes of one host's sends since its previous report.
struct outcome_report {
  std::vector<send_count> sends;
  std::vector<step_time_sample> step_times;
};

enum class choice_status {
  kChosen,
  /// The service has no endpoint that accepts requests.
  kNoEngine,
  /// Engines accept requests, but none of a version that may serve it.
  kNoVersion,
  /// No engine has the model.
  kNoModel,
  /// Engines have the model but none has the adapter.
  kNoAdapter,
  /// Every suitable engine is too busy to respond in time.
  kBusy,
  /// Suitable engines take no more requests for now (`engine_limits`).
  kLimited,
};

struct engine_choice {
  choice_status status = choice_status::kNoEngine;
  endpoint_id engine;
  /// For `kBusy`: expected queueing time at the least busy engine. For
  /// `kLimited`: time until one of the engines may take another request.
  clock::duration wait{0};
};

/// One host's view of all endpoints, and the load balancing between them.
///
/// The view combines the stored records, the notices of the placement lease
/// holder, the requests that this and the other hosts have in flight, and the
/// recent outcomes of this and other hosts. Health checks are not used: failing
/// and stalled engines are detected by outcomes.
///
/// Workload: engines of one service differ in speed by a factor of three, some
/// become slow or fail part of their requests while health checks pass, and
/// bursts saturate a few of them. Many hosts learn of each other's requests
/// late, and requests that arrive together delay the streams of an engine.
class engine_fleet {
 public:
  /// Time after which a record shows every change: an engine writes its record
  /// about once per second, and the store lists it within another second.
  static constexpr std::chrono::milliseconds kRecordLag{3500};

  struct residency_change {
    bool present = false;
    clock::time_point at;
  };

  struct state {
    engine_record record;
    /// Changes that the record may not show yet, by model and adapter. The
    /// adapter is empty for changes of the model itself.
    std::map<std::pair<model_id, adapter_id>, residency_change> changes;
    int own_in_flight = 0;
    /// Requests in flight from each other host.
    std::map<host_id, int> others_in_flight;
    /// Average time to the response or first event, seconds.
    double first_answer_s = 0;
    /// Average time for which a request occupies a slot, seconds.
    double service_time_s = 0;
    /// Recent fraction of failed sends, 0 to 1.
    double error_rate = 0;
    clock::time_point error_rate_updated_at;
    engine_health health = engine_health::kNormal;

    int InFlight() const;
    bool HasModel(const model_id& model, clock::time_point now) const;
    bool HasAdapter(const model_id& model, const adapter_id& adapter,
                    clock::time_point now) const;
    /// Resident models according to the record and the changes since.
    resident_models Resident(clock::time_point now) const;
  };

  /// `evacuations` must outlive the object.
  engine_fleet(const clock& source, zone_id own_zone, std::uint64_t seed,
               const zone_evacuations& evacuations)
      : clock_(source),
        evacuations_(evacuations),
        step_times_(source),
        own_zone_(std::move(own_zone)),
        zone_share_(source, own_zone_),
        random_(seed) {}

  /// Replaces all records with the store's current listing. Returns whether
  /// any record changed.
  bool Replace(std::vector<engine_record> records);
  void OnNotice(const residency_notice& notice);
  /// The engine refused a request because the model or adapter is not loaded.
  void OnNotResident(const endpoint_id& engine,
                     const engine_requirements& requirements);
  /// The engine's address now belongs to another endpoint.
  void OnMisdirected(const endpoint_id& engine);
  void OnPeerLoad(const host_id& sender,
                  const std::map<endpoint_id, int>& in_flight);
  void OnPeerGone(const host_id& sender);
  /// Outcomes of another host of this zone. Outcomes of other zones are not
  /// comparable: an engine may fail for the callers of one zone only.
  void OnPeerOutcomes(const outcome_report& report);
  /// Returns this host's outcomes since the last call.
  outcome_report TakeOutcomes();
  /// Engines whose health has changed since the last call.
  std::vector<engine_health_change> TakeHealthChanges();

  /// Chooses an engine at random, with a probability that falls with the
  /// expected time to the first answer. Engines with an expected wait above
  /// `max_wait` for a free slot and those in `excluded`, which were tried
  /// already, are not chosen. For services that prefer their own zone,
  /// `zone_share` decides which zone the engine is chosen from; engines of all
  /// zones are compared if that one has none that can take the request.
  engine_choice Choose(const engine_requirements& requirements,
                       clock::duration max_wait,
                       const std::set<endpoint_id>& excluded);

  /// Whether requests to the service stay in this host's zone while it has
  /// room; by default they do not.
  void SetPrefersOwnZone(const service_id& service, bool prefers);
  /// The service's engines share their machines with others, so their speed
  /// changes many times per second; its requests are spread more evenly.
  void SetSharesMachines(const service_id& service);
  /// Changes of the shares of requests that may leave this host's zone.
  std::vector<zone_share_change> TakeShareChanges();
  double LargestZoneShare() const { return zone_share_.LargestShare(); }

  void OnSend(const endpoint_id& engine);
  void OnEnd(const endpoint_id& engine, const send_outcome& outcome);

  /// Whether the engine is listed and neither leaving nor evacuated.
  bool AcceptsRequests(const endpoint_id& engine) const;
  /// Whether the engine's zone is evacuated, or no list of these is known.
  bool IsEvacuated(const endpoint_id& engine) const;

  state* Find(const endpoint_id& engine);
  const state* Find(const endpoint_id& engine) const;
  const std::map<endpoint_id, state>& engines() const { return engines_; }
  const step_time_estimator& step_times() const { return step_times_; }
  std::map<endpoint_id, int> OwnInFlight() const;

 private:
  // Chooses among the engines of `zone`, or of all zones if not set. Adds the
  // loads of all engines that have the model to `loads` if not null.
  engine_choice ChooseIn(const std::optional<zone_id>& zone,
                         const engine_requirements& requirements,
                         clock::duration max_wait,
                         const std::set<endpoint_id>& excluded,
                         zone_loads* loads);
  void AddLoad(const state& engine, zone_loads& loads) const;
  // Expected wait for a free slot, seconds.
  double WaitSeconds(const state& engine) const;
  double Cost(const state& engine) const;
  // Fraction of failed sends, which decays with time.
  double ErrorRate(const state& engine) const;
  void CountOutcomes(state& engine, int ended, int failed);

  const clock& clock_;
  const zone_evacuations& evacuations_;
  step_time_estimator step_times_;
  zone_id own_zone_;
  zone_share zone_share_;
  std::set<service_id> preferring_own_zone_;
  std::set<service_id> sharing_machines_;
  std::mt19937_64 random_;
  std::map<endpoint_id, state> engines_;
  std::set<endpoint_id> misdirected_;
  // Outcomes for the next report.
  std::map<endpoint_id, send_count> sends_;
  std::map<std::pair<endpoint_id, model_id>, step_time_sample>
      step_time_samples_;
};

}  // namespace bluebell::serving
