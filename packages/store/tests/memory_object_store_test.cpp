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
  // Writes through `store` and returns the outcome after `wait`.
  std::optional<write_result> Put(memory_object_store& store, int value,
                                  clock::duration wait = seconds(3)) {
    std::optional<write_result> outcome;
    store.Put("a", value, std::nullopt,
              [&](write_result result) { outcome = std::move(result); });
    time_.Advance(wait);
    return outcome;
  }

  manual_clock time_;
  memory_platform platform_{time_};
  memory_object_store first_{platform_};
  memory_object_store second_{platform_};
};

// Guards against an outage of one host that also disconnects the others.
TEST_F(memory_store_test, OutageOfOneClientLeavesTheOthersConnected) {
  first_.faults().outage = true;
  EXPECT_EQ(Put(first_, 1)->error().cause.code, error_code::kUnavailable);
  EXPECT_TRUE(Put(second_, 2)->has_value());
  EXPECT_EQ(platform_.Peek("a")->value, 2);
  EXPECT_EQ(platform_.counts().puts, 1);
  EXPECT_EQ(first_.counts().puts, 1);
}

// Guards against tests that treat a timed-out write as not written: a delayed
// request may still take effect afterwards.
TEST_F(memory_store_test, DelayedWriteTakesEffectAfterItsTimeLimit) {
  platform_.faults().delay = seconds(5);
  const auto outcome = Put(first_, 1);
  EXPECT_EQ(outcome->error().cause.code, error_code::kOutcomeUnknown);
  EXPECT_FALSE(platform_.Peek("a"));
  time_.Advance(seconds(5));
  EXPECT_TRUE(platform_.Peek("a"));
}

// Guards against callbacks into a destroyed host, and against losing a write
// that the host had already sent.
TEST_F(memory_store_test, DestroyedClientGetsNoCallbackAndItsWriteTakesEffect) {
  auto third = std::make_unique<memory_object_store>(platform_);
  bool called = false;
  third->Put("a", 1, std::nullopt, [&](const write_result&) { called = true; });
  third.reset();
  time_.Advance(seconds(3));
  EXPECT_FALSE(called);
  EXPECT_TRUE(platform_.Peek("a"));
}

// Guards against `kUnavailable` for a write that took effect before an outage
// lost its response.
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
