#include "serving/shared_quota.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Weight of a host that sees no demand, relative to the account's rate, so
// that its first request is not refused.
constexpr double kIdleWeight = 0.03;
// While the bucket is ample, parts add up to this many times its content:
// callers choose hosts at random, so one host's part may run out while others
// have plenty. What is spent too much is missing from the next division, and
// a sparse bucket is divided exactly.
constexpr double kOvercommit = 6;
constexpr double kAmpleFill = 0.4;
constexpr double kSparseFill = 0.2;
// Part of the rate that nobody asks for, from which on the bucket is ample.
constexpr double kUnaskedPart = 0.2;
// Part of the burst that a new host assumes to be left until a host that has
// run for longer tells. After the loss of all hosts none can tell; the bound
// on a window leaves room for half a burst.
constexpr double kStartLevel = 0.5;
// A new host spends nothing before it had time to hear of others.
constexpr std::chrono::milliseconds kSettling{500};
// Time over which the demand at this host is averaged.
constexpr double kDemandSeconds = 1.0;

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void shared_quota::SetLimit(const account_id& account, double tokens_per_s,
                            double burst_tokens) {
  auto [entry, added] = buckets_.try_emplace(account);
  auto& bucket = entry->second;
  bucket.rate = tokens_per_s;
  bucket.burst = burst_tokens;
  if (added) {
    bucket.refilled = clock_.now();
    bucket.level = kStartLevel * burst_tokens;
  }
  bucket.level = std::min(bucket.level, burst_tokens);
  bucket.own_part = std::min(bucket.own_part, std::max(0.0, bucket.level));
}

bool shared_quota::Take(const account_id& account, double tokens) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end() || found->second.rate <= 0) return true;
  auto& bucket = found->second;
  bucket.asked_since += tokens;
  if (bucket.own_part < tokens) {
    std::uniform_real_distribution<double> draw(0, tokens);
    if (draw(random_) >= bucket.own_part) return false;
  }
  bucket.own_part -= tokens;
  bucket.level -= tokens;
  bucket.spent += tokens;
  return true;
}

double shared_quota::SecondsUntil(const account_id& account,
                                  double tokens) const {
  const auto found = buckets_.find(account);
  if (found == buckets_.end() || found->second.rate <= 0) return 0;
  const auto& bucket = found->second;
  const double missing = tokens - std::min(bucket.level, bucket.own_part);
  return std::max(0.0, missing / bucket.rate);
}

void shared_quota::OnReport(const host_id& sender,
                            const std::string& incarnation,
                            clock::duration uptime,
                            const std::vector<quota_use>& uses) {
  const bool older = uptime > clock_.now() - started_;
  if (older) {
    for (const auto& use : uses) {
      const auto bucket = buckets_.find(use.account);
      if (bucket == buckets_.end() || bucket->second.adopted) continue;
      bucket->second.adopted = true;
      bucket->second.level = std::min(bucket->second.level, use.level);
    }
  }
  auto& peer = peers_[sender];
  if (peer.incarnation != incarnation) {
    // What an older host spent before this host started is already refilled
    // or belongs to a time in which this host's bucket was empty.
    peer = {incarnation, {}, {}};
    for (const auto& use : uses) {
      peer.uses[use.account].spent = older ? use.spent : 0;
    }
  }
  peer.heard = clock_.now();
  for (const auto& use : uses) {
    auto& known = peer.uses[use.account];
    const auto bucket = buckets_.find(use.account);
    if (bucket != buckets_.end()) {
      // What was assumed is replaced by what was spent.
      auto& level = bucket->second.level;
      level += known.assumed - std::max(0.0, use.spent - known.spent);
      level = std::min(level, bucket->second.burst);
    }
    known = {std::max(use.spent, known.spent), use.asked_per_s, 0};
  }
}

void shared_quota::Divide() {
  const auto now = clock_.now();
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    entry = now - entry->second.heard > kForgotten ? peers_.erase(entry)
                                                   : std::next(entry);
  }
  const double since_divided = std::max(0.001, Seconds(now - divided_));
  for (auto& [account, bucket] : buckets_) {
    if (bucket.rate <= 0) continue;
    const double share = std::min(1.0, since_divided / kDemandSeconds);
    bucket.asked_per_s +=
        share * (bucket.asked_since / since_divided - bucket.asked_per_s);
    bucket.asked_since = 0;
    const double idle = kIdleWeight * bucket.rate;
    const double own_weight = bucket.asked_per_s + idle;
    double all_weights = own_weight;
    double silent_weights = 0;
    double asked = bucket.asked_per_s;
    for (const auto& [id, peer] : peers_) {
      const auto use = peer.uses.find(account);
      const double weight =
          idle + (use == peer.uses.end() ? 0 : use->second.asked_per_s);
      all_weights += weight;
      asked += weight - idle;
      if (now - peer.heard > kSilent) silent_weights += weight;
    }
    bucket.level =
        std::min(bucket.burst,
                 bucket.level + bucket.rate * Seconds(now - bucket.refilled));
    bucket.refilled = now;
    // Until another host reports, it is assumed to spend what it was asked
    // for, at most its part of the rate; a silent one spends all its part.
    for (auto& [id, peer] : peers_) {
      auto& use = peer.uses[account];
      const double part = bucket.rate * (idle + use.asked_per_s) / all_weights;
      const bool is_silent = now - peer.heard > kSilent;
      const double per_s = is_silent ? part : std::min(part, use.asked_per_s);
      const double spent =
          per_s * Seconds(now - std::max(divided_, peer.heard));
      use.assumed += spent;
      bucket.level -= spent;
    }
    const double available = bucket.level;
    const double ample =
        bucket.burst > 0
            ? std::clamp((bucket.level / bucket.burst - kSparseFill) /
                             (kAmpleFill - kSparseFill),
                         0.0, 1.0)
            : 0;
    const double unasked =
        std::clamp((1 - asked / bucket.rate) / kUnaskedPart, 0.0, 1.0);
    const double overcommit = 1 + (kOvercommit - 1) * ample * unasked;
    if (peers_.empty() && now - started_ < kSettling) continue;
    bucket.own_part = std::max(0.0, overcommit * available * own_weight /
                                        (all_weights - silent_weights));
  }
  divided_ = now;
}

std::vector<quota_use> shared_quota::Uses() const {
  std::vector<quota_use> uses;
  for (const auto& [account, bucket] : buckets_) {
    if (bucket.rate <= 0) continue;
    uses.push_back({account, bucket.spent, bucket.asked_per_s, bucket.level});
  }
  return uses;
}

}  // namespace bluebell::serving
