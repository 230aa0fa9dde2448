#include "serving/stop_admission.h"

#include <gtest/gtest.h>

#include <limits>
#include <ostream>
#include <random>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr clock::duration kNoneOpen{0};

class stop_admission_fixture : public testing::Test {
 protected:
  /// Completes `count` requests of the same kind, one every 100 ms.
  void Complete(const std::string& route, const completed_request& request,
                int count = 100) {
    for (int i = 0; i < count; ++i) {
      clock_.Advance(milliseconds(100));
      admission_.OnCompleted(route, request);
    }
  }
  void Stop() { admission_.Begin(clock_.now() + milliseconds(7300)); }

  manual_clock clock_;
  stop_admission admission_{clock_};
};

TEST_F(stop_admission_fixture, RunningHostAcceptsEveryRequest) {
  EXPECT_TRUE(admission_.Accepts("report", seconds(3600), {}, kNoneOpen));
}

// Guards against a request that is accepted late in a stop and cut off at its
// end.
TEST_F(stop_admission_fixture, RequestThatMayOutlastTheProcessIsRefused) {
  Complete("chat", {seconds(1), seconds(5), {}});
  Stop();
  EXPECT_FALSE(admission_.Accepts("report", seconds(12), {}, kNoneOpen));
  EXPECT_FALSE(admission_.Accepts("chat", seconds(12), {}, kNoneOpen));
}

// Guards against refusals that cost callers an attempt although the host has
// the time to serve them.
TEST_F(stop_admission_fixture, RequestThatEndsInTimeIsAccepted) {
  Complete("chat", {seconds(1), seconds(1), {}});
  Stop();
  EXPECT_TRUE(admission_.Accepts("order", milliseconds(800), {}, kNoneOpen));
  EXPECT_TRUE(admission_.Accepts("chat", seconds(10), {}, kNoneOpen));
  clock_.Advance(milliseconds(3100));
  EXPECT_TRUE(admission_.Accepts("order", milliseconds(800), {}, kNoneOpen));
}

// Guards against a stream that takes longer than any before it, and against a
// stop signal that is handled late: late in the stop a time limit is required
// that ends before the process.
TEST_F(stop_admission_fixture, LateRequestNeedsATimeLimitWithinTheStop) {
  Complete("chat", {milliseconds(100), milliseconds(400), {}});
  Stop();
  clock_.Advance(milliseconds(2100));
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), {}, kNoneOpen));
  EXPECT_TRUE(admission_.Accepts("chat", seconds(5), {}, kNoneOpen));
  clock_.Advance(milliseconds(1200));
  EXPECT_FALSE(admission_.Accepts("order", milliseconds(10), {}, kNoneOpen));
}

// Guards against a stream of unknown length that is accepted on the evidence of
// a few short ones.
TEST_F(stop_admission_fixture, FewRequestsAreNoEvidence) {
  Complete("chat", {milliseconds(5), milliseconds(0), {}}, 1);
  clock_.Advance(seconds(10));
  Complete("chat", {milliseconds(5), milliseconds(0), {}}, 6);
  Stop();
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), {}, kNoneOpen));
}

// Guards against a host that has just started and has seen only the requests
// that ended quickly.
TEST_F(stop_admission_fixture, ShortHistoryIsNoEvidence) {
  Complete("chat", {milliseconds(100), milliseconds(400), {}}, 15);
  Stop();
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), {}, kNoneOpen));
}

// Guards against the same where the requests that take longer have not ended.
TEST_F(stop_admission_fixture, OpenRequestsCount) {
  Complete("chat", {milliseconds(100), milliseconds(400), {}}, 60);
  Stop();
  EXPECT_TRUE(admission_.Accepts("chat", seconds(10), {}, seconds(2)));
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), {}, seconds(6)));
}

// Guards against an estimate per token where earlier requests stated none.
TEST_F(stop_admission_fixture, RequestsWithoutTokensAreCompared) {
  Complete("chat", {milliseconds(100), seconds(9), {}});
  Stop();
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), 500, kNoneOpen));
}

