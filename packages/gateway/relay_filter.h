#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/filter.h"
#include "gateway/gateway_metrics.h"

namespace bluebell::gateway {

/// Outermost filter: sends the response or problem and records the outcome.
class relay_filter final : public filter {
 public:
  relay_filter(const clock& time, event_log& events, gateway_metrics& metrics)
      : time_(time), events_(events), metrics_(metrics) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  void SendResponse(exchange& current, boost::asio::yield_context yield);
  void AbortStream(exchange& current, boost::asio::yield_context yield);
  void Record(const exchange& current);

  const clock& time_;
  event_log& events_;
  gateway_metrics& metrics_;
};

/// Returns a response with a problem document.
http_response ToResponse(const problem& reason, const request_id& id);

}  // namespace bluebell::gateway
