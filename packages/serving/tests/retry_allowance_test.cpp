#include "serving/retry_allowance.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

const service_id kService("llm");

// Guards against repeats that multiply while an engine fails everything: over
// all hosts they stay within the bound in every sliding window.
TEST(retry_allowance, FleetStaysWithinBoundInEveryWindow) {
  constexpr int kHosts = 8;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    manual_clock clock;
    std::mt19937_64 random(seed);
    const retry_bound bound{0.2, 56, std::chrono::seconds(10)};
    std::vector<retry_allowance> hosts(kHosts, retry_allowance(clock, bound));
    std::deque<clock::time_point> requests;
    std::deque<clock::time_point> repeats;
    for (int step = 0; step < 3000; ++step) {
      clock.Advance(milliseconds(10));
      auto& host = hosts[random() % kHosts];
      host.OnRequest(kService);
      requests.push_back(clock.now());
      while (host.Take(kService, kHosts)) repeats.push_back(clock.now());
      const auto oldest = clock.now() - bound.window;
      while (!requests.empty() && requests.front() < oldest) {
        requests.pop_front();
      }
      while (!repeats.empty() && repeats.front() < oldest) repeats.pop_front();
      ASSERT_LE(repeats.size(), bound.ratio * requests.size() + bound.slack)
          << "seed " << seed << ", step " << step;
    }
    EXPECT_FALSE(repeats.empty());
  }
}

TEST(retry_allowance, ServicesAreSeparate) {
  manual_clock clock;
  retry_allowance allowance(clock, {0, 5, std::chrono::seconds(10)});
  int taken = 0;
  while (allowance.Take(kService, 1)) ++taken;
  EXPECT_EQ(taken, 4);
  EXPECT_TRUE(allowance.Take(service_id("other"), 1));
}

}  // namespace
}  // namespace bluebell::serving
