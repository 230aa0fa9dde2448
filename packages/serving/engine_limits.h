#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// A rate limit that an engine has reported, as sent to other hosts.
struct limit_notice {
  endpoint_id engine;
  /// Process of the engine, by its start time.
  std::int64_t started_ms = 0;
  /// Requests per second from all hosts together.
  double per_s = 0;
  /// Time since the limit was last reported.
  clock::duration named_age{0};
  /// Time since the sending of the newest request whose answer had no limit.
  std::optional<clock::duration> free_age;
};

/// Whether a request may be sent to an engine.
struct send_permit {
  bool granted = true;
  /// If not granted: time until the engine may take another request.
  clock::duration wait{0};
};

/// Rate limits of engines and the permits under them, and pauses that engines
/// requested from this host.
///
/// An overloaded engine states in its answers how many requests per second it
/// accepts from all hosts together. Hosts exchange the time of the latest such
/// answer, and the send time of the latest request that was answered without a
/// limit. A limit has ended if the latter is later. One host per engine, its
/// permit owner, grants every request to it, so that the sum stays within the
/// limit however demand moves between hosts. A host that becomes the owner
/// starts without permits. While some hosts are unreachable, an owner grants
/// only a part of the rate, because they may have an owner of their own.
///
/// Workload: engines limit themselves to between one and twenty requests a
/// second, far below the demand for their models.
class engine_limits {
 public:
  explicit engine_limits(const clock& source) : clock_(source) {}

  /// The process of `engine` that started at `started_ms` reported a limit.
  void OnNamed(const endpoint_id& engine, std::int64_t started_ms,
               double per_s);
  /// It answered a request sent at `sent` without a limit.
  void OnNoneNamed(const endpoint_id& engine, std::int64_t started_ms,
                   clock::time_point sent);
  /// It requested no traffic from this host until `until`.
  void OnPause(const endpoint_id& engine, std::int64_t started_ms,
               clock::time_point until);
  /// Remaining time of that pause; zero if none.
  clock::duration PausedFor(const endpoint_id& engine) const;
  /// Another host's notice, sent `late` ago.
  void OnNotice(const limit_notice& notice, clock::duration late);
  /// Notices for other hosts, the latest first.
  std::vector<limit_notice> Notices() const;
  /// The notice for one engine; none if it never reported a limit.
  std::optional<limit_notice> NoticeOf(const endpoint_id& engine) const;

  /// Limit in force; none if the engine is not limited.
  std::optional<double> Limit(const endpoint_id& engine) const;
  /// As the engine's permit owner: takes a permit at `share`, 0 to 1, of the
  /// limit. Each denial returns a later time than the one before, which spreads
  /// the retries.
  send_permit Take(const endpoint_id& engine, double share);
  /// The permit owner has denied a permit.
  void OnDenied(const endpoint_id& engine, const send_permit& denied);
  /// Time until a permit should be requested again; zero if at once.
  clock::duration DeniedFor(const endpoint_id& engine) const;

 private:
  // Lowest rate of requests to an engine; without any, the end of its limit
  // would not be noticed.
  static constexpr double kMinPerSecond = 0.2;
  // Unused permits accumulate up to one and this many seconds of the rate.
  static constexpr double kBurstSeconds = 0.5;
  // Maximum wait in a denial, as demand changes within seconds.
  static constexpr std::chrono::seconds kMaxWait{5};
  // The end of a limit is sent to other hosts for this long.
  static constexpr std::chrono::seconds kEndNoticePeriod{10};
  static constexpr std::size_t kMaxNotices = 64;

  struct state {
    std::int64_t started_ms = 0;
    double per_s = 0;
    std::optional<clock::time_point> named_at;
    std::optional<clock::time_point> free_at;
    double permits = 0;
    clock::time_point permits_updated;
    /// Earliest time for the next denial.
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
