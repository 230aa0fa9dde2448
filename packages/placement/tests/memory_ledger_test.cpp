#include "placement/memory_ledger.h"

#include <gtest/gtest.h>

#include "base/manual_clock.h"
#include "placement/load_throttle.h"

namespace bluebell::placement {
namespace {

using std::chrono::seconds;

class memory_ledger_test : public ::testing::Test {
 protected:
  void SetUp() override {
    ledger_.SetEngine(unfenced_engine_, byte_count(100), false);
    ledger_.SetEngine(fenced_engine_, byte_count(100), true);
    Report(unfenced_engine_, {});
    Report(fenced_engine_, {});
  }

  void Report(const endpoint_id& id, std::set<std::string> resident,
              const std::string& incarnation = "1") {
    routing::endpoint_report report;
    report.incarnation = incarnation;
    report.resident = std::move(resident);
    ledger_.OnReport(id, report, clock_.now());
  }

  /// Delivers a report every second for `length`.
  void Respond(const endpoint_id& id, seconds length,
               const std::set<std::string>& resident,
               const std::string& incarnation = "1") {
    for (auto passed = seconds(0); passed < length; passed += seconds(1)) {
      clock_.Advance(seconds(1));
      Report(id, resident, incarnation);
    }
  }

  manual_clock clock_;
  memory_ledger ledger_{clock_, seconds(120),
                        [](const std::string&) { return byte_count(60); }};
  endpoint_id unfenced_engine_{"e"};
  endpoint_id fenced_engine_{"f"};
};

// Guards against an order that takes effect after its target was reported
// absent. On an engine without fencing, the order expires only by time during
// which the engine responds.
TEST_F(memory_ledger_test, LateLoadCountsAfterItsTargetIsReportedAbsent) {
  ledger_.OnLoadSent(unfenced_engine_, "a", 1);
  Respond(unfenced_engine_, seconds(5), {"a"});
  ledger_.OnUnloadSent(unfenced_engine_, "a", 1);
  Respond(unfenced_engine_, seconds(5), {});
  EXPECT_FALSE(ledger_.CanLoad(unfenced_engine_, "b"));
  clock_.Advance(seconds(600));
  Report(unfenced_engine_, {});
  EXPECT_FALSE(ledger_.CanLoad(unfenced_engine_, "b"));
  Respond(unfenced_engine_, seconds(115), {});
  EXPECT_TRUE(ledger_.CanLoad(unfenced_engine_, "b"));
}

TEST_F(memory_ledger_test, UnloadFreesMemoryOnlyWhenReported) {
  Report(unfenced_engine_, {"a"});
  ledger_.OnUnloadSent(unfenced_engine_, "a", 1);
  Respond(unfenced_engine_, seconds(5), {"a"});
  EXPECT_FALSE(ledger_.CanLoad(unfenced_engine_, "b"));
  Report(unfenced_engine_, {});
  EXPECT_TRUE(ledger_.CanLoad(unfenced_engine_, "b"));
}

// Guards against relying on a fencing number that an earlier process of the
// engine accepted or that no report confirms.
TEST_F(memory_ledger_test, HigherFenceCountsOnlyInTheProcessThatAcceptedIt) {
  ledger_.OnLoadSent(fenced_engine_, "a", 1);
  Respond(fenced_engine_, seconds(5), {});
  ledger_.Abandon(fenced_engine_, "a");
  ledger_.OnFenceAccepted(fenced_engine_, 2, clock_.now());
  EXPECT_FALSE(ledger_.CanLoad(fenced_engine_, "b"));
  Respond(fenced_engine_, seconds(1), {});
  EXPECT_TRUE(ledger_.CanLoad(fenced_engine_, "b"));
  Respond(fenced_engine_, seconds(1), {}, "2");
  EXPECT_FALSE(ledger_.CanLoad(fenced_engine_, "b"));
  Respond(fenced_engine_, seconds(1), {}, "2");
  ledger_.OnFenceAccepted(fenced_engine_, 2, clock_.now());
  Respond(fenced_engine_, seconds(1), {}, "2");
  EXPECT_TRUE(ledger_.CanLoad(fenced_engine_, "b"));
}

// Guards against rejecting a retry for memory that its target already holds.
TEST_F(memory_ledger_test, RepeatedLoadNeedsNoMoreMemory) {
  ledger_.OnLoadSent(unfenced_engine_, "a", 1);
  EXPECT_TRUE(ledger_.CanLoad(unfenced_engine_, "a"));
  EXPECT_FALSE(ledger_.CanLoad(unfenced_engine_, "b"));
}

// Guards against more loads than the weight store sustains.
TEST(load_throttle, LimitsRateAndNumberInFlight) {
  manual_clock clock;
  load_throttle throttle(clock);
  int started = 0;
  for (int i = 0; i < 100; ++i) {
    started += throttle.Begin(endpoint_id("e"), "m" + std::to_string(i), false)
                   ? 1
                   : 0;
    clock.Advance(std::chrono::milliseconds(100));
    if (i == 19) {
      EXPECT_EQ(started, 4);
    }
  }
  EXPECT_EQ(started, 8);
  int adapters = 0;
  for (int i = 0; i < 100; ++i) {
    adapters +=
        throttle.Begin(endpoint_id("e"), "a" + std::to_string(i), true) ? 1 : 0;
  }
  EXPECT_EQ(adapters, 65);
}

}  // namespace
}  // namespace bluebell::placement
