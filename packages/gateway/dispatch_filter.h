#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/clock.h"
#include "gateway/endpoint_connection.h"
#include "gateway/filter.h"
#include "gateway/gateway_metrics.h"

namespace bluebell::gateway {

/// Timeouts and size limits for requests to an endpoint.
struct dispatch_limits {
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds send_timeout{5'000};
  /// Wait for the response head, including the time in the endpoint's queue.
  std::chrono::milliseconds head_timeout{30'000};
  /// Longest time without data before a stream counts as broken.
  std::chrono::milliseconds stream_idle_timeout{10'000};
  /// Time for a complete response: a fixed part plus a part per requested
  /// token.
  std::chrono::milliseconds response_timeout{30'000};
  std::chrono::milliseconds response_timeout_per_token{72};
  std::size_t max_response_bytes = 16 * 1024 * 1024;
};

/// Sends the request to the assigned endpoint and reads its response. A
/// complete response is stored in the exchange; a stream is relayed to the
/// caller as it arrives.
class dispatch_filter final : public filter {
 public:
  dispatch_filter(boost::asio::io_context& context, const clock& time,
                  gateway_metrics& metrics, dispatch_limits limits)
      : context_(context), time_(time), metrics_(metrics), limits_(limits) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  using connection = std::shared_ptr<endpoint_connection>;

  void ReadResponse(exchange& current, const connection& opened,
                    const std::string& attempt_id,
                    boost::asio::yield_context yield);
  void ReadFullResponse(exchange& current, const connection& opened,
                        http_response head, boost::asio::yield_context yield);
  void ReadStream(exchange& current, const connection& opened,
                  const http_response& head, boost::asio::yield_context yield);
  bool RelayEvent(exchange& current, const std::string& data,
                  boost::asio::yield_context yield);
  void FinishStream(exchange& current, boost::asio::yield_context yield);
  void RecordToken(exchange& current);

  boost::asio::io_context& context_;
  const clock& time_;
  gateway_metrics& metrics_;
  dispatch_limits limits_;
};

}  // namespace bluebell::gateway
