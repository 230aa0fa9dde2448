#include "store/memory_object_store.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "base/manual_clock.h"

namespace bluebell::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class memory_store_test : public testing::Test {
 protected:
  // Writes through `store` and returns the outcome once it is known.
  std::optional<write_result> Put(memory_object_store& store, int value,
                                  clock::duration patience = seconds(3)) {
    std::optional<write_result> outcome;
    store.Put("a", value, std::nullopt,
              [&](write_result result) { outcome = std::move(result); });
    time_.Advance(patience);
    return outcome;
  }

  manual_clock time_;
  memory_platform platform_{time_};
  memory_object_store first_{platform_};
  memory_object_store second_{platform_};
};

// Guards against a cut of one host that also cuts off the others.
TEST_F(memory_store_test, OutageOfOneClientLeavesTheOthersConnected) {
  first_.faults().outage = true;
  EXPECT_EQ(Put(first_, 1)->error().cause.code, error_code::kUnavailable);
  EXPECT_TRUE(Put(second_, 2)->has_value());
  EXPECT_EQ(platform_.Peek("a")->value, 2);
  EXPECT_EQ(platform_.counts().puts, 1);
  EXPECT_EQ(first_.counts().puts, 1);
}

// Guards against tests that treat a write as undone when its time limit ends:
// a delayed request may still take effect afterwards.
TEST_F(memory_store_test, DelayedWriteTakesEffectAfterItsTimeLimit) {
  platform_.faults().delay = seconds(5);
  const auto outcome = Put(first_, 1);
  EXPECT_EQ(outcome->error().cause.code, error_code::kOutcomeUnknown);
  EXPECT_FALSE(platform_.Peek("a"));
  time_.Advance(seconds(5));
  EXPECT_TRUE(platform_.Peek("a"));
}

// Guards against callbacks into a host that a test has destroyed, and against
// losing the write that the host had sent before.
TEST_F(memory_store_test, DestroyedClientGetsNoCallbackAndItsWriteStands) {
  auto third = std::make_unique<memory_object_store>(platform_);
  bool called = false;
  third->Put("a", 1, std::nullopt, [&](const write_result&) { called = true; });
  third.reset();
  time_.Advance(seconds(3));
  EXPECT_FALSE(called);
  EXPECT_TRUE(platform_.Peek("a"));
}

// Guards against an outage that starts between effect and answer being told as
// "did not take effect".
TEST_F(memory_store_test, OutageAfterTheEffectLeavesTheOutcomeUnknown) {
  std::optional<write_result> outcome;
  first_.Put("a", 1, std::nullopt,
             [&](write_result result) { outcome = std::move(result); });
  time_.Advance(milliseconds(1));
  ASSERT_TRUE(platform_.Peek("a"));
  platform_.faults().outage = true;
  time_.Advance(seconds(3));
  EXPECT_EQ(outcome->error().cause.code, error_code::kOutcomeUnknown);
}

}  // namespace
}  // namespace bluebell::store
