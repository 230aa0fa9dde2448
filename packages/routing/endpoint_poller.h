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
  /// Interval for suspect endpoints. It is short because a suspect endpoint
  /// receives no requests, even if only one report was lost.
  clock::duration suspect_interval = std::chrono::milliseconds(200);
  /// A poll without an answer after this time counts as missed.
  clock::duration timeout = std::chrono::milliseconds(800);
  /// Upper bound on the polls per second of idle healthy endpoints; their
  /// interval grows with the number of endpoints. Endpoints with requests of
  /// this host keep `interval`.
  double idle_polls_per_second = 200;
};

/// Polls all configured endpoints and passes the results to the view.
class endpoint_poller {
 public:
  endpoint_poller(clock& source, endpoint_view& view, report_source& reports,
                  poller_options options = {});
  ~endpoint_poller();

  void Start();
  /// Polls the endpoint now, or as soon as the poll in progress has ended.
  void PollNow(const endpoint_id& id);

 private:
  struct poll {
    timer_handle next;
    timer_handle timeout;
    /// Number of the poll in progress, to tell its answer from late ones; 0:
    /// none.
    std::uint64_t awaited_number = 0;
    /// Whether to poll again as soon as the poll in progress has ended.
    bool repeat_now = false;
  };

  void Synchronise();
  void Send(const endpoint_id& id);
  void Finish(const endpoint_id& id, std::uint64_t poll_number,
              clock::time_point sent_at, const result<endpoint_report>& answer);
  clock::duration IntervalOf(const endpoint_state& state) const;

  clock& clock_;
  endpoint_view& view_;
  report_source& reports_;
  poller_options options_;
  std::map<endpoint_id, poll> polls_;
  std::uint64_t next_poll_number_ = 1;
  timer_handle synchronise_;
  /// Late answers hold a weak pointer to it, which expires with the poller.
  std::shared_ptr<endpoint_poller*> self_;
};

}  // namespace bluebell::routing
