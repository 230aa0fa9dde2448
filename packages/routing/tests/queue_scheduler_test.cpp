#include "routing/queue_scheduler.h"

#include "routing/tests/routing_fixture.h"

namespace bluebell::routing {
namespace {

using std::chrono::seconds;

using scheduling = routing_fixture;

TEST_F(scheduling, AssignsAnEndpointThatHoldsTheTarget) {
  AddEngine("a", 2, {"m"});
  AddEngine("b", 2, {"other"});
  Start();
  EXPECT_EQ(EndpointOf(Acquire(Request("x", "m"))), "a");
}

// Guards against exceeding the concurrency limit of an endpoint because
// requests of other hosts are not counted.
TEST_F(scheduling, ConcurrencyLimitIncludesRequestsOfOtherHosts) {
  AddEngine("a", 3, {"m"});
  endpoints_.by_id[endpoint_id("a")].report.running = 2;
  Start();
  const auto first = Acquire(Request("x", "m"));
  const auto second = Acquire(Request("x", "m"));
  EXPECT_EQ(EndpointOf(first), "a");
  EXPECT_EQ(EndpointOf(second), "waiting");
  Finish(first);
  EXPECT_EQ(EndpointOf(second), "a");
}

TEST_F(scheduling, ReportsTargetsWithoutEndpoint) {
  AddEngine("a", 1, {"m"});
  Start();
  const auto answer = Acquire(Request("x", "cold"));
  ASSERT_EQ(scheduler_->WaitingTargets().size(), 1u);
  EXPECT_EQ(scheduler_->WaitingTargets()[0].target, "cold");
  endpoints_.by_id[endpoint_id("a")].report.resident.insert("cold");
  clock_.Advance(seconds(2));
  EXPECT_EQ(EndpointOf(answer), "a");
}

TEST_F(scheduling, RefusesAfterMaxWaitAndWhenFull) {
  AddEngine("a", 1, {"m"});
  scheduler_options options;
  options.max_waiting = 2;
  Start(options);
  const auto running = Acquire(Request("x", "m"));
  const auto waiting = Acquire(Request("y", "m"));
  const auto burst = Acquire(Request("x", "m"));
  const auto newest = Acquire(Request("x", "m"));
  EXPECT_EQ(EndpointOf(newest), "queue_full");
  EXPECT_EQ(EndpointOf(burst), "waiting");
  clock_.Advance(seconds(20));
  EXPECT_EQ(EndpointOf(waiting), "queue_timeout");
}

// Guards against one account's burst filling the queue, so that the requests
// of an account within its rate are refused.
TEST_F(scheduling, FullQueueRefusesTheAccountWithTheLargestBacklog) {
  AddEngine("a", 1, {"m"});
  scheduler_options options;
  options.max_waiting = 3;
  Start(options);
  std::vector<pending> burst;
  for (int i = 0; i < 4; ++i) burst.push_back(Acquire(Request("big", "m")));
  const auto small = Acquire(Request("small", "m"));
  EXPECT_EQ(EndpointOf(small), "waiting");
  EXPECT_EQ(EndpointOf(burst[3]), "queue_full");
}

TEST_F(scheduling, CancelledRequestGetsNoCallback) {
  AddEngine("a", 1, {"m"});
  Start();
  const auto running = Acquire(Request("x", "m"));
  const auto waiting = Acquire(Request("x", "m"));
  scheduler_->Cancel(last_ticket_);
  Finish(running);
  EXPECT_EQ(EndpointOf(waiting), "waiting");
  EXPECT_EQ(scheduler_->waiting(), 0u);
}

// Guards against new requests at endpoints that are about to stop, according to
// their own report, the host list, or their removal from the configuration.
TEST_F(scheduling, LeavingEndpointReceivesNothingNew) {
  AddEngine("a", 9, {"m"});
  AddEngine("b", 9, {"m"});
  AddEngine("c", 9, {"m"});
  Start();
  const auto open = Acquire(Request("x", "m"));
  endpoints_.by_id[endpoint_id("a")].report.leaving = true;
  clock_.Advance(seconds(2));
  view_->SetListedLeaving({endpoint_id("b")});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(EndpointOf(Acquire(Request("x", "m"))), "c");
  }
  Remove("c");
  EXPECT_EQ(EndpointOf(Acquire(Request("x", "m"))), "waiting");
  EXPECT_NE(EndpointOf(open), "waiting");
  Finish(open);
}

TEST_F(scheduling, UsesServicesThatReportNoLoad) {
  Put("s", {{"kind", "service"}, {"group", "orders"}, {"max_concurrency", 2}});
  endpoints_.by_id[endpoint_id("s")].failure = error_code::kNotFound;
  Start();
  auto request = Request("x", "orders");
  request.is_service = true;
  EXPECT_EQ(EndpointOf(Acquire(request)), "s");
}

// Guards against retries at the endpoint that just failed, and against a
// request that can never run because its only endpoint failed once.
TEST_F(scheduling, RetryGoesToAnotherEndpointIfThereIsOne) {
  AddEngine("a", 9, {"m", "single"});
  AddEngine("b", 9, {"m"});
  Start();
  auto request = Request("x", "m");
  request.excluded = {endpoint_id("a")};
  EXPECT_EQ(EndpointOf(Acquire(request)), "b");
  request.target = "single";
  EXPECT_EQ(EndpointOf(Acquire(request)), "a");
}

// Guards against an endpoint that stays in use although its polls time out, and
// one that stays unused after it recovered.
TEST_F(scheduling, UnresponsiveEndpointIsUnusedUntilItAnswers) {
  AddEngine("a", 9, {"m"});
  Start();
  endpoints_.by_id[endpoint_id("a")].unresponsive = true;
  clock_.Advance(seconds(5));
  const auto waiting = Acquire(Request("x", "m"));
  EXPECT_EQ(EndpointOf(waiting), "waiting");
  endpoints_.by_id[endpoint_id("a")].unresponsive = false;
  clock_.Advance(seconds(3));
  EXPECT_EQ(EndpointOf(waiting), "a");
}

TEST_F(scheduling, RetriesStayBelowAFractionOfRequests) {
  Start();
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    Acquire(Request("x", "m"));
    retries += scheduler_->TakeRetry(account_id("x")) ? 1 : 0;
  }
  EXPECT_GE(retries, 90);
  EXPECT_LE(retries, 101);
}

}  // namespace
}  // namespace bluebell::routing