// Guards against one delayed short stream that makes every stream look slow.
TEST_F(stop_admission_fixture, DelayOfAShortStreamIsNotScaledUp) {
  Complete("chat", {milliseconds(50), milliseconds(2000), 400});
  Complete("chat", {milliseconds(50), milliseconds(2000), 6}, 10);
  Stop();
  EXPECT_TRUE(admission_.Accepts("chat", seconds(10), 400, kNoneOpen));
}

// Guards against undefined arithmetic on tokens that a caller may state.
TEST_F(stop_admission_fixture, ExtremeTokenCountsAreHandled) {
  Complete("chat", {milliseconds(50), milliseconds(500), 10});
  Stop();
  const auto largest = std::numeric_limits<std::int64_t>::max();
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), largest, kNoneOpen));
  EXPECT_TRUE(admission_.Accepts("chat", seconds(10), -largest, kNoneOpen));
}

// Guards against one slow stream that makes a host refuse all of its kind for
// the rest of its life, and against an estimate that expires too early.
TEST_F(stop_admission_fixture, LongestRequestExpires) {
  Complete("chat", {seconds(9), seconds(0), {}}, 10);
  clock_.Advance(seconds(15));
  Complete("chat", {seconds(1), seconds(0), {}}, 10);
  Stop();
  EXPECT_FALSE(admission_.Accepts("chat", seconds(20), {}, kNoneOpen));
  clock_.Advance(seconds(16));
  Complete("chat", {seconds(1), seconds(0), {}}, 10);
  Stop();
  EXPECT_TRUE(admission_.Accepts("chat", seconds(20), {}, kNoneOpen));
}

struct stream_mix {
  /// Share of the streams that are delayed by up to two seconds.
  double delayed_share;
};

void PrintTo(const stream_mix& mix, std::ostream* out) {
  *out << mix.delayed_share;
}

class stop_replay : public testing::TestWithParam<stream_mix> {};

// Replays streams whose stated size is widely spread, at engines of different
// pace, before and during a stop, and counts those that the process would cut
// off.
TEST_P(stop_replay, StreamsOfSpreadLengthAreRarelyCutOff) {
  int accepted = 0;
  int cut = 0;
  int refused = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> stated_tokens(5.0, 0.7);
    std::uniform_real_distribution<double> used_share(0.3, 1);
    std::uniform_real_distribution<double> token_ms(4, 9);
    std::uniform_int_distribution<int> first_ms(20, 400);
    std::uniform_int_distribution<int> delay_ms(500, 2000);
    std::bernoulli_distribution is_delayed(GetParam().delayed_share);
    manual_clock clock;
    stop_admission admission(clock);
    const auto draw = [&] {
      const auto tokens =
          static_cast<std::int64_t>(std::min(stated_tokens(random), 640.0)) + 1;
      const double used = static_cast<double>(tokens) * used_share(random);
      const int delay = is_delayed(random) ? delay_ms(random) : 0;
      return completed_request{
          milliseconds(first_ms(random)),
          milliseconds(delay + static_cast<int>(used * token_ms(random))),
          tokens};
    };
    for (int i = 0; i < 300; ++i) {
      clock.Advance(milliseconds(70));
      admission.OnCompleted("chat", draw());
    }
    const auto end = clock.now() + milliseconds(7300);
    admission.Begin(end);
    for (int i = 0; i < 35; ++i) {
      clock.Advance(milliseconds(70));
      const auto asked = draw();
      if (!admission.Accepts("chat", seconds(10), asked.output_tokens,
                             kNoneOpen)) {
        ++refused;
        continue;
      }
      ++accepted;
      if (clock.now() + asked.first_answer + asked.rest > end) ++cut;
    }
  }
  EXPECT_LE(cut, accepted / 1000);
  EXPECT_GT(accepted, 2 * refused);
}

INSTANTIATE_TEST_SUITE_P(delays, stop_replay,
                         testing::Values(stream_mix{0}, stream_mix{0.01},
                                         stream_mix{0.05}));

}  // namespace
}  // namespace bluebell::serving
