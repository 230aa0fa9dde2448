#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Asks for room for one request at an engine of a brittle service.
struct room_request {
  endpoint_id engine;
  /// Digest address of the host that asks; empty for this host.
  std::string holder;
  /// Unique at the holder.
  std::uint64_t number = 0;
  /// 0 is the most urgent.
  int urgency = 0;
  /// How long the request may wait for room.
  clock::duration wait{0};
};

enum class room_answer { kGranted, kQueued, kDenied };

/// The room of an engine, as far as its owner can tell.
struct engine_room {
  /// Requests that the engine runs at once.
  int slots = 1;
  /// Refusals per second that the engine survives.
  double refusals_per_s = 0;
  /// Requests there from all hosts, by their digests.
  int in_flight = 0;
  /// Those of hosts that do not ask.
  int others = 0;
  /// Mean time for which a request occupies a slot.
  clock::duration service_time{0};
};

/// How a request that had room ended.
struct room_outcome {
  /// The engine turned it away.
  bool refused = false;
  /// Requests that ran and waited at the engine, by its answer.
  std::optional<int> load;
};

/// Room at the engines of brittle services that this host owns: it grants each
/// request to them, so that all hosts together send an engine no more than it
/// runs at once, and lets the others wait here, the most urgent first.
///
/// Load pattern: some hundred requests a second at four fifths of what the
/// engines carry, from hosts that learn of each other's requests up to a second
/// late.
class room_ledger {
 public:
  explicit room_ledger(const clock& source) : clock_(source) {}

  /// Grants room, or queues the request if it is expected to get room within
  /// its wait. A repeated request changes nothing.
  room_answer Ask(const room_request& request, const engine_room& room);
  /// The request has ended, or room is no longer wanted.
  void Release(const endpoint_id& engine, const std::string& holder,
               std::uint64_t number, const room_outcome& outcome);
  /// Queued requests that have got room, and those whose wait has passed.
  std::vector<std::pair<room_request, room_answer>> TakeDecided();
  /// Requests that a holder has in flight, by its newest digest; room that it
  /// no longer uses is free.
  void OnInFlight(const std::string& holder,
                  const std::map<endpoint_id, int>& in_flight);
  void OnHolderGone(const std::string& holder);
  /// Requests that have room at `engine`.
  int Held(const endpoint_id& engine) const;
  bool HasQueue() const;

 private:
  // A digest may be older than a grant by its interval and its way.
  static constexpr std::chrono::milliseconds kDigestAge{1500};
  // Requests that were in flight before this host became the owner have ended
  // or are in all digests after this time.
  static constexpr std::chrono::milliseconds kTakeover{1200};
  // Engines without requests are forgotten after this time.
  static constexpr std::chrono::seconds kRetention{10};
  // Weight of the newest answer in the load of hosts that do not ask.
  static constexpr double kLoadWeight = 0.1;
  static constexpr std::size_t kMaxQueue = 256;

  struct grant {
    std::string holder;
    std::uint64_t number = 0;
    clock::time_point at;
    /// Most requests that had room at once since then.
    std::size_t peak = 0;
  };
  struct waiting_request {
    room_request request;
    clock::time_point until;
  };
  struct state {
    engine_room room;
    clock::time_point owned_since;
    clock::time_point asked_at;
    std::vector<grant> grants;
    /// By urgency, then by arrival.
    std::multimap<int, waiting_request> queue;
    std::deque<clock::time_point> refusals;
    /// Average of what the engine has beyond what was granted; none if it does
    /// not state its load.
    std::optional<double> unknown_load;
  };

  // What a repeated request was answered; none if it is new.
  static std::optional<room_answer> Find(const state& engine,
                                         const room_request& request);
  bool HasRoom(state& engine) const;
  void Grant(state& engine, const room_request& request) const;

  const clock& clock_;
  std::map<endpoint_id, state> engines_;
};

}  // namespace bluebell::serving
