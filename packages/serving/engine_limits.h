#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// A period in which a process of an engine is cold, as sent to other hosts.
struct cold_notice {
  /// Requests per second from all hosts together.
  double per_s = 0;
  /// Time until its end.
  clock::duration remaining{0};
  /// Time since it was read.
  clock::duration age{0};
};

/// The rate limits of an engine, as sent to other hosts.
struct limit_notice {
  endpoint_id engine;
  /// Process of the engine, by its start time.
  std::int64_t started_ms = 0;
  /// Reported limit: requests per second from all hosts together.
  double per_s = 0;
  /// Time since the limit was last reported; none if it never was.
  std::optional<clock::duration> named_age = clock::duration(0);
  /// Time since the sending of the newest request whose answer had no limit.
  std::optional<clock::duration> free_age;
  std::optional<cold_notice> cold = std::nullopt;
};

/// Whether a request may be sent to an engine.
struct send_permit {
  bool granted = true;
  /// If not granted: time until the engine may take another request.
  clock::duration wait{0};
  /// When it was requested; none if the engine needed none then.
  std::optional<clock::time_point> requested_at = std::nullopt;
};

/// The right of a host to grant permits for a cold engine.
struct permit_tenure {
  /// Permits accrue from then on.
  clock::time_point from = clock::time_point::min();
  /// A host that would grant them instead is silent here but may still grant
  /// permits to others.
  bool contested = false;
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
/// A cold engine is the second reason for a limit: until the end of the period
/// that it stated, its process gets at most the rate for cold engines of its
/// service. The lower of the two limits applies.
///
/// Workload: engines limit themselves to between one and twenty requests a
/// second, far below the demand for their models. Engines are cold for seconds
/// after their start or after an evacuation, and crash when they get far more
/// than 12 requests in a second.
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
  /// `read_at`: the process was cold at `per_s` for `remaining`, or not cold if
  /// that is zero. `stated`: by the engine itself. Records and other hosts'
  /// notices are late, by a time that is not always known: one that was read
  /// before the latest statement is ignored, and none shortens a cold period.
  void OnCold(const endpoint_id& engine, std::int64_t started_ms, double per_s,
              clock::duration remaining, clock::time_point read_at,
              bool stated);
  /// Another host's notice, sent `late` ago.
  void OnNotice(const limit_notice& notice, clock::duration late);
  /// Notices for other hosts, the latest first.
  std::vector<limit_notice> Notices() const;
  /// The notice for one engine; none if it never had a limit.
  std::optional<limit_notice> NoticeOf(const endpoint_id& engine) const;

  /// Limit in force that the engine reported; none if there is none.
  std::optional<double> Limit(const endpoint_id& engine) const;
  /// Whether the engine is cold. It still counts as a copy of its models.
  bool IsCold(const endpoint_id& engine) const;
  /// Whether each request to the engine needs a permit.
  bool NeedsPermit(const endpoint_id& engine) const {
    return Limit(engine) || IsCold(engine);
  }
  /// Whether a request may be sent to the engine with `permit` now. A permit
  /// for a cold engine is void after 250 ms: requests that were delayed, as by
  /// a suspension of this host, would arrive together with later ones.
  bool MayUse(const endpoint_id& engine, const send_permit& permit) const;
  /// As the engine's permit owner: takes a permit at `share`, 0 to 1, of the
  /// limit. Each denial returns a later time than the one before, which spreads
  /// the retries. `tenure` applies to a cold engine.
  send_permit Take(const endpoint_id& engine, double share,
                   const permit_tenure& tenure = {});
  /// The permit owner has denied a permit.
  void OnDenied(const endpoint_id& engine, const send_permit& denied);
  /// Engines that have turned cold (true) or are no longer cold (false) since
  /// the last call.
  std::vector<std::pair<endpoint_id, bool>> TakeColdChanges();
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
  // Permits of 1.25 s, 22 at a rate of 12, stay below the 23 requests in a
  // second that a cold engine accepts.
  static constexpr std::chrono::milliseconds kMaxColdPermitAge{250};

  // Two hosts that both grant permits for a cold engine stay within its 1.5 c +
  // 5 requests in a second: the one 1 + 1.5 c, and the one whose tenure is
  // contested 1 + 1.5 x 2.
  static constexpr double kMaxContestedPerSecond = 2;

  struct cold_period {
    double per_s = 0;
    clock::time_point read_at;
    clock::time_point until;
    // By the engine itself, to this host.
    bool stated = false;
  };

  struct state {
    std::int64_t started_ms = 0;
    double per_s = 0;
    std::optional<clock::time_point> named_at;
    std::optional<clock::time_point> free_at;
    std::optional<cold_period> cold;
    /// As of the last `TakeColdChanges`.
    bool cold_reported = false;
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
  void SetCold(state& engine, cold_period read);
  bool IsCold(const state& engine) const {
    return engine.cold && engine.cold->until > clock_.now();
  }
  // Before a limit takes effect: permits accrue from now on.
  void StartPermits(state& engine);
  limit_notice ToNotice(const endpoint_id& id, const state& engine) const;

  const clock& clock_;
  std::map<endpoint_id, state> engines_;
};

}  // namespace bluebell::serving
