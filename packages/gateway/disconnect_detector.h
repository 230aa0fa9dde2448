#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace bluebell::gateway {

/// Detects that the caller disconnects while its request is processed. Only
/// peeks at the socket: bytes that arrive early belong to the next request.
class disconnect_detector
    : public std::enable_shared_from_this<disconnect_detector> {
 public:
  explicit disconnect_detector(boost::asio::ip::tcp::socket& socket)
      : socket_(socket) {}

  void Start();
  /// Ends the wait. The socket may have no other operation pending.
  void Stop();

  /// Replaces any previous callback.
  void OnDisconnect(std::function<void()> callback);
  bool disconnected() const { return disconnected_; }
  void MarkDisconnected();

 private:
  void Check();

  boost::asio::ip::tcp::socket& socket_;
  std::function<void()> callback_;
  bool stopped_ = false;
  bool disconnected_ = false;
};

/// Runs a detector for the life of the object, also after an exception.
class detection {
 public:
  explicit detection(disconnect_detector& detector) : detector_(detector) {
    detector_.Start();
  }
  ~detection() { detector_.Stop(); }
  detection(const detection&) = delete;
  detection& operator=(const detection&) = delete;

 private:
  disconnect_detector& detector_;
};

}  // namespace bluebell::gateway
