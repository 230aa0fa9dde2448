#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <thread>
#include <utility>

#include "fault_site.h"

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
  /// Faults that the service applies to the next request have no later step
  /// than the dispatch.
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

/// Host that takes the first request and suffers the fault.
constexpr int kFirst = 1;
constexpr int kOthers[] = {0, 2};

/// Runs the faults of one step one after the other on one site. An order that
/// reaches the service twice, an answer of another order, or an order that ran
/// although every answer said "executed: no" is a failure.
class run_once_cases {
 public:
  explicit run_once_cases(step at) : step_(at) {}

  void Start() {
    site_.StartHosts();
    // One slot per host lets an order wait behind another one.
    site_.AddOrders(step_ == step::kRecordCreated ? 1 : 8, {"--run-ms", "400"});
    ASSERT_TRUE(site_.WaitReady());
    for (int host : {0, 1, 2}) {
      ASSERT_TRUE(WaitUntil([&] {
        return site_.SendOrder(host, "warm-" + std::to_string(host)).status ==
               200;
      })) << host;
    }
  }

  void Run(const named_fault& injected) {
    SCOPED_TRACE(injected.name);
    order_ = std::string(injected.name) + "-at-" +
             kStepNames[static_cast<std::size_t>(step_)];
    runs_before_ = received_before_ = 0;
    answers_.clear();
    answered_all_ = true;
    started_ = std::chrono::steady_clock::now();
    Reach();
    if (::testing::Test::HasFatalFailure()) return;
    Inject(injected.kind);
    if (ReadsFirstUnder(injected.kind)) ReadFirst();
    CheckRefusalsAreTrue();
    // Without its service, an order waits in the queue.
    const auto limit =
        injected.kind == fault::kKillService ? seconds(2) : seconds(8);
    for (int host : kOthers) Take(site_.SendOrder(host, order_, limit));
    CheckRefusalsAreTrue();
    Heal(injected.kind);
    ReadFirst();
    CheckRefusalsAreTrue();
    CheckRepeats(injected.kind);
    if (blocker_.joinable()) blocker_.join();
    if (partner_.joinable()) partner_.join();
    Print();
    EXPECT_LE(runs_before_ + site_.Runs(order_), 1);
    EXPECT_LE(received_before_ + site_.Received(order_), 1);
  }

 private:
  void SendFirst() {
    first_read_ = false;
    first_ = std::make_unique<caller_connection>(site_.host_address(kFirst));
    first_->Send("POST", "/orders", OrderBody(order_),
                 {Bearer(site_.key()), "Idempotency-Key: " + order_});
  }

  // Whether the first request is answered while the fault lasts.
  bool ReadsFirstUnder(fault kind) const {
    if (kind == fault::kKillService) return step_ >= step::kRunning;
    return kind != fault::kPauseHost;
  }

  void ReadFirst() {
    if (std::exchange(first_read_, true)) return;
    Take(first_->Read(seconds(15)));
  }

  void SetPlatform(const nlohmann::json& faults) {
    site_.SetFaults(site_.platform_address(), faults);
  }
  void SetService(const nlohmann::json& faults) {
    site_.SetFaults(site_.address_of("orders-0"), faults);
  }

  // Sends the order and brings its first request to the step.
  void Reach() {
    switch (step_) {
      case step::kBeforeRecord:
        site_.host(kFirst).Signal(SIGSTOP);
        SendFirst();
        return;
      case step::kCreatingRecord:
        SetPlatform({{"delay_ms", 700}});
        SendFirst();
        // The request for the metrics counts as well.
        ASSERT_TRUE(WaitUntil(
            [this] { return site_.Gauge(kFirst, "open_requests") >= 2; }));
        return;
      case step::kRecordCreated: {
        const std::string ahead = order_ + "-ahead";
        blocker_ = std::thread(
            [this, ahead] { site_.SendOrder(kFirst, ahead, seconds(8)); });
        ASSERT_TRUE(WaitUntil([&] { return site_.Runs(ahead) == 1; }));
        SendFirst();
        ASSERT_TRUE(WaitUntil([this] { return site_.HasRecord(order_); }));
        return;
      }
      case step::kRunning:
        SendFirst();
        ASSERT_TRUE(WaitUntil([this] { return site_.Runs(order_) == 1; }));
        return;
      case step::kRecordingAnswer:
        SendFirst();
        ASSERT_TRUE(WaitUntil([this] { return site_.Runs(order_) == 1; }));
        SetPlatform({{"delay_ms", 1000}});
        ReadFirst();
        ASSERT_FALSE(answers_.empty());
        ASSERT_EQ(answers_.back().status, 200) << answers_.back().body;
    }
  }

