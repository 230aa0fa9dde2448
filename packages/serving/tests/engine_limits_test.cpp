#include "serving/engine_limits.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

#include "base/manual_clock.h"
#include "serving/permit_messages.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint_id kEngine("e1");

class engine_limits_fixture : public testing::Test {
 protected:
  manual_clock clock_;
  engine_limits limits_{clock_};
};

TEST_F(engine_limits_fixture, EngineWithoutALimitTakesAnyNumber) {
  EXPECT_FALSE(limits_.Limit(kEngine));
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(limits_.Take(kEngine, 1).granted);
  EXPECT_TRUE(limits_.Notices().empty());
}

TEST_F(engine_limits_fixture, PermitsFollowTheRate) {
  limits_.OnNamed(kEngine, 1, 4);
  EXPECT_FALSE(limits_.Take(kEngine, 1).granted) << "starts empty";
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    clock_.Advance(milliseconds(10));
    granted += limits_.Take(kEngine, 1).granted ? 1 : 0;
  }
  EXPECT_NEAR(granted, 40, 1);
  const auto denied = limits_.Take(kEngine, 1);
  ASSERT_FALSE(denied.granted);
  clock_.Advance(denied.wait + milliseconds(1));
  EXPECT_TRUE(limits_.Take(kEngine, 1).granted);
}

// Guards against hosts that all return for the same permit.
TEST_F(engine_limits_fixture, DeniedHostsReturnInTurn) {
  limits_.OnNamed(kEngine, 1, 2);
  std::vector<clock::duration> waits;
  for (int i = 0; i < 4; ++i) waits.push_back(limits_.Take(kEngine, 1).wait);
  EXPECT_EQ(waits, (std::vector<clock::duration>{
                       milliseconds(500), milliseconds(1000),
                       milliseconds(1500), milliseconds(2000)}));
  for (int i = 0; i < 50; ++i) {
    EXPECT_LE(limits_.Take(kEngine, 1).wait, seconds(5));
  }
  for (int i = 0; i < 4; ++i) {
    clock_.Advance(milliseconds(500));
    EXPECT_TRUE(limits_.Take(kEngine, 1).granted);
  }
}

// Guards against a limit of zero whose end is never noticed.
TEST_F(engine_limits_fixture, EngineThatTakesNothingIsTriedNowAndThen) {
  limits_.OnNamed(kEngine, 1, 0);
  clock_.Advance(seconds(5));
  EXPECT_TRUE(limits_.Take(kEngine, 1).granted);
  EXPECT_FALSE(limits_.Take(kEngine, 1).granted);
}

// Guards against a limit that ends by an answer which is older than it: the
// request was sent before the limit was named.
TEST_F(engine_limits_fixture, EndsByARequestThatWasSentAfterIt) {
  const auto before = clock_.now();
  clock_.Advance(milliseconds(100));
  limits_.OnNamed(kEngine, 1, 4);
  clock_.Advance(milliseconds(100));
  limits_.OnNoneNamed(kEngine, 1, before);
  EXPECT_EQ(limits_.Limit(kEngine), 4);
  limits_.OnNoneNamed(kEngine, 1, clock_.now());
  EXPECT_FALSE(limits_.Limit(kEngine));
  clock_.Advance(milliseconds(100));
  limits_.OnNamed(kEngine, 1, 3);
  EXPECT_EQ(limits_.Limit(kEngine), 3);
}

TEST_F(engine_limits_fixture, EndsWithTheProcess) {
  limits_.OnNamed(kEngine, 1, 4);
  clock_.Advance(milliseconds(100));
  limits_.OnNoneNamed(kEngine, 2, clock_.now() - seconds(1));
  EXPECT_FALSE(limits_.Limit(kEngine));
  limits_.OnNamed(kEngine, 1, 4);
  EXPECT_FALSE(limits_.Limit(kEngine)) << "an answer of the earlier process";
}

// Guards against a host that has just started, or knows a limit only from
// others, and does not keep it; and against one that keeps it after its end.
TEST_F(engine_limits_fixture, OtherHostsLearnTheLimitAndItsEnd) {
  engine_limits other(clock_);
  limits_.OnNamed(kEngine, 1, 4);
  clock_.Advance(milliseconds(50));
  for (const auto& notice : limits_.Notices()) {
    other.OnNotice(notice, clock::duration(0));
  }
  EXPECT_EQ(other.Limit(kEngine), 4);
  clock_.Advance(milliseconds(50));
  other.OnNoneNamed(kEngine, 1, clock_.now());
  for (const auto& notice : other.Notices()) {
    limits_.OnNotice(notice, clock::duration(0));
  }
  EXPECT_FALSE(limits_.Limit(kEngine));
  clock_.Advance(seconds(11));
  EXPECT_TRUE(other.Notices().empty());
}

