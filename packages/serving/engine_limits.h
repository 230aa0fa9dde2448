#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// What a host knows of the limit that an engine has named, for other hosts.
struct limit_notice {
  endpoint_id engine;
  /// Process of the engine, by its start time.
  std::int64_t started_ms = 0;
  /// Requests per second from all hosts together.
  double per_s = 0;
  /// Time since it was last named.
  clock::duration named_age{0};
  /// Time since the newest request was sent whose answer named no limit.
  std::optional<clock::duration> free_age;
};

/// Whether a request may be sent to an engine.
struct send_permit {
  bool granted = true;
  /// If not granted: time until the engine may take another request.
  clock::duration wait{0};
};

/// The limits that engines have named, and the permits under them; and for how
/// long engines that turned a request of this host away want no other.
///
/// An engine in need names in its answers how many requests it takes from all
/// hosts together. Hosts tell each other when they last heard a limit, and when
/// an answer named none; a limit has ended if the engine answered a request
/// without it that was sent after the limit was last heard anywhere. One host
/// per engine, its permit owner, grants every request to it, so that the sum
/// stays within the limit however demand moves between hosts. A host that
/// becomes the owner starts with no permits. Owners must divide the rate while
/// some hosts cannot be heard, since these may have an owner of their own.
///
/// Workload: engines that are full ask for pauses, or name limits of one to
/// twenty requests a second, far below the demand for their models.
class engine_limits {
 public:
  explicit engine_limits(const clock& source) : clock_(source) {}

  /// The process of `engine` that began at `started_ms` has named a limit.
  void OnNamed(const endpoint_id& engine, std::int64_t started_ms,
               double per_s);
  /// It has run a request sent at `sent` and named no limit in its answer.
  void OnNoneNamed(const endpoint_id& engine, std::int64_t started_ms,
                   clock::time_point sent);
  /// It wants nothing from this host until `until`.
  void OnPause(const endpoint_id& engine, std::int64_t started_ms,
               clock::time_point until);
  /// Time left of that; zero if none.
  clock::duration PausedFor(const endpoint_id& engine) const;
  /// Another host's notice, sent `late` ago.
  void OnNotice(const limit_notice& notice, clock::duration late);
  /// Notices for other hosts, the limits heard last first.
  std::vector<limit_notice> Notices() const;
  /// The notice for one engine; none if it has named no limit.
  std::optional<limit_notice> NoticeOf(const endpoint_id& engine) const;

  /// Limit in force; none if the engine takes any number of requests.
  std::optional<double> Limit(const endpoint_id& engine) const;
  /// As the engine's permit owner: takes a permit at `share`, 0 to 1, of the
  /// limit. Denials tell one time after the other, so that those who ask return
  /// in turn.
  send_permit Take(const endpoint_id& engine, double share);
  /// The permit owner has denied a permit.
  void OnDenied(const endpoint_id& engine, const send_permit& denied);
  /// Time until the owner should be asked again; zero if at once.
  clock::duration DeniedFor(const endpoint_id& engine) const;

 private:
  // Rate at which an engine is tried that takes less; otherwise no host would
  // hear that it takes more again.
  static constexpr double kMinPerSecond = 0.2;
  // Permits that accumulate while nobody asks: one, and this many seconds of
  // the rate.
  static constexpr double kBurstSeconds = 0.5;
  // Longest wait that a denial tells: demand may have gone by then.
  static constexpr std::chrono::seconds kMaxWait{5};
  // The end of a limit is told to the others for this long.
  static constexpr std::chrono::seconds kEndNoticePeriod{10};
  static constexpr std::size_t kMaxNotices = 64;

  struct state {
    std::int64_t started_ms = 0;
    double per_s = 0;
    std::optional<clock::time_point> named_at;
    std::optional<clock::time_point> free_at;
    double permits = 0;
    clock::time_point permits_updated;
    /// Time that the next denial tells at the earliest.
    clock::time_point next_return;
    clock::time_point denied_until;
    clock::time_point paused_until;

    bool InForce() const {
      return named_at && !(free_at && *free_at > *named_at);
    }
  };

  // The state of a process; null if a later process of the engine is known.
  state* Find(const endpoint_id& engine, std::int64_t started_ms);
  void Name(state& engine, double per_s, clock::time_point at);
  limit_notice ToNotice(const endpoint_id& id, const state& engine) const;

  const clock& clock_;
  std::map<endpoint_id, state> engines_;
};

}  // namespace bluebell::serving
