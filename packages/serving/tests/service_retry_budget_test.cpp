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

// Hosts that retry all they may while an engine fails every request.
class retry_storm {
 public:
  explicit retry_storm(std::uint64_t seed) : random_(seed) { Restart(); }

  /// All hosts start again and remember nothing.
  void Restart() {
    hosts_ = std::vector<service_retry_budget>(
        kHosts, service_retry_budget(clock_, kLimits));
  }
  void Step() {
    clock_.Advance(milliseconds(10));
    auto& host = hosts_[random_() % kHosts];
    host.OnRequest(kService);
    requests_.push_back(clock_.now());
    while (host.Take(kService, kHosts)) {
      retries_.push_back(clock_.now());
      ++retried;
    }
    const auto oldest = clock_.now() - kLimits.window;
    while (!requests_.empty() && requests_.front() < oldest) {
      requests_.pop_front();
    }
    while (!retries_.empty() && retries_.front() < oldest) retries_.pop_front();
  }
  /// Over all hosts, in the window that ends now.
  bool IsWithinLimit() const {
    return static_cast<double>(retries_.size()) <=
           kLimits.ratio * static_cast<double>(requests_.size()) +
               kLimits.slack;
  }

  int retried = 0;

 private:
  static constexpr int kHosts = 8;
  static constexpr retry_limits kLimits{0.2, 56, std::chrono::seconds(10)};

  manual_clock clock_;
  std::mt19937_64 random_;
  std::vector<service_retry_budget> hosts_;
  std::deque<clock::time_point> requests_;
  std::deque<clock::time_point> retries_;
};

// Guards against a retry storm while an engine fails every request: over all
// hosts, retries stay within the limit in every sliding window.
TEST(service_retry_budget, FleetStaysWithinLimitInEveryWindow) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    retry_storm storm(seed);
    for (int step = 0; step < 3000; ++step) {
      storm.Step();
      ASSERT_TRUE(storm.IsWithinLimit())
          << "seed " << seed << ", step " << step;
    }
    EXPECT_GT(storm.retried, 0);
  }
}

// Guards against hosts that are killed again and again and use their share of
// the slack after each start.
TEST(service_retry_budget, FleetStaysWithinLimitOverRestarts) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    retry_storm storm(seed);
    for (int step = 0; step < 3000; ++step) {
      const bool kills = step > 1500 && step % 300 == 0;
      if (kills) storm.Restart();
      storm.Step();
      ASSERT_TRUE(storm.IsWithinLimit())
          << "seed " << seed << ", step " << step;
    }
  }
}

TEST(service_retry_budget, ServicesAreSeparate) {
  manual_clock clock;
  service_retry_budget budget(clock, {0, 5, std::chrono::seconds(10)});
  clock.Advance(std::chrono::seconds(10));
  int taken = 0;
  while (budget.Take(kService, 1)) ++taken;
  EXPECT_EQ(taken, 4);
  EXPECT_TRUE(budget.Take(service_id("other"), 1));
}

}  // namespace
}  // namespace bluebell::serving
