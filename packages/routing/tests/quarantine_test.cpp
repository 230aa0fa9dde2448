#include "routing/quarantine.h"

#include "routing/tests/routing_fixture.h"

namespace bluebell::routing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

class crashing : public routing_fixture {
 protected:
  void StartEngines(int count, int concurrency = 4) {
    for (int i = 0; i < count; ++i) {
      AddEngine(std::string(1, static_cast<char>('a' + i)), concurrency, {"m"});
    }
    Start();
  }

  /// Simulates a crash: the endpoint restarts at once and its connections
  /// break.
  void Crash(const endpoint_id& id, std::vector<pending>& attempts) {
    endpoints_.Restart(id);
    ++crashes_;
    for (auto& attempt : attempts) {
      if (!*attempt || !**attempt || (**attempt)->endpoint != id) continue;
      Finish(attempt, dispatch_outcome::kBroken);
      attempt = std::make_shared<std::optional<scheduler::acquire_result>>();
    }
  }

  int crashes_ = 0;
};

// Guards against a request that crashes one endpoint after the other, because
// the caller and the gateway retry it immediately and in several copies.
TEST_F(crashing, RequestCrashesAtMostTwoEndpoints) {
  StartEngines(6);
  std::vector<pending> attempts;
  std::string last;
  for (int round = 0; round < 40; ++round) {
    for (int copy = 0; copy < 3; ++copy) {
      attempts.push_back(Acquire(Request("x", "m", "poison")));
      last = EndpointOf(attempts.back());
    }
    for (std::size_t i = 0; i < attempts.size(); ++i) {
      const auto attempt = attempts[i];
      if (!*attempt || !**attempt) continue;
      Crash((**attempt)->endpoint, attempts);
    }
    clock_.Advance(std::chrono::milliseconds(round % 3 == 0 ? 1500 : 1));
  }
  EXPECT_LE(crashes_, 2);
  EXPECT_EQ(last, "request_quarantined");
  EXPECT_EQ(notices_.back(), (std::pair<std::string, int>("poison", crashes_)));
}

// Guards against other requests that fail because they share an endpoint with a
// request that is suspected of causing crashes.
TEST_F(crashing, SuspectedRequestRunsExclusively) {
  StartEngines(2);
  std::vector<pending> attempts = {Acquire(Request("x", "m", "poison"))};
  const auto first = (**attempts[0])->endpoint;
  Crash(first, attempts);
  clock_.Advance(seconds(2));
  std::vector<pending> others;
  for (int i = 0; i < 8; ++i) others.push_back(Acquire(Request("y", "m")));
  const auto suspected = Acquire(Request("x", "m", "poison"));
  EXPECT_EQ(EndpointOf(suspected), "waiting");
  std::vector<pending> late;
  for (int i = 0; i < 8; ++i) late.push_back(Acquire(Request("y", "m")));
  std::string exclusive;
  for (const auto& other : others) {
    Finish(other);
    if (!*suspected || !exclusive.empty()) continue;
    exclusive = EndpointOf(suspected);
    EXPECT_EQ(view_->Find(endpoint_id(exclusive))->outstanding, 1);
  }
  ASSERT_TRUE(exclusive == "a" || exclusive == "b") << exclusive;
  for (const auto& other : late) EXPECT_NE(EndpointOf(other), exclusive);
}

// Guards against permanently refusing a request that happened to be in flight
// when an endpoint crashed.
TEST_F(crashing, HarmlessRequestIsClearedByExclusiveRun) {
  StartEngines(2);
  std::vector<pending> attempts = {Acquire(Request("x", "m", "poison")),
                                   Acquire(Request("y", "m", "innocent"))};
  Finish(attempts[0], dispatch_outcome::kCancelled);
  const auto id = (**attempts[1])->endpoint;
  Crash(id, attempts);
  clock_.Advance(seconds(2));
  const auto again = Acquire(Request("y", "m", "innocent"));
  ASSERT_NE(EndpointOf(again), "waiting");
  Finish(again);
  const auto first = Acquire(Request("y", "m", "innocent"));
  const auto second = Acquire(Request("z", "m"));
  EXPECT_NE(EndpointOf(first), "waiting");
  EXPECT_NE(EndpointOf(second), "waiting");
  endpoints_.Restart((**first)->endpoint);
  clock_.Advance(seconds(2));
  EXPECT_NE(EndpointOf(Acquire(Request("y", "m", "innocent"))),
            "request_quarantined");
}

