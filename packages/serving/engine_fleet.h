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
#include "serving/engine_pace.h"
#include "serving/engine_record.h"

namespace bluebell::serving {

/// A model or, with an adapter, that adapter came to an engine or left it. The
/// placement holder tells this before the engine's record shows it.
struct residency_notice {
  endpoint_id engine;
  std::int64_t started_ms = 0;
  model_id model;
  adapter_id adapter;
  bool present = false;
  /// Time since the change.
  clock::duration age{0};
};

/// What a request needs of an engine.
struct engine_need {
  service_id service;
  /// Empty for plain services.
  model_id model;
  /// Empty if the request names no adapter.
  adapter_id adapter;
  /// Requests that this host may have in flight at one engine, so that all
  /// hosts together stay within the connections that it accepts.
  int most_in_flight = std::numeric_limits<int>::max();
};

/// How one send to an engine ended.
struct send_outcome {
  bool failed = false;
  /// Time to the answer or to the first event; none if there was none.
  std::optional<clock::duration> first_answer;
  /// Time during which the request held a slot.
  clock::duration held{0};
  /// Model that ran; empty for plain services.
  model_id model;
  /// Mean time between two events of a stream, or to a whole answer; none if
  /// there were not enough events.
  std::optional<clock::duration> step;
};

/// Sends to one endpoint that ended, and how many of them failed.
struct send_count {
  endpoint_id engine;
  int ended = 0;
  int failed = 0;
};

/// What a host thinks of an engine by the outcomes it knows.
enum class engine_verdict { kUsual, kSlow, kFailing };

const char* ToString(engine_verdict verdict);

/// The verdict on an engine has changed.
struct verdict_change {
  endpoint_id engine;
  engine_verdict verdict = engine_verdict::kUsual;
  /// Time of a step as a multiple of a typical engine's.
  double pace = 1;
  /// Recent share of failed sends, 0 to 1.
  double failing = 0;
};

/// Outcomes of one host's sends since its report before.
struct outcome_report {
  std::vector<send_count> sends;
  std::vector<pace_sample> paces;
};

enum class choice_status {
  kChosen,
  /// The service has no endpoint that accepts work.
  kNoEngine,
  /// No engine has the model.
  kNoModel,
  /// Engines have the model but none has the adapter.
  kNoAdapter,
  /// Every engine that could run it is too busy to answer in time.
  kBusy,
};

struct engine_choice {
  choice_status status = choice_status::kNoEngine;
  endpoint_id engine;
  /// For `kBusy`: expected wait at the least busy engine.
  clock::duration wait{0};
};

/// One host's picture of all endpoints and its choice among them.
///
/// The picture joins the stored records, the placement holder's notices, the
/// requests that this and the other hosts have in flight, and the outcomes of
/// recent sends of this and of other hosts. Health answers are not used:
/// engines that fail or stall are found by outcomes.
///
/// Load pattern: engines of one service differ in speed by a factor of three,
/// some turn slow or fail part of their requests while they look healthy, and
/// bursts fill a few of them.
class engine_fleet {
 public:
  /// An engine writes its record every second or so and the store shows it
  /// within another; after this time the record tells of every change.
  static constexpr std::chrono::milliseconds kRecordLag{3500};

  struct residency_change {
    bool present = false;
    clock::time_point at;
  };

  struct state {
    engine_record record;
    /// Changes that the record may not show yet, by model and adapter; an
    /// empty adapter stands for the model.
    std::map<std::pair<model_id, adapter_id>, residency_change> changes;
    int own_in_flight = 0;
    /// Requests in flight from each other host.
    std::map<host_id, int> others_in_flight;
    /// Average time to the first answer, seconds.
    double answer_s = 0;
    /// Average time that a request holds a slot, seconds.
    double held_s = 0;
    /// Recent share of failed sends, 0 to 1.
    double failing = 0;
    clock::time_point failed_at;
    engine_verdict verdict = engine_verdict::kUsual;

    int InFlight() const;
    bool HasModel(const model_id& model, clock::time_point now) const;
    bool HasAdapter(const model_id& model, const adapter_id& adapter,
                    clock::time_point now) const;
    /// Resident models: the record corrected by recent changes.
    resident_models Resident(clock::time_point now) const;
  };

  engine_fleet(const clock& source, zone_id own_zone, std::uint64_t seed)
      : clock_(source),
        pace_(source),
        own_zone_(std::move(own_zone)),
        random_(seed) {}

  /// Replaces the records by those the store lists now. Returns whether any
  /// record changed.
  bool Replace(std::vector<engine_record> records);
  void OnNotice(const residency_notice& notice);
  /// The engine said that it does not have the model or adapter.
  void OnAbsent(const endpoint_id& engine, const engine_need& need);
  /// The address belongs to another endpoint now.
  void OnMisdirected(const endpoint_id& engine);
  void OnPeerLoad(const host_id& sender,
                  const std::map<endpoint_id, int>& in_flight);
  void OnPeerGone(const host_id& sender);
  /// Outcomes of another host of this zone. Those of other zones tell little:
  /// an engine may fail for the callers of one zone only.
  void OnPeerOutcomes(const outcome_report& report);
  /// Own outcomes since the last call.
  outcome_report TakeOutcomes();
  /// Engines on which the verdict has changed since the last call.
  std::vector<verdict_change> TakeVerdictChanges();

  /// Draws an engine; the less time to the first answer it is expected to
  /// take, the more often.
  /// `within` is the longest wait for a free slot that is worth it;
  /// `excluded` names engines that were tried.
  engine_choice Choose(const engine_need& need, clock::duration within,
                       const std::set<endpoint_id>& excluded);

  void OnSend(const endpoint_id& engine);
  void OnEnd(const endpoint_id& engine, const send_outcome& outcome);

  state* Find(const endpoint_id& engine);
  const state* Find(const endpoint_id& engine) const;
  const std::map<endpoint_id, state>& engines() const { return engines_; }
  const engine_pace& pace() const { return pace_; }
  std::map<endpoint_id, int> OwnInFlight() const;

 private:
  // Expected wait for a free slot, seconds.
  double WaitSeconds(const state& engine) const;
  double Cost(const state& engine) const;
  // Share of failed sends, forgotten with time.
  double Failing(const state& engine) const;
  void CountOutcomes(state& engine, int ended, int failed);

  const clock& clock_;
  engine_pace pace_;
  zone_id own_zone_;
  std::mt19937_64 random_;
  std::map<endpoint_id, state> engines_;
  std::set<endpoint_id> misdirected_;
  // For the next report.
  std::map<endpoint_id, send_count> sends_;
  std::map<std::pair<endpoint_id, model_id>, pace_sample> paces_;
};

}  // namespace bluebell::serving
