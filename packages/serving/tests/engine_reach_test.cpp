#include "serving/engine_reach.h"

#include <gtest/gtest.h>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

class engine_reach_fixture : public testing::Test {
 protected:
  manual_clock clock_;
  engine_reach host_{clock_};
};

// Guards against a host that goes on to send into a cut path.
TEST_F(engine_reach_fixture, EnginesAreLostWhenAllProbesFail) {
  host_.OnConnected();
  host_.OnNotConnected();
  EXPECT_TRUE(host_.WantsProbes());
  EXPECT_FALSE(host_.lost());
  host_.OnProbes(0, 4);
  EXPECT_TRUE(host_.lost());
  EXPECT_FALSE(host_.HasContact());
  clock_.Advance(milliseconds(300));
  EXPECT_TRUE(host_.WantsProbes());
  host_.OnProbes(1, 3);
  EXPECT_FALSE(host_.lost());
  EXPECT_TRUE(host_.HasContact());
  EXPECT_FALSE(host_.WantsProbes());
}

// Guards against taking one engine that ended for a cut.
TEST_F(engine_reach_fixture, OneEngineThatEndsIsNoCut) {
  host_.OnNotConnected();
  host_.OnProbes(3, 1);
  EXPECT_FALSE(host_.lost());
  EXPECT_FALSE(host_.IsSuspect());
}

// Guards against connections that hang for as long as their requests may last.
TEST_F(engine_reach_fixture, SilenceAtSeveralEnginesIsProbed) {
  host_.OnConnected();
  const auto first = host_.OnSend(endpoint_id("e1"));
  host_.OnSend(endpoint_id("e1"));
  clock_.Advance(milliseconds(600));
  EXPECT_FALSE(host_.WantsProbes());
  host_.OnSend(endpoint_id("e2"));
  EXPECT_TRUE(host_.WantsProbes());
  host_.OnContact();
  EXPECT_FALSE(host_.WantsProbes());
  clock_.Advance(milliseconds(600));
  EXPECT_TRUE(host_.WantsProbes());
  host_.OnEnd(first);
}

// Guards against requests that need new connections while old ones live on.
TEST_F(engine_reach_fixture, LivingConnectionsDoNotHideThatNewOnesFail) {
  host_.OnNotConnected();
  host_.OnContact();
  EXPECT_TRUE(host_.WantsProbes());
}

}  // namespace
}  // namespace bluebell::serving
