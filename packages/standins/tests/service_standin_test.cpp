#include "standins/service_standin.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/manual_clock.h"
#include "recorded_exchange.h"

namespace bluebell::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class service_test : public testing::Test {
 protected:
  std::shared_ptr<recorded_exchange> Run(const std::string& order) {
    return Request(
        service_, "POST", "/book/van", {{"order", order}},
        {{"x-request-id", "r-" + order}, {"idempotency-key", "k-" + order}});
  }
  json RunsOf(const std::string& order) {
    return service_.Runs()["runs"].value(order, 0);
  }

  manual_clock time_;
  service_standin service_{time_, {milliseconds(20), 2, "first"}};
};

// Guards against a judge of repeated orders that misses a run: it counts from
// the start, whatever happens to the answer or the client.
TEST_F(service_test, EveryRunCountsOnceFromItsStart) {
  const auto answered = Run("a");
  EXPECT_EQ(RunsOf("a"), 1);
  time_.Advance(milliseconds(20));
  EXPECT_EQ(answered->Body()["run"], 1);
  EXPECT_EQ(answered->response->headers[0].second, "r-a");
  ASSERT_TRUE(service_.ApplyFaults({{"lose_answers", 1}}));
  EXPECT_EQ(Run("a")->injected(), answer_fault::kLose);
  EXPECT_EQ(RunsOf("a"), 2);
  Run("b");
  time_.Advance(milliseconds(20));
  EXPECT_EQ(RunsOf("b"), 1);
  EXPECT_EQ(service_.Runs()["total"], 3);
}

// Guards against a dropped request or a probe that counts as a run.
TEST_F(service_test, DroppedAndOtherRequestsDoNotRun) {
  ASSERT_TRUE(service_.ApplyFaults({{"drop_requests", 1}}));
  EXPECT_TRUE(Run("a")->closed);
  EXPECT_EQ(Request(service_, "GET", "/book/van")->response->status, 200);
  EXPECT_EQ(Request(service_, "GET", "/v1/load")->Body()["state"], "live");
  EXPECT_EQ(
      Request(service_, "POST", "/book/van", {{"x", 1}})->response->status,
      400);
  EXPECT_EQ(service_.Runs()["total"], 0);
}

TEST_F(service_test, RunsBeyondTheSlotsWait) {
  for (const auto* order : {"a", "b", "c"}) Run(order);
  EXPECT_EQ(service_.Runs()["total"], 2);
  EXPECT_EQ(Request(service_, "GET", "/v1/load")->Body()["queued"], 1);
  time_.Advance(milliseconds(20));
  EXPECT_EQ(RunsOf("c"), 1);
}

// Guards against a record that would not show a key that a host passed on.
TEST_F(service_test, RequestsAreRecordedWithHeadersAndBody) {
  Request(service_, "POST", "/book/van?x=1", {{"order", "a"}},
          {{"authorization", "Bearer secret"}});
  const json seen =
      Request(service_, "GET", "/admin/requests")->Body()["requests"];
  ASSERT_EQ(seen.size(), 1u);
  EXPECT_EQ(seen[0]["target"], "/book/van?x=1");
  EXPECT_EQ(seen[0]["headers"]["authorization"], "Bearer secret");
  EXPECT_EQ(seen[0]["body"], R"({"order":"a"})");
}

// Guards against a crossing fault that swaps nothing: each client gets the
// answer to the other's request, and a request without a partner still runs.
TEST_F(service_test, CrossedRequestsGetEachOthersAnswers) {
  ASSERT_TRUE(service_.ApplyFaults({{"cross_answers", 1}}));
  const auto first = Run("a");
  const auto second = Run("b");
  time_.Advance(milliseconds(20));
  EXPECT_EQ(first->Body()["order"], "b");
  EXPECT_EQ(first->response->headers[0].second, "r-b");
  EXPECT_EQ(second->Body()["order"], "a");
  ASSERT_TRUE(service_.ApplyFaults({{"cross_answers", 1}}));
  const auto alone = Run("c");
  time_.Advance(seconds(3));
  EXPECT_EQ(alone->Body()["order"], "c");
  EXPECT_EQ(service_.Runs()["total"], 3);
}

// Guards against faults without effect, which would let tests pass idly.
TEST_F(service_test, DelayFreezeCrashAndLeavingTakeEffect) {
  ASSERT_TRUE(service_.ApplyFaults({{"delay_ms", 100}}));
  Run("a");
  EXPECT_EQ(RunsOf("a"), 0);
  time_.Advance(milliseconds(100));
  EXPECT_EQ(RunsOf("a"), 1);

  int crashes = 0;
  service_.set_on_crash([&] { ++crashes; });
  ASSERT_TRUE(service_.ApplyFaults(
      {{"delay_ms", 0}, {"crash_on", "boom"}, {"leaving", true}}));
  Run("boom");
  Run("b");
  EXPECT_EQ(crashes, 1);
  EXPECT_EQ(RunsOf("boom"), 0);
  EXPECT_EQ(Request(service_, "GET", "/v1/load")->Body()["state"], "leaving");

  int freezes = 0;
  service_.set_on_freeze([&](const http_exchange*) { ++freezes; });
  ASSERT_TRUE(service_.ApplyFaults({{"freeze", true}}));
  EXPECT_TRUE(Run("c")->frozen);
  EXPECT_EQ(freezes, 1);
  EXPECT_EQ(Request(service_, "GET", "/admin/runs")->response->status, 200);
  ASSERT_TRUE(service_.ApplyFaults({{"freeze", false}}));
  ASSERT_TRUE(service_.ApplyFaults({{"freeze_connections", true}}));
  EXPECT_EQ(freezes, 2);
}

// Guards against a mistyped fault that passes as no fault.
TEST_F(service_test, UnknownFaultsAndWrongValuesAreRefused) {
  for (const json& fields :
       {json{{"drop_request", 1}}, json{{"drop_requests", -1}},
        json{{"drop_requests", "1"}}, json{{"freeze", 1}}, json::array()}) {
    EXPECT_EQ(
        Request(service_, "POST", "/admin/faults", fields)->response->status,
        400)
        << fields;
  }
}

}  // namespace
}  // namespace bluebell::standins
