#include "gateway/endpoint_connection.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/network.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Reads the head of one response from an endpoint that sends raw bytes.
class head_reader : public testing::Test {
 protected:
  using script = std::function<void(tcp::socket&, asio::yield_context)>;

  result<http_response> ReadHead(script run, milliseconds timeout) {
    SpawnTask(io_, [this, run = std::move(run)](auto yield) {
      boost::system::error_code ec;
      tcp::socket socket(io_);
      acceptor_.async_accept(socket, yield[ec]);
      std::string request;
      asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                             yield[ec]);
      run(socket, yield);
      // Ends when the reader closes the connection.
      char byte = 0;
      socket.async_read_some(asio::buffer(&byte, 1), yield[ec]);
    });
    std::optional<result<http_response>> head;
    SpawnTask(io_, [&](auto yield) {
      auto opened = endpoint_connection::Connect(
          io_, "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()),
          milliseconds(2000), yield);
      ASSERT_TRUE(opened);
      ASSERT_TRUE((*opened)->Send({"GET", "/", "", {}, "", ""},
                                  milliseconds(2000), yield, true));
      head = (*opened)->ReadHead(timeout, yield);
      reusable_ = (*opened)->reusable();
      cut_off_ = (*opened)->cut_off();
    });
    io_.restart();
    io_.run_for(std::chrono::seconds(10));
    return std::move(head).value();
  }
  result<http_response> ReadHead(const std::string& bytes) {
    return ReadHead(
        [bytes](tcp::socket& socket, asio::yield_context yield) {
          boost::system::error_code ignored;
          asio::async_write(socket, asio::buffer(bytes), yield[ignored]);
        },
        milliseconds(2000));
  }

  asio::io_context io_;
  tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  bool reusable_ = false;
  std::optional<excess> cut_off_;
};

std::string Response(int status) {
  return fmt::format("HTTP/1.1 {:03} X\r\nContent-Length: 0\r\n\r\n", status);
}

// Guards against a status of three digits that does not exist and counts as an
// answer, and against one that exists and does not.
TEST_F(head_reader, OnlyStatusesOfFinalResponsesAreAnswers) {
  for (int status = 0; status <= 999; ++status) {
    const bool is_final = status >= 200 && status <= 599;
    const bool is_interim = status >= 100 && status <= 199 && status != 101;
    const auto head = ReadHead(Response(status) + Response(204));
    if (is_final || is_interim) {
      ASSERT_TRUE(head) << status;
      EXPECT_EQ(head->status, is_final ? status : 204);
      EXPECT_EQ(reusable_, is_interim) << "bytes follow " << status;
    } else {
      ASSERT_FALSE(head) << status;
      EXPECT_EQ(head.error().code, error_code::kOutcomeUnknown);
      EXPECT_FALSE(reusable_) << status;
      EXPECT_FALSE(cut_off_) << status;
    }
  }
}

// Guards against interim responses that never end, and against a few that count
// as too many.
TEST_F(head_reader, InterimResponsesAreCounted) {
  std::string interim;
  for (int i = 0; i < 10; ++i) interim += Response(103);
  EXPECT_TRUE(ReadHead(interim + Response(200)));
  for (int i = 0; i < 1000; ++i) interim += Response(103);
  const auto head = ReadHead(interim + Response(200));
  ASSERT_FALSE(head);
  EXPECT_EQ(head.error().code, error_code::kTooLarge);
  EXPECT_EQ(cut_off_, excess::kUnparsed);
}

// Guards against interim responses that prolong the wait for the final one.
TEST_F(head_reader, InterimResponsesDoNotRenewTheTimeout) {
  const auto begun = steady::now();
  const auto head = ReadHead(
      [&](tcp::socket& socket, asio::yield_context yield) {
        boost::system::error_code ec;
        asio::steady_timer timer(io_);
        while (!ec && steady::now() < begun + std::chrono::seconds(5)) {
          const auto bytes = Response(103);
          asio::async_write(socket, asio::buffer(bytes), yield[ec]);
          timer.expires_after(milliseconds(100));
          boost::system::error_code ignored;
          timer.async_wait(yield[ignored]);
        }
      },
      milliseconds(300));
  ASSERT_FALSE(head);
  EXPECT_EQ(head.error().code, error_code::kTimeout);
}

// Guards against a target or a field that ends its line and begins another one,
// whoever named it.
TEST(request_head, WhatAHeadCannotCarryIsNotSent) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  const auto address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::vector<http_request> odd(6, {"GET", "/a", "", {}, "", ""});
  odd[0].path = "/a b";
  odd[1].query = "after=a\r\nX-Injected: 1";
  odd[2].path = std::string("/a\0", 3);
  odd[3].fields.Add("Name", "a\r\nX-Injected: 1");
  odd[4].fields.Add("Name", "a\nb");
  odd[5].fields.Add("Name", std::string("a\0b", 3));
  SpawnTask(io, [&](auto yield) {
    auto opened =
        endpoint_connection::Connect(io, address, milliseconds(2000), yield);
    ASSERT_TRUE(opened);
    for (const auto& request : odd) {
      const auto sent =
          (*opened)->Send(request, milliseconds(2000), yield, true);
      ASSERT_FALSE(sent) << request.path;
      EXPECT_EQ(sent.error().code, error_code::kInvalidArgument);
    }
    http_request sound{"GET", "/a%20b", "c=d", {}, "", ""};
    sound.fields.Add("Name", "a b&+#%\xc3\xa9");
    EXPECT_TRUE((*opened)->Send(sound, milliseconds(2000), yield, true));
  });
  std::string received;
  SpawnTask(io, [&](auto yield) {
    boost::system::error_code ec;
    tcp::socket socket(io);
    acceptor.async_accept(socket, yield[ec]);
    asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                           yield[ec]);
  });
  io.run_for(std::chrono::seconds(10));
  EXPECT_EQ(received.rfind("GET /a%20b?c=d HTTP/1.1\r\n", 0), 0U) << received;
}

}  // namespace
}  // namespace bluebell::gateway