// Guards against a limit that returns with a notice which was on its way when
// the limit ended.
TEST_F(engine_limits_fixture, LateNoticeDoesNotRenewAnEndedLimit) {
  engine_limits other(clock_);
  limits_.OnNamed(kEngine, 1, 4);
  const auto notices = limits_.Notices();
  clock_.Advance(milliseconds(300));
  other.OnNamed(kEngine, 1, 4);
  clock_.Advance(milliseconds(300));
  other.OnNoneNamed(kEngine, 1, clock_.now());
  clock_.Advance(milliseconds(300));
  for (const auto& notice : notices) other.OnNotice(notice, milliseconds(900));
  EXPECT_FALSE(other.Limit(kEngine));
}

TEST_F(engine_limits_fixture, DenialHoldsUntilItsTime) {
  limits_.OnNamed(kEngine, 1, 4);
  EXPECT_EQ(limits_.DeniedFor(kEngine), clock::duration(0));
  limits_.OnDenied(kEngine, {false, milliseconds(200)});
  EXPECT_EQ(limits_.DeniedFor(kEngine), milliseconds(200));
  clock_.Advance(milliseconds(250));
  EXPECT_EQ(limits_.DeniedFor(kEngine), clock::duration(0));
}

// Guards against requests to an engine that asked this host for a pause.
TEST_F(engine_limits_fixture, PauseHoldsForItsProcess) {
  limits_.OnPause(kEngine, 5, clock_.now() + seconds(3));
  limits_.OnPause(kEngine, 5, clock_.now() + seconds(2));
  clock_.Advance(seconds(1));
  EXPECT_EQ(limits_.PausedFor(kEngine), seconds(2));
  EXPECT_FALSE(limits_.Limit(kEngine));
  EXPECT_TRUE(limits_.Notices().empty()) << "a matter of this host alone";
  limits_.OnNamed(kEngine, 6, 4);
  EXPECT_EQ(limits_.PausedFor(kEngine), clock::duration(0));
}

// Replays the demand of a busy model that moves between hosts, while owners are
// lost, and hosts are cut off in two groups that each have an owner. In no four
// seconds an engine gets more than one and a half times its limit and 5 more.
TEST(engine_limits, SumOverHostsStaysWithinTheLimit) {
  constexpr int kHosts = 8;
  constexpr milliseconds kStep{5};
  for (const double limit : {0.5, 1.0, 2.6, 4.8, 20.0}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      std::mt19937_64 random(seed);
      manual_clock clock;
      std::vector<std::unique_ptr<engine_limits>> hosts;
      for (int i = 0; i < kHosts; ++i) {
        hosts.push_back(std::make_unique<engine_limits>(clock));
        hosts.back()->OnNamed(kEngine, 1, limit);
      }
      std::vector<int> owner(kHosts, 0);
      std::vector<double> share(kHosts, 1);
      std::deque<clock::time_point> arrivals;
      int busy = 0;
      int total = 0;
      for (auto at = kStep; at < seconds(60); at += kStep) {
        clock.Advance(kStep);
        if (random() % 200 == 0) busy = static_cast<int>(random() % kHosts);
        if (at % seconds(6) == milliseconds(0)) {
          const int cut = static_cast<int>(random() % kHosts);
          const int first = static_cast<int>(random() % 3);
          for (int i = 0; i < kHosts; ++i) {
            const bool small = i < cut;
            owner[i] = small ? 0 : std::max(cut, first);
            share[i] = (small ? cut : kHosts - cut) / double{kHosts};
          }
        }
        for (int i = 0; i < kHosts; ++i) {
          const bool tries = random() % (i == busy ? 2 : 40) == 0;
          if (!tries) continue;
          const int granting = std::min(owner[i], kHosts - 1);
          if (!hosts[granting]->Take(kEngine, share[i]).granted) continue;
          arrivals.push_back(clock.now());
          ++total;
        }
        while (!arrivals.empty() &&
               clock.now() - arrivals.front() > seconds(4)) {
          arrivals.pop_front();
        }
        ASSERT_LE(arrivals.size(), 6 * limit + 5)
            << "limit " << limit << " seed " << seed;
      }
      EXPECT_GE(total, 0.6 * 60 * limit) << "limit " << limit;
    }
  }
}

TEST(permit_messages, AreReadAsWritten) {
  const auto request = DecodePermitRequest(
      EncodePermitRequest({7, {kEngine, 3, 2.5, milliseconds(20), {}}}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->number, 7U);
  EXPECT_EQ(request->limit.engine, kEngine);
  EXPECT_EQ(request->limit.started_ms, 3);
  EXPECT_EQ(request->limit.per_s, 2.5);
  EXPECT_EQ(request->limit.named_age, milliseconds(20));
  EXPECT_FALSE(request->limit.free_age);
  const auto response =
      DecodePermitResponse(EncodePermitResponse({8, {false, seconds(1)}}));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->number, 8U);
  EXPECT_FALSE(response->permit.granted);
  EXPECT_EQ(response->permit.wait, seconds(1));
  EXPECT_FALSE(DecodePermitRequest("garbage"));
  EXPECT_FALSE(DecodePermitResponse(""));
}

}  // namespace
}  // namespace bluebell::serving
