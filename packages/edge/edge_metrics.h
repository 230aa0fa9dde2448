#pragma once

#include <memory>
#include <string>

#include "base/clock.h"

namespace bluebell::edge {

/// Counters, gauges and latency histograms of an entry host, in the Prometheus
/// text format.
class edge_metrics {
 public:
  edge_metrics();
  ~edge_metrics();

  /// Counts a completed request by route kind and outcome.
  void RecordEnd(const std::string& kind, const std::string& outcome,
                 clock::duration total);
  void RecordFirstAnswer(const std::string& kind, clock::duration elapsed);
  /// Increments the event counter `name`.
  void Count(const std::string& name, double amount = 1);
  void SetGauge(const std::string& name, double value);

  /// All metrics in the text exposition format.
  std::string Serialize() const;

 private:
  struct registry;
  std::unique_ptr<registry> registry_;
};

}  // namespace bluebell::edge
