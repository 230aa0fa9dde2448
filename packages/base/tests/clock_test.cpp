#include <gtest/gtest.h>
#include <time.h>

#include <vector>

#include "base/asio_clock.h"
#include "base/hybrid_clock.h"
#include "base/manual_clock.h"

namespace bluebell {
namespace {

using std::chrono::seconds;

TEST(manual_clock, RunsCallbacksInOrderOfDueTime) {
  manual_clock clock;
  std::vector<int> order;
  const auto late = clock.CallAfter(seconds(2), [&] { order.push_back(2); });
  const auto early = clock.CallAfter(seconds(1), [&] { order.push_back(1); });
  clock.Advance(seconds(3));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(manual_clock, DestroyedTimerDoesNotRun) {
  manual_clock clock;
  bool ran = false;
  auto handle = clock.CallAfter(seconds(1), [&] { ran = true; });
  handle.reset();
  clock.Advance(seconds(2));
  EXPECT_FALSE(ran);
}

// Guards against leases that outlive the suspension of their holder's machine:
// the steady clock stands still meanwhile. The two clocks differ only on a
// machine that was suspended, so the test compares with the right one.
TEST(asio_clock, CountsSuspendedTime) {
  boost::asio::io_context context;
  const asio_clock clock(context);
  timespec before{};
  clock_gettime(CLOCK_BOOTTIME, &before);
  const auto now = clock.now().time_since_epoch();
  timespec after{};
  clock_gettime(CLOCK_BOOTTIME, &after);
  const auto to_duration = [](const timespec& reading) {
    return seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
  };
  EXPECT_GE(now, to_duration(before));
  EXPECT_LE(now, to_duration(after));
}

// Guards against a time line that shows an effect before its cause when the
// receiving host's calendar clock is behind.
TEST(hybrid_clock, ReceivedStampSortsBeforeLaterEvents) {
  manual_clock source;
  hybrid_clock local(source);
  hybrid_time remote = local.Now();
  remote.wall_us += 1'000'000;
  local.Observe(remote);
  EXPECT_TRUE(remote < local.Now());
}

}  // namespace
}  // namespace bluebell
