#include "gateway/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Guards against a drain that never ends: a caller keeps a connection open
// without another request.
TEST(http_server, StopAcceptingClosesIdleConnections) {
  asio::io_context io;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", {},
      [](const auto&, auto& sink, auto yield) {
        http_response answer;
        answer.status = 200;
        sink.SendResponse(answer, yield);
      },
      [](auto, const auto&) { return http_response(); });
  ASSERT_TRUE(server);
  asio::ip::tcp::socket caller(io);
  caller.connect({asio::ip::address_v4::loopback(), (*server)->port()});
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                               "Host: h\r\n\r\n")));
  io.run_for(milliseconds(200));
  ASSERT_EQ((*server)->open_connections(), 1U);
  (*server)->StopAccepting(milliseconds(100));
  io.restart();
  io.run_for(milliseconds(1000));
  EXPECT_EQ((*server)->open_connections(), 0U);
  caller.close();
  server->reset();
  io.restart();
  io.run_for(milliseconds(200));
}

// Guards against work for a caller that has left: a slow host reads a request
// when the close of its connection has arrived as well.
TEST(http_server, CallerThatLeftBeforeItsRequestWasReadIsNoticed) {
  asio::io_context io;
  int handled = 0;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", {},
      [&](const auto&, auto& sink, auto) {
        ++handled;
        EXPECT_TRUE(sink.caller_disconnected());
      },
      [](auto, const auto&) { return http_response(); });
  ASSERT_TRUE(server);
  asio::ip::tcp::socket caller(io);
  caller.connect({asio::ip::address_v4::loopback(), (*server)->port()});
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                               "Host: h\r\n\r\n")));
  caller.close();
  io.run_for(milliseconds(200));
  EXPECT_EQ(handled, 1);
  server->reset();
  io.restart();
  io.run_for(milliseconds(200));
}

}  // namespace
}  // namespace bluebell::gateway
