#include "gateway/http_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "gateway/network.h"
#include "test_answers.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Guards against a drain that never ends: a caller keeps a connection open
// without another request.
TEST(http_server, StopAcceptingClosesIdleConnections) {
  asio::io_context io;
  auto server =
      http_server::Listen(io, "127.0.0.1:0", {}, AnswerOk, AnswerProblem);
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

// Guards against large requests that a busy process reads too slowly, because
// other work of the event loop comes between many small reads.
TEST(http_server, LargeBodyIsReadByABusyProcess) {
  asio::io_context io;
  std::size_t received = 0;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", {},
      [&](const auto& request, auto& sink, auto yield) {
        received = request.body.size();
        AnswerOk(request, sink, yield);
      },
      AnswerProblem);
  ASSERT_TRUE(server);
  constexpr std::size_t kBytes = 1'000'000;
  const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                              std::to_string(kBytes) + "\r\n\r\n" +
                              std::string(kBytes, 'x');
  asio::ip::tcp::socket caller(io);
  caller.connect({asio::ip::address_v4::loopback(), (*server)->port()});
  asio::async_write(caller, asio::buffer(request), [](auto, auto) {});
  int rounds = 0;
  std::function<void()> work = [&] {
    if (received > 0 || ++rounds == 10'000) return;
    asio::post(io, work);
  };
  asio::post(io, work);
  io.run_for(milliseconds(500));
  EXPECT_EQ(received, kBytes);
  // One for each 512 bytes would be 2,000.
  EXPECT_LT(rounds, 400);
  caller.close();
  server->reset();
  io.restart();
  io.run_for(milliseconds(200));
}

// Guards against an exception in one request that ends the process.
TEST(http_server, ExceptionEndsItsRequestOnly) {
  asio::io_context io;
  int handled = 0;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", {},
      [&](const auto&, auto&, auto) {
        ++handled;
        throw std::runtime_error("fault");
      },
      [](auto code, const auto&) {
        http_response answer;
        answer.status = Describe(code).http_status;
        return answer;
      });
  ASSERT_TRUE(server);
  for (int i = 0; i < 2; ++i) {
    asio::ip::tcp::socket caller(io);
    caller.connect({asio::ip::address_v4::loopback(), (*server)->port()});
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                                 "Host: h\r\n\r\n")));
    io.restart();
    io.run_for(milliseconds(100));
    std::string head(12, ' ');
    boost::system::error_code ec;
    asio::read(caller, asio::buffer(head), ec);
    EXPECT_EQ(head, "HTTP/1.1 500");
    EXPECT_EQ((*server)->open_requests(), 0U);
  }
  EXPECT_EQ(handled, 2);
  server->reset();
  io.restart();
  io.run_for(milliseconds(200));
}

// Answers with a body of `bytes` for the path /large, else without a body.
http_server::handler LargeAnswers(std::size_t bytes) {
  return [bytes](const auto& request, auto& sink, auto yield) {
    http_response answer;
    answer.status = 200;
    if (request.path == "/large") answer.body.assign(bytes, 'x');
    sink.SendResponse(answer, yield);
  };
}

std::string RequestFor(const std::string& path, const std::string& extra = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + extra + "\r\n";
}

