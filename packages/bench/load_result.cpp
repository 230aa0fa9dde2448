#include "bench/load_result.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace bluebell::bench {
namespace {

namespace acc = boost::accumulators;

// Quantile of the samples in milliseconds; 0 without samples.
double QuantileMs(const std::vector<double>& samples, double probability) {
  if (samples.empty()) return 0;
  acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>>
      tail(acc::right_tail_cache_size = samples.size());
  for (const double sample : samples) tail(sample);
  return 1000 * acc::quantile(tail, acc::quantile_probability = probability);
}

}  // namespace

void reference_bucket::Advance(double now_s) {
  level_ = std::min(burst_, level_ + rate_ * (now_s - last_s_));
  last_s_ = now_s;
}

bool reference_bucket::WouldAdmit(double now_s, double tokens) {
  Advance(now_s);
  return level_ >= tokens;
}

void reference_bucket::Charge(double now_s, double tokens) {
  Advance(now_s);
  level_ -= tokens;
}

void account_result::Add(const request_outcome& outcome) {
  ++sent;
  if (outcome.admissible) ++admissible;
  tokens += static_cast<std::uint64_t>(outcome.tokens);
  if (outcome.complete) {
    ++completed;
    first_token_s.push_back(outcome.first_token_s);
    token_gap_s.push_back(outcome.token_gap_s);
    const bool attained_now = outcome.first_token_s <= kFirstTokenTargetS &&
                              outcome.token_gap_s <= kTokenGapTargetS;
    if (attained_now) ++attained;
    return;
  }
  ++codes[outcome.code.empty() ? "transport" : outcome.code];
  if (outcome.code == "rate_exceeded") {
    ++refused_rate;
    if (outcome.admissible) ++refused_wrongfully;
  } else {
    ++failed;
  }
}

nlohmann::json account_result::ToJson() const {
  return {{"sent", sent},
          {"completed", completed},
          {"attained", attained},
          {"refused_rate", refused_rate},
          {"refused_wrongfully", refused_wrongfully},
          {"admissible", admissible},
          {"failed", failed},
          {"tokens", tokens},
          {"first_token_ms",
           {{"p50", QuantileMs(first_token_s, 0.5)},
            {"p95", QuantileMs(first_token_s, 0.95)},
            {"p99", QuantileMs(first_token_s, 0.99)}}},
          {"token_gap_ms",
           {{"p50", QuantileMs(token_gap_s, 0.5)},
            {"p95", QuantileMs(token_gap_s, 0.95)}}},
          {"codes", codes}};
}

}  // namespace bluebell::bench
