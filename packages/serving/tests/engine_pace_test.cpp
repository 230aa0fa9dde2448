#include "serving/engine_pace.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class engine_pace_test : public testing::Test {
 protected:
  void Sample(const std::string& engine, const std::string& model,
              double step_seconds) {
    pace_.OnSample(
        {endpoint_id(engine), model_id(model), std::log(step_seconds), 1});
  }

  manual_clock clock_;
  engine_pace pace_{clock_};
};

TEST_F(engine_pace_test, UnknownEngineIsTypical) {
  EXPECT_EQ(pace_.Of(endpoint_id("e1")), 1);
}

// Guards against taking an engine for slow because its models are large: each
// engine runs two of six models whose steps differ by a factor of nine.
TEST_F(engine_pace_test, SeparatesEnginesFromModels) {
  std::mt19937_64 random(5);
  std::lognormal_distribution<double> noise(0, 0.4);
  const auto speed = [](int engine) { return engine % 3 == 0 ? 1.7 : 0.7; };
  for (int i = 0; i < 1200; ++i) {
    clock_.Advance(milliseconds(10));
    const int engine = static_cast<int>(random() % 12);
    const int model = (engine + static_cast<int>(random() % 2) * 5) % 6;
    Sample("e" + std::to_string(engine), "m" + std::to_string(model),
           0.05 * (1 + 1.6 * model) * speed(engine) * noise(random));
  }
  for (int engine = 0; engine < 12; ++engine) {
    const double pace = pace_.Of(endpoint_id("e" + std::to_string(engine)));
    if (speed(engine) > 1) {
      EXPECT_GT(pace, 1.3) << engine;
    } else {
      EXPECT_LT(pace, 1.1) << engine;
    }
  }
}

// Guards against requests that go on to an engine which turned slow, and
// against one that is avoided for ever after it has recovered.
TEST_F(engine_pace_test, FollowsAnEngineThatTurnsSlow) {
  for (int i = 0; i < 200; ++i) {
    clock_.Advance(milliseconds(20));
    for (const char* engine : {"e1", "e2", "e3"}) Sample(engine, "m", 0.05);
  }
  EXPECT_NEAR(pace_.Of(endpoint_id("e1")), 1, 0.01);
  for (int i = 0; i < 10; ++i) {
    clock_.Advance(milliseconds(100));
    Sample("e1", "m", 0.2);
    Sample("e2", "m", 0.05);
    Sample("e3", "m", 0.05);
  }
  EXPECT_GT(pace_.Of(endpoint_id("e1")), 2);
  clock_.Advance(seconds(30));
  EXPECT_LT(pace_.Of(endpoint_id("e1")), 1.3);
}

}  // namespace
}  // namespace bluebell::serving
