#include "serving/shared_quota.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Minimum weight of a host, relative to the account's rate, so that its first
// request is not refused.
constexpr double kMinWeight = 0.03;
// While the fill level is high, the shares add up to this many times the level:
// callers choose hosts at random, so one host may exhaust its share while
// others have tokens left. Overspending reduces the next shares, and at a low
// fill level the bucket is divided exactly.
constexpr double kOvercommit = 6;
constexpr double kHighFill = 0.4;
constexpr double kLowFill = 0.2;
// Unused fraction of the rate from which on shares are fully overcommitted.
constexpr double kUnusedRateFraction = 0.2;
// The stated bucket may owe this many seconds of its rate, the longest window;
// with less, it could admit again what the smooth one has admitted in it.
constexpr double kMaxDebtSeconds = 10;
// Fraction of the burst that a new host assumes to be left until a host that
// has run for longer reports the level. If all hosts restarted, none can; the
// limit per window allows for half a burst.
constexpr double kInitialFill = 0.5;
// A new host admits nothing until it had time to receive reports.
constexpr std::chrono::milliseconds kSettlingTime{500};
// Seconds of the rate that `SpreadBurst` leaves as the burst: hosts refill the
// bucket about once per report, and what exceeds the burst is lost.
constexpr double kKeptBurstSeconds = 1;
// Tokens that the hosts may admit without knowing of each other, in seconds of
// the account's rate: half of the tolerated excess, a tenth of 8 s.
constexpr double kMaxUnreportedSeconds = 0.4;
// Fraction of the burst that must be left for a request of more tokens.
constexpr double kLargeRequestFill = 0.25;
// Weight of the newest request in the average of its tokens.
constexpr double kTokensWeight = 0.1;
// Averaging time of the demand at this host.
constexpr double kDemandAverageSeconds = 1.0;

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

bucket_limit SpreadBurst(bucket_limit limit, clock::duration window) {
  const double seconds = Seconds(window);
  if (limit.tokens_per_s <= 0 || seconds <= 0) return limit;
  const double spread = std::max(
      0.0, (limit.burst_tokens - kKeptBurstSeconds * limit.tokens_per_s) /
               (1 + kKeptBurstSeconds / seconds));
  return {limit.tokens_per_s + spread / seconds, limit.burst_tokens - spread};
}

void shared_quota::SetLimit(const account_id& account,
                            const bucket_limit& limit, clock::duration window) {
  auto [entry, added] = buckets_.try_emplace(account);
  auto& bucket = entry->second;
  bucket.smooth.limit = SpreadBurst(limit, window);
  bucket.stated.limit = limit;
  if (added) {
    bucket.refilled = clock_.now();
    bucket.smooth.level = kInitialFill * bucket.smooth.limit.burst_tokens;
  }
  bucket.Add(0);
  bucket.own_share =
      std::min(bucket.own_share, std::max(0.0, bucket.Available()));
}

// A large request needs only a part of its tokens in the bucket; it would
// otherwise be refused more often than small ones while the level is low.
double shared_quota::MissingInBucket(const bucket& bucket, double tokens) {
  const auto missing_in = [tokens](const token_level& level) {
    const double burst = level.limit.burst_tokens;
    if (tokens > burst) return tokens;
    return std::min(tokens, kLargeRequestFill * burst) - level.level;
  };
  if (!bucket.undivided) return tokens;
  return std::min(missing_in(bucket.smooth), missing_in(bucket.stated));
}

bool shared_quota::Take(const account_id& account, double tokens) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end() || found->second.smooth.limit.tokens_per_s <= 0) {
    return true;
  }
  auto& bucket = found->second;
  bucket.requested_since_update += tokens;
  bucket.mean_tokens =
      bucket.mean_tokens <= 0
          ? tokens
          : bucket.mean_tokens + kTokensWeight * (tokens - bucket.mean_tokens);
  // Shares that exceed the level must not admit what this host alone has spent.
  const double share = std::min(bucket.own_share, bucket.Available());
  if (MissingInBucket(bucket, tokens) > 0 && share < tokens) {
    std::uniform_real_distribution<double> draw(0, tokens);
    if (draw(random_) >= share) return false;
  }
  bucket.own_share -= tokens;
  bucket.Debit(tokens);
  bucket.spent += tokens;
  return true;
}

std::string shared_quota::Describe(const account_id& account) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) return "no limit";
  const auto& bucket = found->second;
  return fmt::format(
      "rate {:.0f} burst {:.0f} level {:.0f} stated {:.0f} share {:.0f}",
      bucket.smooth.limit.tokens_per_s, bucket.smooth.limit.burst_tokens,
      bucket.smooth.level, bucket.stated.level, bucket.own_share);
}

double shared_quota::SecondsUntil(const account_id& account,
                                  double tokens) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end() || found->second.smooth.limit.tokens_per_s <= 0) {
    return 0;
  }
  const auto& bucket = found->second;
  const double missing =
      std::min(MissingInBucket(bucket, tokens),
               tokens - std::min(bucket.Available(), bucket.own_share));
  return std::max(0.0, missing / bucket.smooth.limit.tokens_per_s);
}

