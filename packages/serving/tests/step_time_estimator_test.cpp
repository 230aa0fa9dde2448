#include "serving/step_time_estimator.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class step_time_estimator_test : public testing::Test {
 protected:
  void Sample(const std::string& engine, const std::string& model,
              double step_seconds) {
    step_times_.OnSample(
        {endpoint_id(engine), model_id(model), std::log(step_seconds), 1});
  }

  manual_clock clock_;
  step_time_estimator step_times_{clock_};
};

TEST_F(step_time_estimator_test, UnknownEngineIsTypical) {
  EXPECT_EQ(step_times_.Ratio(endpoint_id("e1")), 1);
}

// Guards against rating an engine as slow because its models are large: each
// engine runs two of six models whose step times differ by a factor of nine.
TEST_F(step_time_estimator_test, SeparatesEnginesFromModels) {
  std::mt19937_64 random(5);
  std::lognormal_distribution<double> noise(0, 0.4);
  const auto step_time_factor = [](int engine) {
    return engine % 3 == 0 ? 1.7 : 0.7;
  };
  for (int i = 0; i < 1200; ++i) {
    clock_.Advance(milliseconds(10));
    const int engine = static_cast<int>(random() % 12);
    const int model = (engine + static_cast<int>(random() % 2) * 5) % 6;
    Sample("e" + std::to_string(engine), "m" + std::to_string(model),
           0.05 * (1 + 1.6 * model) * step_time_factor(engine) * noise(random));
  }
  for (int engine = 0; engine < 12; ++engine) {
    const double ratio =
        step_times_.Ratio(endpoint_id("e" + std::to_string(engine)));
    if (step_time_factor(engine) > 1) {
      EXPECT_GT(ratio, 1.3) << engine;
    } else {
      EXPECT_LT(ratio, 1.1) << engine;
    }
  }
}

// Guards against sending further requests to an engine that became slow, and
// against avoiding it permanently after it has recovered.
TEST_F(step_time_estimator_test, TracksEngineThatBecomesSlow) {
  for (int i = 0; i < 200; ++i) {
    clock_.Advance(milliseconds(20));
    for (const char* engine : {"e1", "e2", "e3"}) Sample(engine, "m", 0.05);
  }
  EXPECT_NEAR(step_times_.Ratio(endpoint_id("e1")), 1, 0.01);
  for (int i = 0; i < 10; ++i) {
    clock_.Advance(milliseconds(100));
    Sample("e1", "m", 0.2);
    Sample("e2", "m", 0.05);
    Sample("e3", "m", 0.05);
  }
  EXPECT_GT(step_times_.Ratio(endpoint_id("e1")), 2);
  clock_.Advance(seconds(30));
  EXPECT_LT(step_times_.Ratio(endpoint_id("e1")), 1.3);
}

}  // namespace
}  // namespace bluebell::serving
