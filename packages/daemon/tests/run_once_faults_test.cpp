#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <thread>
#include <utility>

#include "fault_test_cluster.h"

namespace bluebell::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class step {
  kBeforeRecord,
  kCreatingRecord,
  kRecordCreated,
  kRunning,
  kRecordingAnswer,
};

constexpr const char* kStepNames[] = {"before-record", "creating-record",
                                      "record-created", "running",
                                      "recording-answer"};

enum class fault {
  kKillHost,
  kPauseHost,
  kKillService,
  kCallerCloses,
  kOutage,
  kPlatformDelay,
  kPlatformLosesAnswer,
  kServiceDrops,
  kServiceLosesAnswer,
  kServiceTruncates,
  kServiceDuplicates,
  kServiceCrosses,
};

struct named_fault {
  fault kind;
  const char* name;
  /// The service applies this fault to the next request, so it cannot be
  /// injected after the dispatch.
  bool before_dispatch_only;
};

constexpr named_fault kFaults[] = {
    {fault::kKillHost, "kill_host", false},
    {fault::kPauseHost, "pause_host", false},
    {fault::kKillService, "kill_service", false},
    {fault::kCallerCloses, "caller_closes", false},
    {fault::kOutage, "outage", false},
    {fault::kPlatformDelay, "platform_delay", false},
    {fault::kPlatformLosesAnswer, "platform_loses_answer", false},
    {fault::kServiceDrops, "service_drops", true},
    {fault::kServiceLosesAnswer, "service_loses_answer", true},
    {fault::kServiceTruncates, "service_truncates", true},
    {fault::kServiceDuplicates, "service_duplicates", true},
    {fault::kServiceCrosses, "service_crosses", true},
};

/// Host that receives the first request and the fault.
constexpr int kFaultyHost = 1;
constexpr int kOtherHosts[] = {0, 2};

/// Runs the faults of one step in sequence on one cluster. Fails if an order
/// reaches the service twice, if an answer belongs to another order, or if an
/// order ran although every answer said "executed: no".
class run_once_scenarios {
 public:
  explicit run_once_scenarios(step at) : step_(at) {}

  void Start() {
    cluster_.StartHosts();
    // With one slot per host, an order queues behind another one.
    cluster_.AddOrders(step_ == step::kRecordCreated ? 1 : 8,
                       {"--run-ms", "400"});
    ASSERT_TRUE(cluster_.WaitReady());
    for (int host : {0, 1, 2}) {
      ASSERT_TRUE(WaitUntil([&] {
        return cluster_.SendOrder(host, "warm-" + std::to_string(host))
                   .status == 200;
      })) << host;
    }
  }

  void Run(const named_fault& injected) {
    SCOPED_TRACE(injected.name);
    order_ = std::string(injected.name) + "-at-" +
             kStepNames[static_cast<std::size_t>(step_)];
    runs_before_ = received_before_ = 0;
    replies_.clear();
    all_answered_ = true;
    started_ = std::chrono::steady_clock::now();
    AdvanceToStep();
    if (::testing::Test::HasFatalFailure()) return;
    Inject(injected.kind);
    if (FirstReplyArrivesDuring(injected.kind)) ReadFirstReply();
    ExpectRefusedOrdersNotRun();
    // Without its service, an order stays in the queue.
    const auto limit =
        injected.kind == fault::kKillService ? seconds(2) : seconds(8);
    for (int host : kOtherHosts) {
      RecordReply(cluster_.SendOrder(host, order_, limit));
    }
    ExpectRefusedOrdersNotRun();
    ClearFaults(injected.kind);
    ReadFirstReply();
    ExpectRefusedOrdersNotRun();
    ExpectConsistentRetries(injected.kind);
    if (blocking_caller_.joinable()) blocking_caller_.join();
    if (crossed_caller_.joinable()) crossed_caller_.join();
    Print();
    EXPECT_LE(runs_before_ + cluster_.Runs(order_), 1);
    EXPECT_LE(received_before_ + cluster_.Received(order_), 1);
  }

 private:
  void SendFirstRequest() {
    first_read_ = false;
    first_ =
        std::make_unique<caller_connection>(cluster_.host_address(kFaultyHost));
    first_->Send("POST", "/orders", OrderBody(order_),
                 {Bearer(cluster_.key()), "Idempotency-Key: " + order_});
  }