void shared_quota::OnReport(const host_id& sender,
                            const std::string& incarnation, clock::duration age,
                            const std::vector<quota_usage>& usages) {
  const bool older = age > Age();
  if (older) {
    for (const auto& usage : usages) {
      const auto bucket = buckets_.find(usage.account);
      if (bucket == buckets_.end() || bucket->second.level_adopted) continue;
      bucket->second.level_adopted = true;
      auto& smooth = bucket->second.smooth;
      smooth.level = std::min(smooth.level, usage.level);
      if (usage.stated_level) {
        bucket->second.stated.level = *usage.stated_level;
        bucket->second.stated.Add(0);
      }
    }
  }
  auto& peer = peers_[sender];
  if (peer.incarnation != incarnation) {
    // Tokens that an older host spent before this host started are not debited:
    // they are refilled already or were spent while this host's bucket was
    // empty.
    peer = {incarnation, {}, {}};
    for (const auto& usage : usages) {
      peer.usages[usage.account].spent = older ? usage.spent : 0;
    }
  }
  peer.heard = clock_.now();
  for (const auto& usage : usages) {
    auto& previous = peer.usages[usage.account];
    const auto bucket = buckets_.find(usage.account);
    if (bucket != buckets_.end()) {
      // Replaces the estimated spending by the reported one.
      const double spent = std::max(0.0, usage.spent - previous.spent);
      bucket->second.Add(previous.assumed - spent);
    }
    previous = {std::max(usage.spent, previous.spent), usage.demand_per_s, 0};
  }
}

void shared_quota::Rejoin() {
  peers_.clear();
  started_ = clock_.now();
  ++epoch_;
  for (auto& [account, bucket] : buckets_) {
    bucket.spent = 0;
    bucket.smooth.level = kInitialFill * bucket.smooth.limit.burst_tokens;
    bucket.stated.level = std::min(bucket.stated.level, 0.0);
    bucket.level_adopted = false;
  }
}

void shared_quota::UpdateShares() {
  const auto now = clock_.now();
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    entry = now - entry->second.heard > kForgetTimeout ? peers_.erase(entry)
                                                       : std::next(entry);
  }
  const double since_update = std::max(0.001, Seconds(now - shares_updated_));
  for (auto& [account, bucket] : buckets_) {
    const double rate = bucket.smooth.limit.tokens_per_s;
    if (rate <= 0) continue;
    const double sample_weight =
        std::min(1.0, since_update / kDemandAverageSeconds);
    bucket.demand_per_s +=
        sample_weight *
        (bucket.requested_since_update / since_update - bucket.demand_per_s);
    bucket.requested_since_update = 0;
    const double min_weight = kMinWeight * rate;
    const double own_weight = bucket.demand_per_s + min_weight;
    double total_weight = own_weight;
    double silent_weight = 0;
    double oldest_report_s = 0;
    double total_demand = bucket.demand_per_s;
    for (const auto& [id, peer] : peers_) {
      const auto usage = peer.usages.find(account);
      const double weight =
          min_weight +
          (usage == peer.usages.end() ? 0 : usage->second.demand_per_s);
      total_weight += weight;
      total_demand += weight - min_weight;
      if (now - peer.heard > kSilenceTimeout) silent_weight += weight;
      oldest_report_s = std::max(oldest_report_s, Seconds(now - peer.heard));
    }
    const double since_refill = Seconds(now - bucket.refilled);
    bucket.smooth.Add(rate * since_refill);
    bucket.stated.Add(bucket.stated.limit.tokens_per_s * since_refill);
    bucket.refilled = now;
    // Between reports another host is assumed to spend its last reported
    // demand, at most its share of the rate; a silent host its full share.
    for (auto& [id, peer] : peers_) {
      auto& usage = peer.usages[account];
      const double peer_share =
          rate * (min_weight + usage.demand_per_s) / total_weight;
      const bool is_silent = now - peer.heard > kSilenceTimeout;
      const double per_s =
          is_silent ? peer_share : std::min(peer_share, usage.demand_per_s);
      const double spent =
          per_s * Seconds(now - std::max(shares_updated_, peer.heard));
      usage.assumed += spent;
      bucket.Debit(spent);
    }
    bucket.stated.level =
        std::max(bucket.stated.level,
                 -kMaxDebtSeconds * bucket.stated.limit.tokens_per_s);
    const double available = bucket.Available();
    const double fill = std::clamp(
        (bucket.Fill() - kLowFill) / (kHighFill - kLowFill), 0.0, 1.0);
    const double unused =
        std::clamp((1 - total_demand / rate) / kUnusedRateFraction, 0.0, 1.0);
    // A share is used only if a request arrives before the next update, so the
    // shares of all hosts are spent in full only if they are larger by this.
    const double requests =
        bucket.mean_tokens <= 0
            ? 1
            : total_demand * since_update /
                  (bucket.mean_tokens * static_cast<double>(peers_.size() + 1));
    const double overcommit =
        std::max(1 + (kOvercommit - 1) * fill * unused,
                 std::min(kOvercommit, 1 / std::max(requests, 0.001)));
    // The others are assumed to spend up to the rate; only what is beyond it
    // goes unnoticed until their next reports.
    const double unreported =
        std::max(0.0, total_demand - rate) * (oldest_report_s + since_update);
    bucket.undivided =
        silent_weight == 0 && unreported <= kMaxUnreportedSeconds * rate;
    if (peers_.empty() && now - started_ < kSettlingTime) {
      bucket.undivided = false;
      continue;
    }
    bucket.own_share = std::max(0.0, overcommit * available * own_weight /
                                         (total_weight - silent_weight));
  }
  shares_updated_ = now;
}

std::vector<quota_usage> shared_quota::Usage() const {
  std::vector<quota_usage> usages;
  for (const auto& [account, bucket] : buckets_) {
    if (bucket.smooth.limit.tokens_per_s <= 0) continue;
    usages.push_back({account, bucket.spent, bucket.demand_per_s,
                      bucket.smooth.level, bucket.stated.level});
  }
  return usages;
}

}  // namespace bluebell::serving
