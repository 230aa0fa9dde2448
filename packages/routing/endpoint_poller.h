#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "routing/endpoint_report.h"
#include "routing/endpoint_view.h"

namespace bluebell::routing {

/// Fetches the load report of an endpoint, for example over HTTP.
class report_source {
 public:
  virtual ~report_source() = default;

  /// Calls `done` exactly once. Errors: `kUnavailable` (the connection was
  /// refused), `kTimeout`, and `kNotFound` (the endpoint answered and offers
  /// no load report). Other errors count as a missed report.
  virtual void Fetch(const config::endpoint_row& endpoint,
                     clock::duration timeout,
                     std::function<void(result<endpoint_report>)> done) = 0;
};

struct poller_options {
  clock::duration interval = std::chrono::seconds(1);
  /// Interval after a missed report, so that one lost report delays requests
  /// only briefly.
  clock::duration suspect_interval = std::chrono::milliseconds(200);
  /// An answer that takes longer counts as missed.
  clock::duration timeout = std::chrono::milliseconds(800);
  /// Bound on polls of idle healthy endpoints; their interval grows with their
  /// number. Endpoints with requests of this host keep `interval`.
  double idle_polls_per_second = 200;
};

/// Polls all configured endpoints and feeds their reports to the view.
class endpoint_poller {
 public:
  endpoint_poller(clock& source, endpoint_view& view, report_source& reports,
                  poller_options options = {});
  ~endpoint_poller();

  void Start();
  /// Polls the endpoint now, or again once the present poll has ended.
  void PollNow(const endpoint_id& id);

 private:
  struct poll {
    timer_handle next;
    timer_handle timeout;
    /// Distinguishes the answer that is awaited from late ones; 0: none.
    std::uint64_t awaited = 0;
    bool again = false;
  };

  void Synchronise();
  void Send(const endpoint_id& id);
  void Finish(const endpoint_id& id, std::uint64_t number,
              clock::time_point sent_at, const result<endpoint_report>& answer);
  clock::duration IntervalOf(const endpoint_state& state) const;

  clock& clock_;
  endpoint_view& view_;
  report_source& reports_;
  poller_options options_;
  std::map<endpoint_id, poll> polls_;
  std::uint64_t next_number_ = 1;
  timer_handle synchronise_;
  /// Tells late answers whether the poller still exists.
  std::shared_ptr<endpoint_poller*> self_;
};

}  // namespace bluebell::routing
