#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "limited_server.h"

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

// Guards against a request that is dropped because it arrives, unread, when the
// time-out of its idle connection ends.
TEST(connection_room, RequestThatMeetsTheIdleTimeoutIsServed) {
  constexpr int kConnections = 20;
  http_limits limits;
  limits.idle_timeout = milliseconds(300);
  boost::asio::io_context io;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", limits,
      [](const auto&, auto& sink, auto yield) {
        http_response answer;
        answer.status = 200;
        sink.SendResponse(answer, yield);
      },
      [](auto, const auto&) { return http_response(); });
  ASSERT_TRUE(server);
  std::vector<std::unique_ptr<blocking_caller>> callers;
  for (int i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<blocking_caller>((*server)->port()));
  }
  io.run_for(milliseconds(100));
  ASSERT_EQ((*server)->open_connections(), std::size_t{kConnections});
  for (const auto& caller : callers) caller->Send(kPlainRequest);
  // The server does not run while the time-out ends.
  std::this_thread::sleep_for(milliseconds(400));
  io.restart();
  io.run_for(milliseconds(200));
  int served = 0;
  for (const auto& caller : callers) {
    if (caller->ReadStatus(milliseconds(200)) == 200) ++served;
  }
  EXPECT_EQ(served, kConnections);
  server->reset();
  io.restart();
  io.run_for(milliseconds(500));
}

// The same for a server that stops to accept.
TEST(connection_room, RequestThatMeetsTheEndOfAcceptingIsServed) {
  constexpr int kConnections = 20;
  boost::asio::io_context io;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", {},
      [](const auto&, auto& sink, auto yield) {
        http_response answer;
        answer.status = 200;
        sink.SendResponse(answer, yield);
      },
      [](auto, const auto&) { return http_response(); });
  ASSERT_TRUE(server);
  std::vector<std::unique_ptr<blocking_caller>> callers;
  for (int i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<blocking_caller>((*server)->port()));
  }
  io.run_for(milliseconds(100));
  (*server)->StopAccepting(milliseconds(100));
  for (const auto& caller : callers) caller->Send(kPlainRequest);
  std::this_thread::sleep_for(milliseconds(200));
  io.restart();
  io.run_for(milliseconds(200));
  int served = 0;
  for (const auto& caller : callers) {
    if (caller->ReadStatus(milliseconds(200)) == 200) ++served;
  }
  EXPECT_EQ(served, kConnections);
  server->reset();
  io.restart();
  io.run_for(milliseconds(500));
}

}  // namespace
}  // namespace bluebell::gateway
