#pragma once

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/filter.h"
#include "gateway/gateway_metrics.h"

namespace bluebell::gateway {

/// Outermost filter: tells the caller how the exchange ended, and records it.
class relay_filter final : public filter {
 public:
  relay_filter(const clock& time, event_log& events, gateway_metrics& metrics)
      : time_(time), events_(events), metrics_(metrics) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  void SendWhole(exchange& current, boost::asio::yield_context yield);
  void BreakStream(exchange& current, boost::asio::yield_context yield);
  void Record(const exchange& current);

  const clock& time_;
  event_log& events_;
  gateway_metrics& metrics_;
};

/// The answer that carries a problem document.
http_answer ToAnswer(const problem& what, const request_id& id);

}  // namespace bluebell::gateway
