#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::gateway {

/// Counters and histograms of an entry host in the Prometheus text format.
class gateway_metrics {
 public:
  gateway_metrics();
  ~gateway_metrics();

  /// Counts a finished request by client account and result: "ok" or the code
  /// of the problem document.
  void RecordRequest(const account_id& account, const std::string& outcome);
  void RecordFirstToken(clock::duration since_request);
  void RecordTokenGap(clock::duration gap);
  void RecordTokens(token_count generated);
  /// Sets a gauge of the process, such as "open_requests".
  void SetGauge(const std::string& name, double value);

  /// All metrics in the text exposition format.
  std::string Serialize() const;

 private:
  struct registry;
  std::unique_ptr<registry> registry_;
};

}  // namespace bluebell::gateway