// Guards against a process that blocks in one write: a caller sends its next
// request early, while it reads the present answer slowly.
TEST(http_server, EarlyRequestOfASlowReaderDoesNotBlockOthers) {
  constexpr std::size_t kBytes = 32 * 1024 * 1024;
  constexpr std::size_t kFirstPart = kBytes / 4;
  asio::io_context io;
  auto server =
      http_server::Listen(io, "127.0.0.1:0", {}, LargeAnswers(kBytes),
                          [](auto, const auto&) { return http_response(); });
  ASSERT_TRUE(server);
  const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(),
                                        (*server)->port());
  std::atomic<bool> early_sent = false;
  std::atomic<bool> other_served = false;
  std::atomic<bool> slow_ended = false;
  bool other_waited = true;
  boost::system::error_code slow_failed;
  std::thread slow([&] {
    asio::io_context own;
    asio::ip::tcp::socket caller(own);
    caller.connect(address);
    asio::write(caller, asio::buffer(RequestFor("/large")));
    std::this_thread::sleep_for(milliseconds(300));
    asio::write(caller, asio::buffer(RequestFor("/small")));
    std::this_thread::sleep_for(milliseconds(100));
    std::string part(kFirstPart, ' ');
    asio::read(caller, asio::buffer(part), slow_failed);
    early_sent = true;
    for (int i = 0; i < 300 && !other_served; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    other_waited = !other_served;
    for (int i = 1; i < 4 && !slow_failed; ++i) {
      asio::read(caller, asio::buffer(part), slow_failed);
    }
    slow_ended = true;
  });
  SpawnTask(io, [&](asio::yield_context yield) {
    boost::system::error_code ec;
    asio::steady_timer timer(io);
    while (!early_sent) {
      timer.expires_after(milliseconds(10));
      timer.async_wait(yield[ec]);
    }
    asio::ip::tcp::socket caller(io);
    caller.async_connect(address, yield[ec]);
    asio::async_write(caller, asio::buffer(RequestFor("/small")), yield[ec]);
    std::string head(12, ' ');
    asio::async_read(caller, asio::buffer(head), yield[ec]);
    other_served = !ec;
  });
  for (int i = 0; i < 1000 && !slow_ended; ++i) {
    io.restart();
    io.run_for(milliseconds(10));
  }
  slow.join();
  EXPECT_FALSE(other_waited);
  EXPECT_FALSE(slow_failed) << slow_failed.message();
  server->reset();
  io.restart();
  io.run_for(milliseconds(200));
}

// Guards against the loss of the end of an answer: a close while bytes of the
// caller are unread resets the connection.
struct early_request {
  /// Header fields of the request with a large answer.
  std::string fields;
  /// Time after which the caller sends its next request.
  milliseconds delay;
};

class sending_caller : public testing::TestWithParam<early_request> {};

TEST_P(sending_caller, ReceivesItsLastAnswerWhole) {
  constexpr std::size_t kBytes = 1024 * 1024;
  asio::io_context io;
  http_limits limits;
  limits.idle_timeout = milliseconds(200);
  auto server =
      http_server::Listen(io, "127.0.0.1:0", limits, LargeAnswers(kBytes),
                          [](auto, const auto&) { return http_response(); });
  ASSERT_TRUE(server);
  std::string received;
  SpawnTask(io, [&](asio::yield_context yield) {
    boost::system::error_code ec;
    asio::ip::tcp::socket caller(io);
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    caller.connect({asio::ip::address_v4::loopback(), (*server)->port()});
    asio::steady_timer timer(io);
    const auto request = RequestFor("/large", GetParam().fields);
    asio::async_write(caller, asio::buffer(request), yield[ec]);
    timer.expires_after(GetParam().delay);
    timer.async_wait(yield[ec]);
    asio::async_write(caller, asio::buffer(RequestFor("/small")), yield[ec]);
    timer.expires_after(milliseconds(100));
    timer.async_wait(yield[ec]);
    asio::async_read(caller, asio::dynamic_buffer(received), yield[ec]);
  });
  for (int i = 0; i < 500 && received.size() <= kBytes; ++i) {
    io.restart();
    io.run_for(milliseconds(10));
  }
  EXPECT_GT(received.size(), kBytes);
  server->reset();
  io.restart();
  io.run_for(milliseconds(1500));
}

INSTANTIATE_TEST_SUITE_P(
    http_server, sending_caller,
    testing::Values(early_request{"Connection: close\r\n", milliseconds(100)},
                    early_request{"Connection: close\r\n", milliseconds(1500)},
                    early_request{"", milliseconds(600)}));

