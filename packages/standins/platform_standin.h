#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "standins/http_server.h"

namespace bluebell::standins {

/// The platform's object API, docs/design.md, section 2.5.
///
/// Fields of `POST /admin/faults`: `outage` (calls other than `/admin/` are
/// closed without an answer, and the API listener is closed if the program has
/// a separate admin listener), `delay_ms` (before a call takes effect),
/// `lose_answers` and `drop_requests` (number of following calls),
/// `silent_watches`, `freeze_connections` (once; all open connections go
/// silent). `PUT /admin/hosts` sets the list that `GET /v1/hosts` shows after
/// the lag. `GET /admin/counters` counts the calls by operation.
class platform_standin {
 public:
  static constexpr std::size_t kMaxValueBytes = 1'000'000;

  platform_standin(clock& time, std::chrono::milliseconds hosts_lag);

  void Handle(const std::shared_ptr<http_exchange>& exchange);
  /// Applies fields of `/admin/faults`; an unknown field is an error.
  result<void> ApplyFaults(const nlohmann::json& fields,
                           const http_exchange* spared = nullptr);
  nlohmann::json Counters() const;
  /// Shows `hosts`, an array of `{"id","state"}`, after the lag.
  void SetHosts(const nlohmann::json& hosts);

  /// Called when `outage` is switched; the argument tells whether it is on.
  void set_on_outage(std::function<void(bool)> callback) {
    on_outage_ = std::move(callback);
  }
  /// Called to make all connections but that of the exchange silent.
  void set_on_freeze(std::function<void(const http_exchange*)> callback) {
    on_freeze_ = std::move(callback);
  }

 private:
  using exchange_ptr = std::shared_ptr<http_exchange>;
  struct stored {
    std::uint64_t version;
    nlohmann::json value;
  };
  struct waiter {
    std::string prefix;
    std::uint64_t after;
    exchange_ptr exchange;
    timer_handle expiry;
  };
  struct fault_state {
    bool outage = false;
    std::chrono::milliseconds delay{0};
    int lose_answers = 0;
    int drop_requests = 0;
    bool silent_watches = false;
  };

  void HandleAdmin(const exchange_ptr& exchange);
  void HandleCall(const exchange_ptr& exchange);
  void Run(const exchange_ptr& exchange);
  void RunObject(const exchange_ptr& exchange, const std::string& name);
  http_response Get(const std::string& name);
  http_response Put(const http_request& request, const std::string& name);
  http_response Remove(const http_request& request, const std::string& name);
  void Watch(const exchange_ptr& exchange);
  void AnswerWatch(const exchange_ptr& exchange, const nlohmann::json& body);
  void WakeWatches(const std::string& name);
  nlohmann::json Changed(const std::string& prefix, std::uint64_t after) const;
  nlohmann::json Show(const std::string& name) const;
  bool Conflicts(const http_request& request, const std::string& name) const;
  void Later(clock::duration delay, std::function<void()> action);

  clock& time_;
  std::chrono::milliseconds hosts_lag_;
  fault_state faults_;
  std::map<std::string, stored> objects_;
  std::uint64_t last_ = 0;
  nlohmann::json hosts_ = nlohmann::json::array();
  std::list<waiter> waiters_;
  std::map<std::string, std::int64_t> counters_;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, timer_handle> timers_;
  std::function<void(bool)> on_outage_;
  std::function<void(const http_exchange*)> on_freeze_;
};

}  // namespace bluebell::standins
