#pragma once

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/connection_status.h"
#include "gateway/disconnect_detector.h"
#include "gateway/http_limits.h"
#include "gateway/response_writer.h"

namespace bluebell::gateway {

/// Writes one response to the caller's connection.
class connection_writer final : public response_writer {
 public:
  connection_writer(boost::beast::tcp_stream& stream, const http_limits& limits,
                    std::shared_ptr<disconnect_detector> detector,
                    connection_position position, bool keep_alive)
      : stream_(stream),
        limits_(limits),
        detector_(std::move(detector)),
        position_(position),
        keep_alive_(keep_alive) {}

  void SendResponse(const http_response& response,
                    boost::asio::yield_context yield) override;
  void StartStream(const http_response& head,
                   boost::asio::yield_context yield) override;
  void SendChunk(std::string_view chunk,
                 boost::asio::yield_context yield) override;
  void FinishStream(boost::asio::yield_context yield) override;
  void AbortStream() override;

  response_progress progress() const override;
  connection_position position() const override { return position_; }
  bool started() const override { return started_; }
  bool caller_disconnected() const override {
    return detector_->disconnected();
  }
  void OnCallerDisconnect(std::function<void()> callback) override {
    detector_->OnDisconnect(std::move(callback));
  }

  /// Whether the connection may carry another request.
  bool reusable() const { return finished_ && keep_alive_; }
  /// Why the connection ends after this response, if not `reusable`.
  connection_cause cause() const;
  /// The error of a write that failed.
  const std::string& detail() const { return detail_; }

 private:
  void CheckWrite(const boost::system::error_code& ec);

  boost::beast::tcp_stream& stream_;
  const http_limits& limits_;
  std::shared_ptr<disconnect_detector> detector_;
  connection_position position_;
  bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
  connection_cause cause_ = connection_cause::kNone;
  std::string detail_;
};

}  // namespace bluebell::gateway
