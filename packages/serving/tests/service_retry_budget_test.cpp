#include "serving/service_retry_budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

const service_id kService("llm");

// Guards against a retry storm while an engine fails every request: over all
// hosts, retries stay within the limit in every sliding window.
TEST(service_retry_budget, FleetStaysWithinLimitInEveryWindow) {
  constexpr int kHosts = 8;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    manual_clock clock;
    std::mt19937_64 random(seed);
    const retry_limits limits{0.2, 56, std::chrono::seconds(10)};
    std::vector<service_retry_budget> hosts(
        kHosts, service_retry_budget(clock, limits));
    std::deque<clock::time_point> requests;
    std::deque<clock::time_point> retries;
    for (int step = 0; step < 3000; ++step) {
      clock.Advance(milliseconds(10));
      auto& host = hosts[random() % kHosts];
      host.OnRequest(kService);
      requests.push_back(clock.now());
      while (host.Take(kService, kHosts)) retries.push_back(clock.now());
      const auto oldest = clock.now() - limits.window;
      while (!requests.empty() && requests.front() < oldest) {
        requests.pop_front();
      }
      while (!retries.empty() && retries.front() < oldest) retries.pop_front();
      ASSERT_LE(retries.size(), limits.ratio * requests.size() + limits.slack)
          << "seed " << seed << ", step " << step;
    }
    EXPECT_FALSE(retries.empty());
  }
}

TEST(service_retry_budget, ServicesAreSeparate) {
  manual_clock clock;
  service_retry_budget budget(clock, {0, 5, std::chrono::seconds(10)});
  int taken = 0;
  while (budget.Take(kService, 1)) ++taken;
  EXPECT_EQ(taken, 4);
  EXPECT_TRUE(budget.Take(service_id("other"), 1));
}

}  // namespace
}  // namespace bluebell::serving
