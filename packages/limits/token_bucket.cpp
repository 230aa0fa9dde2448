#include "limits/token_bucket.h"

#include <algorithm>
#include <iterator>

namespace bluebell::limits {
namespace {

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

double token_bucket::step::Apply(double level) const {
  return std::min(level + gain, limit);
}

void token_bucket::step::Prepend(const step& earlier) {
  limit = std::min(earlier.limit + gain, limit);
  gain += earlier.gain;
}

void token_bucket::Configure(clock::time_point now, double rate, double burst) {
  Append(now, 0, false);
  rate_ = rate;
  burst_ = burst;
  // A second step of zero length limits the level to the new burst.
  Append(now, 0, false);
}

double token_bucket::Available(clock::time_point now) const {
  return Level(now) - set_aside_;
}

token_bucket::charge_id token_bucket::Charge(clock::time_point now,
                                             double tokens) {
  Append(now, tokens, true);
  return last_id_;
}

void token_bucket::Refund(charge_id id, double unused) {
  const auto found = steps_.find(id);
  if (found == steps_.end() || !found->second.open) return;
  step& charged = found->second;
  const double refund = std::clamp(unused, 0.0, charged.tokens);
  charged.gain += refund;
  charged.limit += refund;
  charged.open = false;
  Merge(found);
  level_ = base_level_;
  for (const auto& [each, effect] : steps_) level_ = effect.Apply(level_);
  Compact();
}

double token_bucket::Level(clock::time_point now) const {
  return std::min(level_ + rate_ * Seconds(now - last_), burst_);
}

void token_bucket::Append(clock::time_point now, double tokens, bool open) {
  const double refill = rate_ * Seconds(now - last_);
  const step added{refill - tokens, burst_ - tokens, tokens, open};
  level_ = added.Apply(level_);
  last_ = now;
  const auto position = steps_.emplace_hint(steps_.end(), ++last_id_, added);
  if (!open) Merge(position);
  Compact();
}

// Merges a closed step with adjacent closed steps.
void token_bucket::Merge(std::map<charge_id, step>::iterator closed) {
  const auto next = std::next(closed);
  if (next != steps_.end() && !next->second.open) {
    next->second.Prepend(closed->second);
    steps_.erase(closed);
    closed = next;
  }
  if (closed == steps_.begin()) return;
  const auto previous = std::prev(closed);
  if (previous->second.open) return;
  closed->second.Prepend(previous->second);
  steps_.erase(previous);
}

// Folds the steps before the oldest open charge into the base level.
void token_bucket::Compact() {
  while (!steps_.empty() &&
         (!steps_.begin()->second.open || steps_.size() > kMaxSteps)) {
    base_level_ = steps_.begin()->second.Apply(base_level_);
    steps_.erase(steps_.begin());
  }
}

}  // namespace bluebell::limits
