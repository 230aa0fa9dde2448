#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "limited_server.h"
#include "test_answers.h"

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

/// A server whose requests for "/slow" are answered after 300 ms, and those for
/// "/cut" never. Collects how connections end.
class ending_connections : public testing::Test {
 protected:
  void Listen(const http_limits& limits) {
    auto listening = http_server::Listen(
        io_, "127.0.0.1:0", limits,
        [this](const auto& request, auto& sink, auto yield) {
          if (request.path == "/cut") return sink.AbortStream();
          if (request.path == "/slow") {
            boost::asio::steady_timer timer(io_, milliseconds(300));
            boost::system::error_code ignored;
            timer.async_wait(yield[ignored]);
            if (sink.caller_disconnected()) return;
          }
          AnswerOk(request, sink, yield);
        },
        AnswerProblem);
    ASSERT_TRUE(listening);
    server_ = std::move(*listening);
    server_->OnConnectionEnd([this](const connection_status& last) {
      ++ends_[ToString(last.cause)];
      if (last.unread) ++unread_;
      if (last.request != nullptr) served_.push_back(last.request->path);
    });
    server_->OnRefusal(
        [this](refusal reason, const auto&) { ++refused_[ToString(reason)]; });
  }
  ~ending_connections() override {
    server_.reset();
    RunFor(milliseconds(400));
  }
  std::unique_ptr<blocking_caller> Connect() {
    auto caller = std::make_unique<blocking_caller>(server_->port());
    RunFor(milliseconds(20));
    return caller;
  }
  void RunFor(milliseconds span) {
    io_.restart();
    io_.run_for(span);
  }

  using counts = std::map<std::string, int>;

  boost::asio::io_context io_;
  std::unique_ptr<http_server> server_;
  counts ends_;
  counts refused_;
  int unread_ = 0;
  std::vector<std::string> served_;
};

