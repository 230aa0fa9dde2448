#include "serving/stop_admission.h"

#include <gtest/gtest.h>

#include <random>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class stop_admission_fixture : public testing::Test {
 protected:
  void Stop() { admission_.Begin(clock_.now() + milliseconds(7300)); }

  manual_clock clock_;
  stop_admission admission_{clock_};
};

TEST_F(stop_admission_fixture, RunningHostAcceptsEveryRequest) {
  EXPECT_TRUE(admission_.Accepts("report", seconds(3600), {}));
}

// Guards against a request that is accepted late in a stop and cut off at its
// end.
TEST_F(stop_admission_fixture, RequestThatMayOutlastTheProcessIsRefused) {
  Stop();
  EXPECT_FALSE(admission_.Accepts("report", seconds(12), {}));
  admission_.OnEnded("report", seconds(6), {}, {});
  EXPECT_FALSE(admission_.Accepts("report", seconds(12), {}));
}

// Guards against refusals that cost callers an attempt although the host has
// the time to serve them.
TEST_F(stop_admission_fixture, RequestThatEndsInTimeIsAccepted) {
  admission_.OnEnded("chat", seconds(2), {}, {});
  Stop();
  EXPECT_TRUE(admission_.Accepts("order", milliseconds(800), {}));
  EXPECT_TRUE(admission_.Accepts("chat", seconds(10), {}));
  clock_.Advance(milliseconds(3100));
  EXPECT_TRUE(admission_.Accepts("order", milliseconds(800), {}));
}

// Guards against a stream that takes longer than any before it: late in the
// stop a time limit is required that ends before the process.
TEST_F(stop_admission_fixture, LateRequestNeedsATimeLimitWithinTheStop) {
  admission_.OnEnded("chat", milliseconds(500), {}, {});
  Stop();
  clock_.Advance(milliseconds(2600));
  EXPECT_FALSE(admission_.Accepts("chat", seconds(10), {}));
  EXPECT_TRUE(admission_.Accepts("chat", seconds(4), {}));
  clock_.Advance(milliseconds(700));
  EXPECT_FALSE(admission_.Accepts("order", milliseconds(10), {}));
}

// Guards against one slow stream that makes a host refuse all of its kind for
// the rest of its life, and against an estimate that expires too early.
TEST_F(stop_admission_fixture, LongestRequestExpires) {
  admission_.OnEnded("chat", seconds(9), {}, {});
  clock_.Advance(seconds(14));
  admission_.OnEnded("chat", seconds(1), {}, {});
  clock_.Advance(seconds(2));
  admission_.OnEnded("chat", seconds(1), {}, {});
  Stop();
  EXPECT_FALSE(admission_.Accepts("chat", seconds(20), {}));
  clock_.Advance(seconds(31));
  admission_.OnEnded("chat", seconds(1), {}, {});
  Stop();
  EXPECT_TRUE(admission_.Accepts("chat", seconds(20), {}));
}

// Replays streams whose stated size is widely spread, at engines of different
// pace, before and during a stop, and counts those that the process would cut
// off.
TEST_F(stop_admission_fixture, StreamsOfSpreadLengthAreRarelyCutOff) {
  int accepted = 0;
  int cut = 0;
  int refused = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> stated_tokens(5.0, 0.7);
    std::uniform_real_distribution<double> used_share(0.3, 1);
    std::uniform_real_distribution<double> token_ms(4, 9);
    std::uniform_int_distribution<int> first_ms(20, 400);
    manual_clock clock;
    stop_admission admission(clock);
    struct stream {
      std::int64_t tokens;
      milliseconds first_answer;
      milliseconds rest;
    };
    const auto draw = [&] {
      const auto tokens =
          static_cast<std::int64_t>(std::min(stated_tokens(random), 640.0)) + 1;
      const double used = static_cast<double>(tokens) * used_share(random);
      return stream{tokens, milliseconds(first_ms(random)),
                    milliseconds(static_cast<int>(used * token_ms(random)))};
    };
    for (int i = 0; i < 300; ++i) {
      clock.Advance(milliseconds(70));
      const auto ended = draw();
      admission.OnEnded("chat", ended.first_answer, ended.rest, ended.tokens);
    }
    const auto end = clock.now() + milliseconds(7300);
    admission.Begin(end);
    for (int i = 0; i < 35; ++i) {
      clock.Advance(milliseconds(70));
      const auto asked = draw();
      if (!admission.Accepts("chat", seconds(10), asked.tokens)) {
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

}  // namespace
}  // namespace bluebell::serving