  // Whether the first request is answered while the fault is active.
  bool FirstReplyArrivesDuring(fault kind) const {
    if (kind == fault::kKillService) return step_ >= step::kRunning;
    return kind != fault::kPauseHost;
  }

  void ReadFirstReply() {
    if (std::exchange(first_read_, true)) return;
    RecordReply(first_->Read(seconds(15)));
  }

  void SetPlatform(const nlohmann::json& faults) {
    cluster_.SetFaults(cluster_.platform_address(), faults);
  }
  void SetService(const nlohmann::json& faults) {
    cluster_.SetFaults(cluster_.address_of("orders-0"), faults);
  }

  // Sends the order and waits until its first request has reached the step.
  void AdvanceToStep() {
    switch (step_) {
      case step::kBeforeRecord:
        cluster_.host(kFaultyHost).Signal(SIGSTOP);
        SendFirstRequest();
        return;
      case step::kCreatingRecord:
        SetPlatform({{"delay_ms", 700}});
        SendFirstRequest();
        // The gauge includes the request for the metrics itself.
        ASSERT_TRUE(WaitUntil([this] {
          return cluster_.Gauge(kFaultyHost, "open_requests") >= 2;
        }));
        return;
      case step::kRecordCreated: {
        const std::string ahead = order_ + "-ahead";
        blocking_caller_ = std::thread([this, ahead] {
          cluster_.SendOrder(kFaultyHost, ahead, seconds(8));
        });
        ASSERT_TRUE(WaitUntil([&] { return cluster_.Runs(ahead) == 1; }));
        SendFirstRequest();
        ASSERT_TRUE(WaitUntil([this] { return cluster_.HasRecord(order_); }));
        return;
      }
      case step::kRunning:
        SendFirstRequest();
        ASSERT_TRUE(WaitUntil([this] { return cluster_.Runs(order_) == 1; }));
        return;
      case step::kRecordingAnswer:
        SendFirstRequest();
        ASSERT_TRUE(WaitUntil([this] { return cluster_.Runs(order_) == 1; }));
        SetPlatform({{"delay_ms", 1000}});
        ReadFirstReply();
        ASSERT_FALSE(replies_.empty());
        ASSERT_EQ(replies_.back().status, 200) << replies_.back().body;
    }
  }

  void Inject(fault kind) {
    switch (kind) {
      case fault::kKillHost:
        cluster_.host(kFaultyHost).Kill();
        break;
      case fault::kPauseHost:
        cluster_.host(kFaultyHost).Signal(SIGSTOP);
        break;
      case fault::kKillService:
        runs_before_ = cluster_.Runs(order_);
        received_before_ = cluster_.Received(order_);
        cluster_.endpoint("orders-0").Kill();
        break;
      case fault::kCallerCloses:
        first_->Close();
        break;
      case fault::kOutage:
        SetPlatform({{"outage", true}});
        break;
      case fault::kPlatformDelay:
        // Longer than a host waits for the record.
        SetPlatform({{"delay_ms", 3500}});
        break;
      case fault::kPlatformLosesAnswer:
        SetPlatform({{"lose_answers", 1}, {"delay_ms", 0}});
        break;
      case fault::kServiceDrops:
        SetService({{"drop_requests", 1}});
        break;
      case fault::kServiceLosesAnswer:
        SetService({{"lose_answers", 1}});
        break;
      case fault::kServiceTruncates:
        SetService({{"truncate_answers", 1}});
        break;
      case fault::kServiceDuplicates:
        SetService({{"duplicate_answers", 1}});
        break;
      case fault::kServiceCrosses:
        SetService({{"cross_answers", 1}});
        crossed_caller_ = std::thread([this, partner = order_ + "-partner"] {
          const auto reply = cluster_.SendOrder(2, partner, seconds(8));
          if (reply.status == 200) {
            EXPECT_EQ(reply.json().value("order", ""), partner);
          }
        });
    }
    // A host that was paused to hold the request resumes under the fault.
    const bool stopped = step_ == step::kBeforeRecord &&
                         kind != fault::kKillHost && kind != fault::kPauseHost;
    if (stopped) cluster_.host(kFaultyHost).Signal(SIGCONT);
  }

