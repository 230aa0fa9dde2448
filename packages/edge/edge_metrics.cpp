#include "edge/edge_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bluebell::edge {
namespace {

// Bucket upper bounds in seconds; latency objectives lie between 0.1 and 4 s.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 12};

double Seconds(clock::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

struct edge_metrics::registry {
  prometheus::Registry all;
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("bluebell_edge_requests_total")
          .Help("Ended requests by route kind and outcome")
          .Register(all);
  prometheus::Family<prometheus::Histogram>& first_answer =
      prometheus::BuildHistogram()
          .Name("bluebell_edge_first_answer_seconds")
          .Help("Time from a request to its answer or first event")
          .Register(all);
  prometheus::Family<prometheus::Histogram>& total =
      prometheus::BuildHistogram()
          .Name("bluebell_edge_request_seconds")
          .Help("Time from a request to its end")
          .Register(all);
  prometheus::Family<prometheus::Counter>& counts =
      prometheus::BuildCounter()
          .Name("bluebell_edge_events_total")
          .Help("Other events by name")
          .Register(all);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("bluebell_edge_state")
          .Help("State of the entry host by name")
          .Register(all);
};

edge_metrics::edge_metrics() : registry_(std::make_unique<registry>()) {}
edge_metrics::~edge_metrics() = default;

void edge_metrics::RecordEnd(const std::string& kind,
                             const std::string& outcome,
                             clock::duration total) {
  registry_->requests.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
  registry_->total.Add({{"kind", kind}}, kLatencyBounds)
      .Observe(Seconds(total));
}

void edge_metrics::RecordFirstAnswer(const std::string& kind,
                                     clock::duration elapsed) {
  registry_->first_answer.Add({{"kind", kind}}, kLatencyBounds)
      .Observe(Seconds(elapsed));
}

void edge_metrics::Count(const std::string& name, double amount) {
  registry_->counts.Add({{"name", name}}).Increment(amount);
}

void edge_metrics::SetGauge(const std::string& name, double value) {
  registry_->gauges.Add({{"name", name}}).Set(value);
}

std::string edge_metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->all.Collect());
}

}  // namespace bluebell::edge