/// A server whose requests are answered after 100 ms.
class bounded_server : public testing::Test {
 protected:
  void Listen(const http_limits& limits) {
    auto listening = http_server::Listen(
        io_, "127.0.0.1:0", limits,
        [this](const auto&, auto& sink, auto yield) {
          asio::steady_timer timer(io_, milliseconds(100));
          boost::system::error_code ignored;
          timer.async_wait(yield[ignored]);
          Answer(200, sink, yield);
        },
        AnswerProblem);
    ASSERT_TRUE(listening);
    server_ = std::move(*listening);
  }
  ~bounded_server() override {
    server_.reset();
    io_.restart();
    io_.run_for(milliseconds(200));
  }
  static void Answer(int status, response_writer& sink,
                     asio::yield_context yield) {
    http_response answer;
    answer.status = status;
    sink.SendResponse(answer, yield);
  }
  /// Writes `head`, then parts of `part` until the server closes or 64 MB are
  /// written; returns the bytes written.
  std::size_t WriteEndlessly(const std::string& head, const std::string& part) {
    constexpr std::size_t kEnd = 64 * 1024 * 1024;
    std::size_t written = 0;
    bool ended = false;
    SpawnTask(io_, [&](asio::yield_context yield) {
      boost::system::error_code ec;
      asio::ip::tcp::socket caller(io_);
      caller.connect({asio::ip::address_v4::loopback(), server_->port()}, ec);
      asio::async_write(caller, asio::buffer(head), yield[ec]);
      while (!ec && written < kEnd) {
        written += asio::async_write(caller, asio::buffer(part), yield[ec]);
      }
      ended = true;
    });
    for (int i = 0; i < 500 && !ended; ++i) {
      io_.restart();
      io_.run_for(milliseconds(10));
    }
    EXPECT_TRUE(ended);
    return written;
  }

  asio::io_context io_;
  std::unique_ptr<http_server> server_;
};

const char kChunkedHead[] =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
// Covers what is discarded after an error, and the sockets' buffers.
constexpr std::size_t kEnough = 24 * 1024 * 1024;

// Guards against a request without end that ends the process for want of
// memory, in each part of a request that a parser keeps until it is whole.
TEST_F(bounded_server, ChunkExtensionWithoutEndIsCut) {
  Listen({});
  EXPECT_LT(WriteEndlessly(std::string(kChunkedHead) + "4;x=",
                           std::string(65536, 'x')),
            kEnough);
}

TEST_F(bounded_server, TrailerWithoutEndIsCut) {
  Listen({});
  EXPECT_LT(WriteEndlessly(std::string(kChunkedHead) + "0\r\nX: ",
                           std::string(65536, 'x')),
            kEnough);
}

TEST_F(bounded_server, HeadWithoutEndIsCut) {
  Listen({});
  EXPECT_LT(WriteEndlessly("GET / HTTP/1.1\r\nX: ", std::string(65536, 'x')),
            kEnough);
}

TEST_F(bounded_server, BodyWithoutEndIsCut) {
  Listen({});
  EXPECT_LT(WriteEndlessly(kChunkedHead,
                           "10000\r\n" + std::string(65536, 'x') + "\r\n"),
            kEnough);
}

// Guards against requests that together take the memory of the process; what
// cannot be held is refused, and served later.
TEST_F(bounded_server, BodiesOfAllConnectionsShareABudget) {
  http_limits limits;
  limits.memory = std::make_shared<byte_budget>(300 * 1024);
  Listen(limits);
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
      std::string(200000, 'x');
  const auto ask = [&](int count) {
    std::vector<std::string> heads(count);
    for (auto& head : heads) {
      SpawnTask(io_, [&](asio::yield_context yield) {
        boost::system::error_code ec;
        asio::ip::tcp::socket caller(io_);
        caller.connect({asio::ip::address_v4::loopback(), server_->port()}, ec);
        asio::async_write(caller, asio::buffer(request), yield[ec]);
        head.resize(12);
        asio::async_read(caller, asio::buffer(head), yield[ec]);
      });
    }
    io_.restart();
    io_.run_for(milliseconds(1500));
    std::sort(heads.begin(), heads.end());
    return heads;
  };
  EXPECT_EQ(ask(2), (std::vector<std::string>{"HTTP/1.1 200", "HTTP/1.1 503"}));
  EXPECT_EQ(ask(1), (std::vector<std::string>{"HTTP/1.1 200"}));
}

}  // namespace
}  // namespace bluebell::gateway
