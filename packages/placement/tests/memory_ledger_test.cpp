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
    ledger_.SetEngine(e_, byte_count(100), false);
    ledger_.SetEngine(f_, byte_count(100), true);
    Report(e_, {});
    Report(f_, {});
  }

  void Report(const endpoint_id& id, std::set<std::string> resident,
              const std::string& incarnation = "1") {
    routing::endpoint_report report;
    report.incarnation = incarnation;
    report.resident = std::move(resident);
    ledger_.OnReport(id, report, clock_.now());
  }

  /// Reports every second for the given time.
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
  endpoint_id e_{"e"};
  endpoint_id f_{"f"};
};

// Guards against an order that arrives after the report that seemed to settle
// it: at an engine without fencing, time in which it responds settles it, and
// time in which it is silent does not.
TEST_F(memory_ledger_test, LateLoadCountsAfterItsTargetIsReportedAbsent) {
  ledger_.OnLoadSent(e_, "a", 1);
  Respond(e_, seconds(5), {"a"});
  ledger_.OnUnloadSent(e_, "a", 1);
  Respond(e_, seconds(5), {});
  EXPECT_FALSE(ledger_.CanLoad(e_, "b"));
  clock_.Advance(seconds(600));
  Report(e_, {});
  EXPECT_FALSE(ledger_.CanLoad(e_, "b"));
  Respond(e_, seconds(115), {});
  EXPECT_TRUE(ledger_.CanLoad(e_, "b"));
}

TEST_F(memory_ledger_test, UnloadFreesMemoryOnlyWhenReported) {
  Report(e_, {"a"});
  ledger_.OnUnloadSent(e_, "a", 1);
  Respond(e_, seconds(5), {"a"});
  EXPECT_FALSE(ledger_.CanLoad(e_, "b"));
  Report(e_, {});
  EXPECT_TRUE(ledger_.CanLoad(e_, "b"));
}

// Guards against trusting a fencing number that the engine accepted in another
// process or that no report confirms.
TEST_F(memory_ledger_test, HigherFenceSettlesOnlyInTheProcessThatAcceptedIt) {
  ledger_.OnLoadSent(f_, "a", 1);
  Respond(f_, seconds(5), {});
  ledger_.Abandon(f_, "a");
  ledger_.OnFenceAccepted(f_, 2, clock_.now());
  EXPECT_FALSE(ledger_.CanLoad(f_, "b"));
  Respond(f_, seconds(1), {});
  EXPECT_TRUE(ledger_.CanLoad(f_, "b"));
  Respond(f_, seconds(1), {}, "2");
  EXPECT_FALSE(ledger_.CanLoad(f_, "b"));
  Respond(f_, seconds(1), {}, "2");
  ledger_.OnFenceAccepted(f_, 2, clock_.now());
  Respond(f_, seconds(1), {}, "2");
  EXPECT_TRUE(ledger_.CanLoad(f_, "b"));
}

// Guards against a repeated order that is refused room which its target holds.
TEST_F(memory_ledger_test, RepeatedLoadNeedsNoMoreMemory) {
  ledger_.OnLoadSent(e_, "a", 1);
  EXPECT_TRUE(ledger_.CanLoad(e_, "a"));
  EXPECT_FALSE(ledger_.CanLoad(e_, "b"));
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
