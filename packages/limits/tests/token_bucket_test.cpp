#include "limits/token_bucket.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "base/manual_clock.h"

namespace bluebell::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct charge {
  milliseconds at;
  double tokens;
  token_bucket::charge_id id = 0;
};

// Level of a bucket of rate 50 and burst 100 after these charges.
double LevelWithoutRefunds(const std::vector<charge>& charges,
                           milliseconds until) {
  double level = 0;
  milliseconds last{0};
  for (const charge& each : charges) {
    const double refill = 0.05 * static_cast<double>((each.at - last).count());
    level = std::min(level + refill, 100.0) - each.tokens;
    last = each.at;
  }
  return std::min(level + 0.05 * static_cast<double>((until - last).count()),
                  100.0);
}

// Guards against a refund of overlapping reservations that restores tokens
// which a full bucket would have dropped, or that loses other tokens.
TEST(token_bucket, RefundEqualsReservingTheActualUse) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    manual_clock time;
    token_bucket bucket(time.now());
    bucket.Configure(time.now(), 50, 100);
    std::vector<charge> charges;
    std::vector<std::size_t> open;
    milliseconds elapsed{0};
    for (int i = 0; i < 300; ++i) {
      const milliseconds step(random() % 700);
      time.Advance(step);
      elapsed += step;
      const double available = bucket.Available(time.now());
      if (random() % 2 == 0 && available >= 1) {
        const double tokens = 1 + static_cast<double>(random() % 40);
        if (tokens > available) continue;
        open.push_back(charges.size());
        charges.push_back({elapsed, tokens, bucket.Charge(time.now(), tokens)});
      } else if (!open.empty()) {
        const std::size_t at = random() % open.size();
        charge& ended = charges[open[at]];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
        const double unused =
            static_cast<double>(random() % 41) / 40 * ended.tokens;
        bucket.Refund(ended.id, unused);
        bucket.Refund(ended.id, unused);
        ended.tokens -= unused;
      }
      ASSERT_NEAR(bucket.Available(time.now()),
                  LevelWithoutRefunds(charges, elapsed), 1e-6)
          << "seed " << seed << " step " << i;
    }
  }
}

// Guards against refilling lent tokens while the borrower still holds them.
TEST(token_bucket, TokensSetAsideCountAgainstTheBurst) {
  manual_clock time;
  token_bucket bucket(time.now());
  bucket.Configure(time.now(), 50, 100);
  time.Advance(seconds(10));
  bucket.SetAside(80);
  time.Advance(seconds(10));
  EXPECT_DOUBLE_EQ(bucket.Available(time.now()), 20);
  bucket.Release(80);
  EXPECT_DOUBLE_EQ(bucket.Available(time.now()), 100);
}

TEST(token_bucket, LowerBurstAppliesImmediately) {
  manual_clock time;
  token_bucket bucket(time.now());
  bucket.Configure(time.now(), 50, 100);
  time.Advance(seconds(10));
  bucket.Configure(time.now(), 10, 20);
  EXPECT_DOUBLE_EQ(bucket.Available(time.now()), 20);
  bucket.Configure(time.now(), 10, 100);
  EXPECT_DOUBLE_EQ(bucket.Available(time.now()), 20);
  time.Advance(seconds(1));
  EXPECT_DOUBLE_EQ(bucket.Available(time.now()), 30);
}

}  // namespace
}  // namespace bluebell::limits