  void Inject(fault kind) {
    switch (kind) {
      case fault::kKillHost:
        site_.host(kFirst).Kill();
        break;
      case fault::kPauseHost:
        site_.host(kFirst).Signal(SIGSTOP);
        break;
      case fault::kKillService:
        runs_before_ = site_.Runs(order_);
        received_before_ = site_.Received(order_);
        site_.endpoint("orders-0").Kill();
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
        partner_ = std::thread([this, partner = order_ + "-partner"] {
          const auto reply = site_.SendOrder(2, partner, seconds(8));
          if (reply.status == 200) {
            EXPECT_EQ(reply.json().value("order", ""), partner);
          }
        });
    }
    // A host that was stopped to hold the request goes on under the fault.
    const bool stopped = step_ == step::kBeforeRecord &&
                         kind != fault::kKillHost && kind != fault::kPauseHost;
    if (stopped) site_.host(kFirst).Signal(SIGCONT);
  }

  void Heal(fault kind) {
    SetPlatform({{"outage", false}, {"delay_ms", 0}, {"lose_answers", 0}});
    if (kind == fault::kKillHost) site_.RestartHost(kFirst);
    if (kind == fault::kPauseHost) site_.host(kFirst).Signal(SIGCONT);
    if (kind == fault::kKillService) {
      site_.StartService("orders-0", {"--run-ms", "400"});
    }
    SetService({{"drop_requests", 0},
                {"lose_answers", 0},
                {"truncate_answers", 0},
                {"duplicate_answers", 0},
                {"cross_answers", 0}});
  }

  // Keeps an answer; one without a status is none.
  void Take(const http_reply& reply) {
    if (reply.status == 0) {
      answered_all_ = false;
      return;
    }
    if (reply.status == 200) {
      EXPECT_EQ(reply.json().value("order", ""), order_);
    }
    answers_.push_back(reply);
  }

  // If every request sent so far was answered with "executed: no", none has
  // run.
  void CheckRefusalsAreTrue() {
    for (const auto& reply : answers_) {
      if (reply.json().value("executed", "") != "no") return;
    }
    if (!first_read_ || !answered_all_) return;
    EXPECT_EQ(received_before_ + site_.Received(order_), 0);
  }

  // Every host comes to the same last word: the one answer, or "unknown". An
  // answer that the caller got is recorded in the background, so repeats get
  // it soon; it is lost to them only with its host.
  void CheckRepeats(fault kind) {
    const auto given =
        std::find_if(answers_.begin(), answers_.end(),
                     [](const auto& reply) { return reply.status == 200; });
    const bool kept = given != answers_.end() && kind != fault::kKillHost;
    for (int host : {kFirst, 0, 2}) {
      http_reply last;
      EXPECT_TRUE(WaitUntil([&] {
        last = site_.SendOrder(host, order_, seconds(8));
        return last.status == 200 ||
               (!kept && last.json().value("code", "") == "outcome_unknown");
      })) << "host "
          << host << " " << last.status << " " << last.body;
      Take(last);
    }
    std::string body;
    for (const auto& reply : answers_) {
      if (reply.status != 200) continue;
      if (body.empty()) body = reply.body;
      EXPECT_EQ(reply.body, body);
    }
  }

  void Print() {
    std::string line = "  " + order_ + ":";
    for (const auto& reply : answers_) {
      line +=
          " " + (reply.status == 200 ? "200" : reply.json().value("code", "?"));
    }
    const auto took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - started_);
    std::cout << line + " in " + std::to_string(took.count()) + " ms\n"
              << std::flush;
  }

  step step_;
  fault_site site_;
  std::string order_;
  std::unique_ptr<caller_connection> first_;
  bool first_read_ = false;
  std::vector<http_reply> answers_;
  bool answered_all_ = true;
  std::chrono::steady_clock::time_point started_;
  std::thread blocker_;
  std::thread partner_;
  int runs_before_ = 0;
  int received_before_ = 0;
};

void RunStep(step at, bool after_dispatch) {
  run_once_cases cases(at);
  cases.Start();
  if (::testing::Test::HasFatalFailure()) return;
  for (const auto& injected : kFaults) {
    if (after_dispatch && injected.before_dispatch_only) continue;
    cases.Run(injected);
    if (::testing::Test::HasFatalFailure()) return;
  }
}

// Guards against a second run, a false "executed: no" and an answer of another
// order, whatever fails at whichever step. The steps run at the same time, each
// on a site of its own.
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
