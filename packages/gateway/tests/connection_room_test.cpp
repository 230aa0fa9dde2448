#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "limited_server.h"
#include "test_answers.h"

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

// Guards against idle connections that shut all other callers out.
TEST(connection_room, IdleConnectionsGiveWayToNewOnes) {
  constexpr int kDescriptors = 400;
  constexpr int kIdle = 1000;
  RaiseDescriptorLimit();
  limited_server server([] { LimitDescriptors(kDescriptors); },
                        milliseconds(1000), {});
  ASSERT_NE(server.port(), 0);
  blocking_caller kept(server.port());
  kept.Send(kPlainRequest);
  ASSERT_EQ(kept.ReadStatus(), 200);
  kept.Send(kPlainRequest);
  std::vector<std::unique_ptr<blocking_caller>> idle;
  for (int i = 0; i < kIdle; ++i) {
    idle.push_back(std::make_unique<blocking_caller>(server.port()));
  }
  EXPECT_EQ(kept.ReadStatus(), 200);
  for (int i = 0; i < 3; ++i) {
    blocking_caller late(server.port());
    late.Send(kPlainRequest);
    EXPECT_EQ(late.ReadStatus(milliseconds(5000)), 200);
  }
  EXPECT_TRUE(server.running());
}

/// A server whose callers have opened connections and sent nothing yet.
class waiting_callers : public testing::Test {
 protected:
  void Connect(const http_limits& limits) {
    auto listening = http_server::Listen(io_, "127.0.0.1:0", limits, AnswerOk,
                                         AnswerProblem);
    ASSERT_TRUE(listening);
    server_ = std::move(*listening);
    for (int i = 0; i < kConnections; ++i) {
      callers_.push_back(std::make_unique<blocking_caller>(server_->port()));
    }
    io_.run_for(milliseconds(100));
    ASSERT_EQ(server_->open_connections(), std::size_t{kConnections});
  }
  ~waiting_callers() override {
    server_.reset();
    RunFor(milliseconds(500));
  }
  /// Each caller sends a request, which the server finds when it runs again
  /// after `pause`. Expects that all are served.
  void ExpectServedAfter(milliseconds pause) {
    for (const auto& caller : callers_) caller->Send(kPlainRequest);
    std::this_thread::sleep_for(pause);
    RunFor(milliseconds(200));
    int served = 0;
    for (const auto& caller : callers_) {
      if (caller->ReadStatus(milliseconds(200)) == 200) ++served;
    }
    EXPECT_EQ(served, kConnections);
  }
  void RunFor(milliseconds span) {
    io_.restart();
    io_.run_for(span);
  }

  static constexpr int kConnections = 20;

  boost::asio::io_context io_;
  std::unique_ptr<http_server> server_;
  std::vector<std::unique_ptr<blocking_caller>> callers_;
};

// Guards against a request that is dropped because it arrives, unread, when the
// time-out of its idle connection ends.
TEST_F(waiting_callers, RequestThatMeetsTheIdleTimeoutIsServed) {
  http_limits limits;
  limits.idle_timeout = milliseconds(300);
  ASSERT_NO_FATAL_FAILURE(Connect(limits));
  ExpectServedAfter(milliseconds(400));
}

// The same for a server that stops to accept.
TEST_F(waiting_callers, RequestThatMeetsTheEndOfAcceptingIsServed) {
  ASSERT_NO_FATAL_FAILURE(Connect({}));
  server_->StopAccepting(milliseconds(100));
  ExpectServedAfter(milliseconds(200));
}

}  // namespace
}  // namespace bluebell::gateway
