#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/clock.h"
#include "gateway/endpoint_connection.h"
#include "gateway/filter.h"
#include "gateway/gateway_metrics.h"

namespace bluebell::gateway {

/// Bounds on the waits for an endpoint.
struct dispatch_limits {
  std::chrono::milliseconds connect_time{1'000};
  std::chrono::milliseconds send_time{5'000};
  /// Wait for the head of an answer, which includes the endpoint's own queue.
  std::chrono::milliseconds head_time{30'000};
  /// Longest silence of a stream before it counts as broken.
  std::chrono::milliseconds stream_silence{10'000};
  /// Time for a whole answer: a fixed part and a part per requested token.
  std::chrono::milliseconds answer_time{30'000};
  std::chrono::milliseconds answer_time_per_token{72};
  std::size_t answer_bytes = 16 * 1024 * 1024;
};

/// Sends the request to the assigned endpoint and takes its answer: a whole
/// one into the exchange, a stream directly to the caller.
class dispatch_filter final : public filter {
 public:
  dispatch_filter(boost::asio::io_context& context, const clock& time,
                  gateway_metrics& metrics, dispatch_limits limits)
      : context_(context), time_(time), metrics_(metrics), limits_(limits) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  using connection = std::shared_ptr<endpoint_connection>;

  void TakeAnswer(exchange& current, const connection& opened,
                  const std::string& attempt_id,
                  boost::asio::yield_context yield);
  void TakeWhole(exchange& current, const connection& opened, http_answer head,
                 boost::asio::yield_context yield);
  void TakeStream(exchange& current, const connection& opened,
                  const http_answer& head, boost::asio::yield_context yield);
  bool RelayEvent(exchange& current, const std::string& data,
                  boost::asio::yield_context yield);
  void FinishStream(exchange& current, boost::asio::yield_context yield);
  void NoteToken(exchange& current);

  boost::asio::io_context& context_;
  const clock& time_;
  gateway_metrics& metrics_;
  dispatch_limits limits_;
};

}  // namespace bluebell::gateway
