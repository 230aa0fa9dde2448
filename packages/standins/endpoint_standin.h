#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "standins/http_server.h"
#include "standins/json_http.h"

namespace bluebell::standins {

/// What model engines and plain services have in common: faults, the record of
/// requests and the load report.
///
/// Fields of `POST /admin/faults`. Those marked "next" count down with each
/// work request (completion or service call); the others stay until changed.
/// - `drop_requests`: next; the connection closes before the request runs.
/// - `lose_answers`: next; the request runs and the connection closes.
/// - `truncate_answers`, `duplicate_answers`: next; see `answer_fault`.
/// - `cross_answers`: next pairs; two requests get each other's answers. The
///   first one waits for the second for at most `kCrossWait`.
/// - `delay_ms`: before anything but `/admin/` runs.
/// - `freeze`: nothing but `/admin/` is answered, and open connections go
///   silent for good.
/// - `freeze_connections`: once; open connections go silent, new ones work.
/// - `crash_on`: a work request whose body contains this text ends the process.
/// - `leaving`: the state in the load report.
/// `GET /admin/requests` lists every request but those to `/admin/`, with
/// headers and body; `GET /admin/counters` shows the counters.
class endpoint_standin {
 public:
  using exchange_ptr = std::shared_ptr<http_exchange>;

  static constexpr std::chrono::milliseconds kCrossWait{2000};
  /// Oldest requests are dropped first; `dropped` in the list counts them.
  static constexpr std::size_t kMaxRecorded = 20'000;
  /// Longer bodies are recorded up to here.
  static constexpr std::size_t kMaxRecordedBody = 65'536;

  explicit endpoint_standin(clock& time) : time_(time) {}
  virtual ~endpoint_standin() = default;

  void Handle(const exchange_ptr& exchange);
  result<void> ApplyFaults(const nlohmann::json& fields,
                           const http_exchange* spared = nullptr);
  nlohmann::json Requests() const;
  virtual nlohmann::json Counters() const = 0;

  /// Called to end the process on a crash; it may return in tests.
  void set_on_crash(std::function<void()> callback) {
    on_crash_ = std::move(callback);
  }
  /// Called to make all connections but that of the exchange silent.
  void set_on_freeze(std::function<void(const http_exchange*)> callback) {
    on_freeze_ = std::move(callback);
  }

 protected:
  /// Whether the request is work, to which counted faults apply.
  virtual bool IsWork(const http_request& request) const = 0;
  virtual void HandleWork(const exchange_ptr& exchange) = 0;
  virtual void HandleOther(const exchange_ptr& exchange) = 0;
  /// Answers a request under `/admin/`; returns false if there is no such one.
  virtual bool HandleAdmin(const exchange_ptr& exchange) = 0;
  /// Readers of further fault fields.
  virtual std::map<std::string, field_reader> FaultReaders() { return {}; }

  void Later(clock::duration delay, std::function<void()> action);
  clock& time() const { return time_; }
  bool leaving() const { return faults_.leaving; }

 private:
  struct fault_state {
    int drop_requests = 0;
    int lose_answers = 0;
    int truncate_answers = 0;
    int duplicate_answers = 0;
    int cross_answers = 0;
    std::chrono::milliseconds delay{0};
    bool freeze = false;
    std::string crash_on;
    bool leaving = false;
  };

  void AnswerAdmin(const exchange_ptr& exchange);
  void Record(const http_request& request);
  void RunWork(const exchange_ptr& exchange);
  void Cross(const exchange_ptr& exchange);

  clock& time_;
  fault_state faults_;
  std::deque<nlohmann::json> requests_;
  std::uint64_t dropped_ = 0;
  // First request of a pair whose answers are to be crossed.
  exchange_ptr parked_;
  timer_handle parked_expiry_;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, timer_handle> timers_;
  std::function<void()> on_crash_;
  std::function<void(const http_exchange*)> on_freeze_;
};

}  // namespace bluebell::standins
