#include "routing/endpoint_health.h"

#include <gtest/gtest.h>

#include "routing/endpoint_report.h"

namespace bluebell::routing {
namespace {

using event = health_event;
using state = health_state;

// Guards against an order of `health_state` that differs from the numbering of
// the states by MSM.
TEST(endpoint_health, PassesThroughEveryState) {
  endpoint_health health;
  EXPECT_EQ(health.state(), state::kHealthy);
  EXPECT_TRUE(health.Process(event::kMissed));
  EXPECT_EQ(health.state(), state::kSuspect);
  EXPECT_TRUE(health.Process(event::kMissed));
  EXPECT_EQ(health.state(), state::kDown);
  EXPECT_TRUE(health.Process(event::kProbeSent));
  EXPECT_EQ(health.state(), state::kProbing);
  EXPECT_TRUE(health.Process(event::kAnswered));
  EXPECT_EQ(health.state(), state::kHealthy);
  EXPECT_TRUE(health.Process(event::kAnnouncedLeaving));
  EXPECT_EQ(health.state(), state::kLeaving);
  EXPECT_FALSE(health.Process(event::kRequestBroken));
  EXPECT_TRUE(health.Process(event::kRefused));
  EXPECT_EQ(health.state(), state::kDown);
}

TEST(endpoint_report, NamesTheBadField) {
  nlohmann::json body = {{"incarnation", "1"}, {"state", "live"},
                         {"running", 2},       {"models", {"m"}},
                         {"adapters", {"a"}},  {"loading", {"n"}}};
  const auto report = ParseReport(body);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->resident, (std::set<std::string>{"a", "m"}));
  EXPECT_EQ(report->loading, (std::set<std::string>{"n"}));
  body["running"] = -1;
  const auto bad = ParseReport(body);
  ASSERT_FALSE(bad);
  EXPECT_NE(bad.error().detail.find("running"), std::string::npos);
  EXPECT_FALSE(ParseReport({{"state", "live"}}));
}

}  // namespace
}  // namespace bluebell::routing