std::string Request(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Guards against connections that end without an answer for a cause that is not
// reported.
TEST_F(ending_connections, ReportTheirCause) {
  http_limits limits;
  limits.idle_timeout = milliseconds(250);
  limits.header_timeout = milliseconds(50);
  limits.max_header_bytes = 200;
  Listen(limits);
  Connect().reset();
  RunFor(milliseconds(50));
  EXPECT_EQ(ends_, (counts{{"caller_closed", 1}}));

  ends_.clear();
  auto cut = Connect();
  cut->Send(Request("/cut"));
  RunFor(milliseconds(50));
  EXPECT_EQ(ends_, (counts{{"aborted", 1}}));
  EXPECT_EQ(served_, (std::vector<std::string>{"/cut"}));

  ends_.clear();
  served_.clear();
  auto gone = Connect();
  gone->Send(Request("/slow"));
  RunFor(milliseconds(20));
  gone.reset();
  RunFor(milliseconds(400));
  EXPECT_EQ(ends_, (counts{{"caller_closed", 1}}));
  EXPECT_EQ(served_, (std::vector<std::string>{"/slow"}));

  ends_.clear();
  auto half = Connect();
  half->Send("GET / HTT");
  RunFor(milliseconds(150));
  half.reset();
  RunFor(milliseconds(50));
  EXPECT_EQ(ends_, (counts{{"head_timeout", 1}}));

  ends_.clear();
  auto large = Connect();
  large->Send("GET / HTTP/1.1\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
  RunFor(milliseconds(50));
  large.reset();
  RunFor(milliseconds(50));
  EXPECT_EQ(ends_, (counts{{"rejected", 1}}));

  ends_.clear();
  auto idle = Connect();
  RunFor(milliseconds(400));
  EXPECT_EQ(ends_, (counts{{"idle_timeout", 1}}));
  EXPECT_EQ(unread_, 0);
}

// Guards against a new connection that takes the place of one with a request.
TEST_F(ending_connections, OnlyIdleConnectionsMakeRoom) {
  http_limits limits;
  limits.max_connections = 3;
  Listen(limits);
  auto busy = Connect();
  busy->Send(Request("/slow"));
  auto older = Connect();
  auto newer = Connect();
  // Has arrived, but is not read before the next connection is accepted.
  older->Send(Request("/"));
  auto next = Connect();
  EXPECT_EQ(ends_, (counts{{"made_room", 1}}));
  next->Send(Request("/"));
  RunFor(milliseconds(400));
  EXPECT_EQ(busy->ReadStatus(milliseconds(100)), 200);
  EXPECT_EQ(older->ReadStatus(milliseconds(100)), 200);
  EXPECT_EQ(next->ReadStatus(milliseconds(100)), 200);
  EXPECT_EQ(newer->ReadStatus(milliseconds(100)), 0);
  EXPECT_TRUE(refused_.empty());
  EXPECT_EQ(unread_, 0);
}

TEST_F(ending_connections, NewOnesAreRefusedIfNoneIsIdle) {
  http_limits limits;
  limits.max_connections = 2;
  Listen(limits);
  auto first = Connect();
  auto second = Connect();
  first->Send(Request("/slow"));
  second->Send(Request("/slow"));
  RunFor(milliseconds(20));
  auto refused = Connect();
  EXPECT_EQ(refused_, (counts{{"no_room", 1}}));
  EXPECT_EQ(refused->ReadStatus(milliseconds(100)), 0);
  RunFor(milliseconds(400));
  EXPECT_EQ(first->ReadStatus(milliseconds(100)), 200);
  EXPECT_EQ(second->ReadStatus(milliseconds(100)), 200);
}

// Guards against heads that never end and take the memory of requests.
TEST_F(ending_connections, SlowHeadsGiveTheirMemoryToRequests) {
  constexpr int kSlow = 30;
  constexpr std::size_t kBodyBytes = 100'000;
  http_limits limits;
  limits.memory = std::make_shared<byte_budget>(160 * 1024);
  Listen(limits);
  std::vector<std::unique_ptr<blocking_caller>> slow;
  for (int i = 0; i < kSlow; ++i) {
    slow.push_back(Connect());
    slow.back()->Send("GET / HTT");
  }
  RunFor(milliseconds(1100));
  auto caller = Connect();
  caller->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
               std::string(kBodyBytes, 'x'));
  RunFor(milliseconds(300));
  EXPECT_EQ(caller->ReadStatus(milliseconds(100)), 200);
  EXPECT_GT(ends_["made_room"], 0);
}

// Guards against heads that have just begun and give way to others, though the
// rest of them is on its way.
TEST_F(ending_connections, NewHeadsDoNotGiveWay) {
  http_limits limits;
  limits.memory = std::make_shared<byte_budget>(256 * 1024);
  Listen(limits);
  std::vector<std::unique_ptr<blocking_caller>> begun;
  for (int i = 0; i < 10; ++i) {
    begun.push_back(Connect());
    begun.back()->Send("GET / HTT");
  }
  auto large = Connect();
  large->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
              std::string(150'000, 'x'));
  RunFor(milliseconds(50));
  for (const auto& caller : begun) caller->Send("P/1.1\r\nHost: h\r\n\r\n");
  RunFor(milliseconds(100));
  for (const auto& caller : begun) {
    EXPECT_EQ(caller->ReadStatus(milliseconds(200)), 200);
  }
}

// Guards against a request without a time limit: its deadline ends while a read
// has completed and its handler is queued, so that no read can be cancelled.
TEST_F(ending_connections, DeadlineBetweenTwoReadsEndsTheRequest) {
  http_limits limits;
  limits.header_timeout = milliseconds(200);
  limits.body_timeout = milliseconds(200);
  Listen(limits);
  auto head = Connect();
  auto body = Connect();
  head->Send("GET / HTT");
  body->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
  RunFor(milliseconds(50));
  head->Send("P/1.1\r\n");
  body->Send("abc");
  // The server does not run while the deadlines end.
  std::this_thread::sleep_for(milliseconds(300));
  RunFor(milliseconds(300));
  EXPECT_EQ(head->ReadStatus(milliseconds(100)),
            Describe(problem_code::kRequestTimeout).http_status);
  EXPECT_EQ(body->ReadStatus(milliseconds(100)),
            Describe(problem_code::kRequestTimeout).http_status);
}

}  // namespace
}  // namespace bluebell::gateway
