#include "gateway/disconnect_detector.h"

#include <utility>

#include "gateway/socket_input.h"

namespace bluebell::gateway {

using boost::asio::ip::tcp;

void disconnect_detector::Start() {
  // The close may have arrived together with the request.
  Check();
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && !self->stopped_) self->Check();
      });
}

void disconnect_detector::Stop() {
  stopped_ = true;
  callback_ = nullptr;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void disconnect_detector::OnDisconnect(std::function<void()> callback) {
  callback_ = std::move(callback);
}

void disconnect_detector::MarkDisconnected() {
  if (disconnected_) return;
  disconnected_ = true;
  if (auto callback = std::move(callback_)) callback();
}

void disconnect_detector::Check() {
  if (!socket_.is_open() || Peek(socket_) == socket_input::kEnd) {
    MarkDisconnected();
  }
}

}  // namespace bluebell::gateway
