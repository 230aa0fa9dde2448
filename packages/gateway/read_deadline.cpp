#include "gateway/read_deadline.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using io_error = boost::system::error_code;

constexpr std::chrono::milliseconds kRepeat{10};

}  // namespace

struct read_deadline::state {
  explicit state(tcp::socket& read)
      : socket(read), timer(read.get_executor()) {}

  tcp::socket& socket;
  asio::steady_timer timer;
  bool expired = false;
  bool disarmed = false;
};

read_deadline::read_deadline(tcp::socket& socket,
                             std::chrono::milliseconds limit)
    : state_(std::make_shared<state>(socket)) {
  Arm(state_, limit);
}

read_deadline::~read_deadline() {
  state_->disarmed = true;
  state_->timer.cancel();
}

bool read_deadline::expired() const { return state_->expired; }

io_error read_deadline::Translate(const io_error& ec) const {
  const bool timed_out = ec == asio::error::operation_aborted && expired();
  return timed_out ? io_error(boost::beast::error::timeout) : ec;
}

// Cancels repeatedly: an operation of several reads has none pending while the
// handler of one of them is queued.
void read_deadline::Arm(const std::shared_ptr<state>& armed,
                        std::chrono::milliseconds wait) {
  armed->timer.expires_after(wait);
  armed->timer.async_wait([armed](const io_error& ec) {
    if (ec || armed->disarmed) return;
    armed->expired = true;
    io_error ignored;
    armed->socket.cancel(ignored);
    Arm(armed, kRepeat);
  });
}

}  // namespace bluebell::gateway
