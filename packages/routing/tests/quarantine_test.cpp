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

  /// The endpoint dies and restarts at once; connections to it break.
  void Crash(const endpoint_id& id, std::vector<pending>& flights) {
    endpoints_.Restart(id);
    ++crashes_;
    for (auto& flight : flights) {
      if (!*flight || !**flight || (**flight)->endpoint != id) continue;
      Finish(flight, dispatch_outcome::kBroken);
      flight = std::make_shared<std::optional<scheduler::acquire_result>>();
    }
  }

  int crashes_ = 0;
};

// Guards against a request that takes down one endpoint after the other: the
// caller and the gateway send it again, immediately and in several copies.
TEST_F(crashing, RequestCostsAtMostTwoEndpoints) {
  StartEngines(6);
  std::vector<pending> flights;
  std::string last;
  for (int round = 0; round < 40; ++round) {
    for (int copy = 0; copy < 3; ++copy) {
      flights.push_back(Acquire(Request("x", "m", "poison")));
      last = EndpointOf(flights.back());
    }
    for (std::size_t i = 0; i < flights.size(); ++i) {
      const auto flight = flights[i];
      if (!*flight || !**flight) continue;
      Crash((**flight)->endpoint, flights);
    }
    clock_.Advance(std::chrono::milliseconds(round % 3 == 0 ? 1500 : 1));
  }
  EXPECT_LE(crashes_, 2);
  EXPECT_EQ(last, "request_quarantined");
  EXPECT_EQ(notices_.back(), (std::pair<std::string, int>("poison", crashes_)));
}

// Guards against innocent requests that die with a suspected one.
TEST_F(crashing, SuspectedRequestRunsAlone) {
  StartEngines(2);
  std::vector<pending> flights = {Acquire(Request("x", "m", "poison"))};
  const auto first = (**flights[0])->endpoint;
  Crash(first, flights);
  clock_.Advance(seconds(2));
  std::vector<pending> others;
  for (int i = 0; i < 8; ++i) others.push_back(Acquire(Request("y", "m")));
  const auto suspected = Acquire(Request("x", "m", "poison"));
  EXPECT_EQ(EndpointOf(suspected), "waiting");
  std::vector<pending> late;
  for (int i = 0; i < 8; ++i) late.push_back(Acquire(Request("y", "m")));
  std::string alone;
  for (const auto& other : others) {
    Finish(other);
    if (!*suspected || !alone.empty()) continue;
    alone = EndpointOf(suspected);
    EXPECT_EQ(view_->Find(endpoint_id(alone))->outstanding, 1);
  }
  ASSERT_TRUE(alone == "a" || alone == "b") << alone;
  for (const auto& other : late) EXPECT_NE(EndpointOf(other), alone);
}

// Guards against refusing a request for good that happened to be in flight
// when an endpoint died.
TEST_F(crashing, InnocentRequestIsClearedByRunningAlone) {
  StartEngines(2);
  std::vector<pending> flights = {Acquire(Request("x", "m", "poison")),
                                  Acquire(Request("y", "m", "innocent"))};
  Finish(flights[0], dispatch_outcome::kCancelled);
  const auto id = (**flights[1])->endpoint;
  Crash(id, flights);
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
TEST_F(crashing, BrokenConnectionToALivingEndpointIsNoCrash) {
  StartEngines(2);
  for (int i = 0; i < 5; ++i) {
    const auto flight = Acquire(Request("x", "m", "body"));
    ASSERT_TRUE(flight->has_value() && **flight);
    Finish(flight, dispatch_outcome::kBroken);
    clock_.Advance(seconds(2));
  }
  EXPECT_TRUE(notices_.empty());
}

// Guards against a fleet in which every host lets the request crash two
// endpoints, and against a refusal that never ends.
TEST_F(crashing, CountsOfOtherHostsApplyUntilTheyExpire) {
  StartEngines(2);
  scheduler_->OnQuarantineNotice(host_id("h1"), "poison", 1);
  scheduler_->OnQuarantineNotice(host_id("h1"), "poison", 1);
  const auto alone = Acquire(Request("x", "m", "poison"));
  ASSERT_NE(EndpointOf(alone), "request_quarantined");
  Finish(alone, dispatch_outcome::kCancelled);
  scheduler_->OnQuarantineNotice(host_id("h2"), "poison", 1);
  EXPECT_EQ(EndpointOf(Acquire(Request("x", "m", "poison"))),
            "request_quarantined");
  clock_.Advance(minutes(11));
  EXPECT_NE(EndpointOf(Acquire(Request("x", "m", "poison"))),
            "request_quarantined");
}

// Guards against a queue that stops after many endpoints failed at once and
// every request that was in flight has to run alone.
TEST_F(crashing, ManySuspectedRequestsAllGetTheirTurn) {
  StartEngines(4);
  std::vector<pending> flights;
  for (int i = 0; i < 16; ++i) {
    flights.push_back(Acquire(Request("x", "m", "body" + std::to_string(i))));
  }
  for (const char* id : {"a", "b"}) Crash(endpoint_id(id), flights);
  clock_.Advance(seconds(2));
  std::vector<pending> retried;
  for (int i = 0; i < 16; ++i) {
    retried.push_back(Acquire(Request("x", "m", "body" + std::to_string(i))));
    retried.push_back(Acquire(Request("y", "m")));
  }
  for (const auto& flight : flights) {
    if (*flight && **flight) Finish(flight);
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
TEST(quarantine, RepeatedNoticeDoesNotPutOffTheExpiry) {
  manual_clock clock;
  quarantine entries(clock, std::chrono::seconds(60), nullptr);
  entries.OnNotice(host_id("other"), "f", 3);
  clock.Advance(std::chrono::seconds(50));
  entries.OnNotice(host_id("other"), "f", 3);
  clock.Advance(std::chrono::seconds(20));
  EXPECT_EQ(entries.Crashes("f"), 0);
}

TEST(quarantine, TellsItsOwnCountsOnly) {
  manual_clock clock;
  quarantine entries(clock, std::chrono::seconds(60), nullptr);
  entries.OnNotice(host_id("other"), "f", 3);
  entries.RecordCrash("g");
  EXPECT_EQ(entries.OwnCrashes(), (std::map<std::string, int>{{"g", 1}}));
}

}  // namespace
}  // namespace bluebell::routing