  void ClearFaults(fault kind) {
    SetPlatform({{"outage", false}, {"delay_ms", 0}, {"lose_answers", 0}});
    if (kind == fault::kKillHost) cluster_.RestartHost(kFaultyHost);
    if (kind == fault::kPauseHost) cluster_.host(kFaultyHost).Signal(SIGCONT);
    if (kind == fault::kKillService) {
      cluster_.StartService("orders-0", {"--run-ms", "400"});
    }
    SetService({{"drop_requests", 0},
                {"lose_answers", 0},
                {"truncate_answers", 0},
                {"duplicate_answers", 0},
                {"cross_answers", 0}});
  }

  // Records a reply; status 0 means that there was none.
  void RecordReply(const http_reply& reply) {
    if (reply.status == 0) {
      all_answered_ = false;
      return;
    }
    if (reply.status == 200) {
      EXPECT_EQ(reply.json().value("order", ""), order_);
    }
    replies_.push_back(reply);
  }

  // If every request so far was answered with "executed: no", none may have
  // run.
  void ExpectRefusedOrdersNotRun() {
    for (const auto& reply : replies_) {
      if (reply.json().value("executed", "") != "no") return;
    }
    if (!first_read_ || !all_answered_) return;
    EXPECT_EQ(received_before_ + cluster_.Received(order_), 0);
  }

  // Retries at every host end with the same result: the recorded answer or
  // "outcome_unknown". An answer that the caller received is recorded in the
  // background, so retries get it soon; it can be lost only with its host.
  void ExpectConsistentRetries(fault kind) {
    const auto given =
        std::find_if(replies_.begin(), replies_.end(),
                     [](const auto& reply) { return reply.status == 200; });
    const bool kept = given != replies_.end() && kind != fault::kKillHost;
    for (int host : {kFaultyHost, 0, 2}) {
      http_reply last;
      EXPECT_TRUE(WaitUntil([&] {
        last = cluster_.SendOrder(host, order_, seconds(8));
        return last.status == 200 ||
               (!kept && last.json().value("code", "") == "outcome_unknown");
      })) << "host "
          << host << " " << last.status << " " << last.body;
      RecordReply(last);
    }
    std::string body;
    for (const auto& reply : replies_) {
      if (reply.status != 200) continue;
      if (body.empty()) body = reply.body;
      EXPECT_EQ(reply.body, body);
    }
  }

  void Print() {
    std::string line = "  " + order_ + ":";
    for (const auto& reply : replies_) {
      line +=
          " " + (reply.status == 200 ? "200" : reply.json().value("code", "?"));
    }
    const auto took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - started_);
    std::cout << line + " in " + std::to_string(took.count()) + " ms\n"
              << std::flush;
  }

  step step_;
  fault_test_cluster cluster_;
  std::string order_;
  std::unique_ptr<caller_connection> first_;
  bool first_read_ = false;
  std::vector<http_reply> replies_;
  bool all_answered_ = true;
  std::chrono::steady_clock::time_point started_;
  std::thread blocking_caller_;
  std::thread crossed_caller_;
  int runs_before_ = 0;
  int received_before_ = 0;
};

void RunStep(step at, bool after_dispatch) {
  run_once_scenarios cases(at);
  cases.Start();
  if (::testing::Test::HasFatalFailure()) return;
  for (const auto& injected : kFaults) {
    if (after_dispatch && injected.before_dispatch_only) continue;
    cases.Run(injected);
    if (::testing::Test::HasFatalFailure()) return;
  }
}

// Guards against a second execution, a false "executed: no" and an answer to
// another order, for every fault at every step. The steps run in parallel, each
// on its own cluster.
TEST(run_once_faults, EveryFaultAtEveryStep) {
  std::vector<std::thread> steps;
  for (const step at :
       {step::kBeforeRecord, step::kCreatingRecord, step::kRecordCreated}) {
    steps.emplace_back([at] { RunStep(at, false); });
  }
  for (const step at : {step::kRunning, step::kRecordingAnswer}) {
    steps.emplace_back([at] { RunStep(at, true); });
  }
  for (auto& running : steps) running.join();
}

}  // namespace
}  // namespace bluebell::daemon
