#include "serving/key_freshness.h"

#include <gtest/gtest.h>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kBound{5};

// Guards against a new process that accepts keys before it has read the store.
TEST(key_freshness, RejectsKeysUntilConfirmed) {
  manual_clock clock;
  const key_freshness freshness(clock, kBound);
  EXPECT_FALSE(freshness.AllowsKeys());
}

// Guards against an age that counts from the response: a key may have been
// withdrawn while the response was in transit.
TEST(key_freshness, AgeCountsFromTheRequest) {
  manual_clock clock;
  key_freshness freshness(clock, kBound);
  const auto sent = clock.now();
  clock.Advance(seconds(3));
  freshness.Confirm(sent);
  EXPECT_TRUE(freshness.AllowsKeys());
  clock.Advance(seconds(2));
  EXPECT_FALSE(freshness.AllowsKeys());
}

TEST(key_freshness, OlderConfirmationChangesNothing) {
  manual_clock clock;
  key_freshness freshness(clock, kBound);
  const auto old = clock.now();
  clock.Advance(seconds(4));
  freshness.Confirm(clock.now());
  freshness.Confirm(old);
  clock.Advance(seconds(2));
  EXPECT_TRUE(freshness.AllowsKeys());
}

// Guards against keys that exceed the bound by the time until the request
// reaches the engine.
TEST(key_freshness, EndsBeforeTheBound) {
  manual_clock clock;
  key_freshness freshness(clock, kBound);
  freshness.Confirm(clock.now());
  clock.Advance(kBound - milliseconds(1));
  EXPECT_FALSE(freshness.AllowsKeys());
}

}  // namespace
}  // namespace bluebell::serving
