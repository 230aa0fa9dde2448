#include "gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bluebell::gateway {
namespace {

double ToSeconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

// Upper bounds in seconds; 1.2 s and 36 ms are the latency targets.
const prometheus::Histogram::BucketBoundaries kFirstTokenBounds = {
    0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5, 10, 20};
const prometheus::Histogram::BucketBoundaries kTokenGapBounds = {
    0.001, 0.002, 0.005, 0.01, 0.018, 0.036, 0.072, 0.15, 0.5, 1, 5};

}  // namespace

struct gateway_metrics::registry {
  prometheus::Registry all;
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("bluebell_requests_total")
          .Help("Ended requests by client account and result")
          .Register(all);
  prometheus::Counter& tokens = prometheus::BuildCounter()
                                    .Name("bluebell_generated_tokens_total")
                                    .Help("Generated tokens that were relayed")
                                    .Register(all)
                                    .Add({});
  prometheus::Histogram& first_token =
      prometheus::BuildHistogram()
          .Name("bluebell_first_token_seconds")
          .Help("Time from the request to its first token")
          .Register(all)
          .Add({}, kFirstTokenBounds);
  prometheus::Histogram& token_gap =
      prometheus::BuildHistogram()
          .Name("bluebell_token_gap_seconds")
          .Help("Time between two tokens of a stream")
          .Register(all)
          .Add({}, kTokenGapBounds);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("bluebell_state")
          .Help("State of the entry host by name")
          .Register(all);
};

gateway_metrics::gateway_metrics() : registry_(std::make_unique<registry>()) {}
gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::RecordRequest(const account_id& account,
                                    const std::string& outcome) {
  registry_->requests.Add({{"account", account.value()}, {"result", outcome}})
      .Increment();
}

void gateway_metrics::RecordFirstToken(clock::duration since_request) {
  registry_->first_token.Observe(ToSeconds(since_request));
}

void gateway_metrics::RecordTokenGap(clock::duration gap) {
  registry_->token_gap.Observe(ToSeconds(gap));
}

void gateway_metrics::RecordTokens(token_count generated) {
  registry_->tokens.Increment(static_cast<double>(generated.value()));
}

void gateway_metrics::SetGauge(const std::string& name, double value) {
  registry_->gauges.Add({{"name", name}}).Set(value);
}

std::string gateway_metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->all.Collect());
}

}  // namespace bluebell::gateway
