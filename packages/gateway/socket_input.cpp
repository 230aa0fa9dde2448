#include "gateway/socket_input.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace bluebell::gateway {

using boost::asio::ip::tcp;

socket_input Peek(tcp::socket& socket) {
  char byte = 0;
  const auto count =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return socket_input::kBytes;
  const bool waits = count < 0 && (errno == EAGAIN || errno == EINTR);
  return waits ? socket_input::kNothing : socket_input::kEnd;
}

bool HasUnsentBytes(tcp::socket& socket) {
  int count = 0;
  return ioctl(socket.native_handle(), TIOCOUTQ, &count) == 0 && count > 0;
}

}  // namespace bluebell::gateway
