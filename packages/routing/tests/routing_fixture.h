#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "config/snapshot.h"
#include "routing/endpoint_poller.h"
#include "routing/endpoint_view.h"
#include "routing/queue_scheduler.h"

namespace bluebell::routing {

/// Simulated endpoints that answer the poller's requests for load reports.
class fake_endpoints final : public report_source {
 public:
  struct endpoint {
    endpoint_report report;
    std::optional<error_code> failure;
    bool unresponsive = false;
  };

  void Fetch(const config::endpoint_row& row, clock::duration,
             std::function<void(result<endpoint_report>)> done) override {
    auto& requested = by_id[row.id];
    if (requested.unresponsive) return;
    if (requested.failure) {
      done(Fail(*requested.failure, "injected"));
    } else {
      done(requested.report);
    }
  }

  void Restart(const endpoint_id& id) { by_id[id].report.incarnation += "+"; }

  std::map<endpoint_id, endpoint> by_id;
};

class routing_fixture : public ::testing::Test {
 protected:
  using milliseconds = std::chrono::milliseconds;

  void AddEngine(const std::string& id, int concurrency,
                 std::set<std::string> resident) {
    Put(id, {{"max_concurrency", concurrency}});
    auto& report = endpoints_.by_id[endpoint_id(id)].report;
    report.incarnation = "1";
    report.resident = std::move(resident);
  }

  void Put(const std::string& id, nlohmann::json row) {
    row["id"] = id;
    row["address"] = "127.0.0.1:1";
    row["zone"] = "z";
    if (!row.contains("kind")) row["kind"] = "engine";
    if (!row.contains("group")) row["group"] = "";
    row["memory_bytes"] = 1000;
    row["checks_fencing"] = true;
    rows_.Apply({"endpoints/" + id, revision(++version_), std::move(row)});
  }

  void Remove(const std::string& id) {
    rows_.Apply({"endpoints/" + id, revision(++version_), {{"deleted", true}}});
  }

  void Start(scheduler_options options = {}) {
    view_ = std::make_unique<endpoint_view>(clock_, rows_, nullptr);
    poller_ = std::make_unique<endpoint_poller>(clock_, *view_, endpoints_);
    scheduler_ = std::move(*queue_scheduler::Create(
        clock_, *view_, nullptr, options,
        [this](const std::string& fingerprint, int crashes) {
          notices_.emplace_back(fingerprint, crashes);
        }));
    scheduler_->SetPollNow(
        [this](const endpoint_id& id) { poller_->PollNow(id); });
    poller_->Start();
    clock_.Advance(std::chrono::seconds(1));
  }

  static routing_request Request(const std::string& account,
                                 const std::string& target,
                                 const std::string& fingerprint = "") {
    routing_request request;
    request.account = account_id(account);
    request.target = target;
    request.fingerprint = fingerprint;
    request.estimated_tokens = token_count(100);
    return request;
  }

  /// Result of an `Acquire`, empty while the request waits.
  using pending = std::shared_ptr<std::optional<scheduler::acquire_result>>;

  pending Acquire(const routing_request& request) {
    auto answer = std::make_shared<std::optional<scheduler::acquire_result>>();
    last_ticket_ = scheduler_->Acquire(
        request, [answer](scheduler::acquire_result acquired) {
          EXPECT_FALSE(answer->has_value()) << "callback called twice";
          *answer = std::move(acquired);
        });
    return answer;
  }

  static std::string EndpointOf(const pending& answer) {
    if (!*answer) return "waiting";
    if (!**answer) return Describe((**answer).error().code).code;
    return (**answer)->endpoint.value();
  }

  void Finish(const pending& answer,
              dispatch_outcome outcome = dispatch_outcome::kSucceeded) {
    scheduler_->Release(***answer, outcome, token_count(100));
  }

  manual_clock clock_;
  config::snapshot rows_;
  fake_endpoints endpoints_;
  std::unique_ptr<endpoint_view> view_;
  std::unique_ptr<endpoint_poller> poller_;
  std::unique_ptr<queue_scheduler> scheduler_;
  std::vector<std::pair<std::string, int>> notices_;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace bluebell::routing
