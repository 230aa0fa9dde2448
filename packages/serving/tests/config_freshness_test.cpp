#include "serving/config_freshness.h"

#include <gtest/gtest.h>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr config_freshness::bounds kBounds{seconds(5), seconds(3)};

// Guards against a new process that accepts keys before it has read the store.
TEST(config_freshness, RejectsKeysUntilConfirmed) {
  manual_clock clock;
  const config_freshness freshness(clock, kBounds);
  EXPECT_FALSE(freshness.AllowsKeys());
}

// Guards against an age that counts from the response: a key may have been
// withdrawn while the response was in transit.
TEST(config_freshness, AgeCountsFromTheRequest) {
  manual_clock clock;
  config_freshness freshness(clock, kBounds);
  const auto sent = clock.now();
  clock.Advance(seconds(3));
  freshness.Confirm(sent);
  EXPECT_TRUE(freshness.AllowsKeys());
  clock.Advance(seconds(2));
  EXPECT_FALSE(freshness.AllowsKeys());
}

TEST(config_freshness, OlderConfirmationChangesNothing) {
  manual_clock clock;
  config_freshness freshness(clock, kBounds);
  const auto old = clock.now();
  clock.Advance(seconds(4));
  freshness.Confirm(clock.now());
  freshness.Confirm(old);
  clock.Advance(seconds(2));
  EXPECT_TRUE(freshness.AllowsKeys());
}

// Guards against keys that exceed the bound by the time until the request
// reaches the engine.
TEST(config_freshness, EndsBeforeTheBound) {
  manual_clock clock;
  config_freshness freshness(clock, kBounds);
  freshness.Confirm(clock.now());
  clock.Advance(kBounds.key_withdrawal - milliseconds(1));
  EXPECT_FALSE(freshness.AllowsKeys());
}

// Guards against requests that are handled by a replaced configuration for
// however long the next version cannot be read.
TEST(config_freshness, SupersededConfigurationEndsBeforeTheBoundOfChanges) {
  manual_clock clock;
  config_freshness freshness(clock, kBounds);
  freshness.Confirm(clock.now());
  clock.Advance(seconds(2));
  freshness.SetSuperseded(true);
  EXPECT_TRUE(freshness.AllowsRequests());
  clock.Advance(seconds(1) - milliseconds(1));
  EXPECT_FALSE(freshness.AllowsRequests());
  EXPECT_TRUE(freshness.AllowsKeys());
  freshness.SetSuperseded(false);
  EXPECT_TRUE(freshness.AllowsRequests());
}

// Guards against requests that are refused in an outage of the store, in which
// no newer version can be known.
TEST(config_freshness, NewestConfigurationHandlesRequestsAtAnyAge) {
  manual_clock clock;
  config_freshness freshness(clock, kBounds);
  EXPECT_TRUE(freshness.AllowsRequests());
  freshness.Confirm(clock.now());
  clock.Advance(seconds(60));
  EXPECT_TRUE(freshness.AllowsRequests());
}

}  // namespace
}  // namespace bluebell::serving