// Guards against counting a lost connection as a crash when the endpoint's
// process survived.
TEST_F(crashing, BrokenConnectionToLiveEndpointIsNotACrash) {
  StartEngines(2);
  for (int i = 0; i < 5; ++i) {
    const auto attempt = Acquire(Request("x", "m", "body"));
    ASSERT_TRUE(attempt->has_value() && **attempt);
    Finish(attempt, dispatch_outcome::kBroken);
    clock_.Advance(seconds(2));
  }
  EXPECT_TRUE(notices_.empty());
}

// Guards against every host letting the request crash two endpoints, and
// against a refusal that never expires.
TEST_F(crashing, CountsOfOtherHostsApplyUntilTheyExpire) {
  StartEngines(2);
  scheduler_->OnQuarantineNotice(host_id("h1"), "poison", 1);
  scheduler_->OnQuarantineNotice(host_id("h1"), "poison", 1);
  const auto exclusive = Acquire(Request("x", "m", "poison"));
  ASSERT_NE(EndpointOf(exclusive), "request_quarantined");
  Finish(exclusive, dispatch_outcome::kCancelled);
  scheduler_->OnQuarantineNotice(host_id("h2"), "poison", 1);
  EXPECT_EQ(EndpointOf(Acquire(Request("x", "m", "poison"))),
            "request_quarantined");
  clock_.Advance(minutes(11));
  EXPECT_NE(EndpointOf(Acquire(Request("x", "m", "poison"))),
            "request_quarantined");
}

// Guards against a queue that stalls after several endpoints crashed at once
// and every request that was in flight must run exclusively.
TEST_F(crashing, AllSuspectedRequestsRunEventually) {
  StartEngines(4);
  std::vector<pending> attempts;
  for (int i = 0; i < 16; ++i) {
    attempts.push_back(Acquire(Request("x", "m", "body" + std::to_string(i))));
  }
  for (const char* id : {"a", "b"}) Crash(endpoint_id(id), attempts);
  clock_.Advance(seconds(2));
  std::vector<pending> retried;
  for (int i = 0; i < 16; ++i) {
    retried.push_back(Acquire(Request("x", "m", "body" + std::to_string(i))));
    retried.push_back(Acquire(Request("y", "m")));
  }
  for (const auto& attempt : attempts) {
    if (*attempt && **attempt) Finish(attempt);
  }
  std::set<const void*> finished;
  for (int step = 0; step < 100 && finished.size() < retried.size(); ++step) {
    for (const auto& one : retried) {
      if (!*one || finished.count(one.get()) > 0) continue;
      ASSERT_TRUE(**one) << EndpointOf(one);
      Finish(one);
      finished.insert(one.get());
    }
    clock_.Advance(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(finished.size(), retried.size());
}

// Guards against an entry that never expires because two hosts repeat their
// counts to each other.
TEST(quarantine, RepeatedNoticeDoesNotExtendExpiry) {
  manual_clock clock;
  quarantine entries(clock, std::chrono::seconds(60), nullptr);
  entries.OnNotice(host_id("other"), "f", 3);
  clock.Advance(std::chrono::seconds(50));
  entries.OnNotice(host_id("other"), "f", 3);
  clock.Advance(std::chrono::seconds(20));
  EXPECT_EQ(entries.Crashes("f"), 0);
}

TEST(quarantine, OwnCrashesExcludeOtherHosts) {
  manual_clock clock;
  quarantine entries(clock, std::chrono::seconds(60), nullptr);
  entries.OnNotice(host_id("other"), "f", 3);
  entries.RecordCrash("g");
  EXPECT_EQ(entries.OwnCrashes(), (std::map<std::string, int>{{"g", 1}}));
}

}  // namespace
}  // namespace bluebell::routing
