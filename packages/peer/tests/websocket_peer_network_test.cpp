#include "peer/websocket_peer_network.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <vector>

#include "base/asio_clock.h"
#include "peer/frame.h"

namespace bluebell::peer {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

using outcome = std::optional<result<json>>;

tcp::endpoint ToEndpoint(const std::string& address) {
  const auto colon = address.find(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

class websocket_network_test : public ::testing::Test {
 protected:
  struct host {
    host(websocket_network_test& test, const std::string& id)
        : events(test.clock_, host_id(id)) {
      auto made = websocket_peer_network::Create(
          test.context_, test.clock_, events, host_id(id), "127.0.0.1:0");
      if (!made) throw std::runtime_error(made.error().detail);
      network = std::move(*made);
      network->SetHandler("echo", [this](const host_id& sender, json body,
                                         const peer_network::respond& answer) {
        senders.push_back(sender);
        answer(std::move(body));
      });
    }
    bool Recorded(event_id id) const {
      for (const auto& entry : events.After(0)) {
        if (entry.id == id) return true;
      }
      return false;
    }

    event_log events;
    std::unique_ptr<websocket_peer_network> network;
    std::vector<host_id> senders;
  };

  // Runs the context until `done` returns true; `limit` keeps a fault from
  // hanging the test.
  template <class Condition>
  bool RunUntil(Condition done, clock::duration limit = seconds(10)) {
    const auto deadline = clock_.now() + limit;
    while (!done() && clock_.now() < deadline) {
      context_.restart();
      context_.run_one_for(milliseconds(50));
    }
    return done();
  }

  void SendRequest(host& from, const char* to, json body, outcome& got,
                   clock::duration timeout = seconds(5),
                   const char* type = "echo") {
    from.network->Request(host_id(to), type, body, timeout,
                          [&got](result<json> answer) { got = answer; });
  }

  boost::asio::io_context context_;
  asio_clock clock_{context_};
  host a_{*this, "a"};
  host b_{*this, "b"};
};

// Guards against requests that are lost while dialling, against mismatched
// answers, and against a wrong sender id.
TEST_F(websocket_network_test, FirstRequestsWaitForTheDial) {
  ASSERT_TRUE(
      a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
  std::vector<outcome> got(20);
  for (int i = 0; i < 20; ++i) SendRequest(a_, "b", {{"x", i}}, got[i]);
  ASSERT_TRUE(RunUntil([&] { return got.back().has_value(); }));
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(got[i] && *got[i]);
    EXPECT_EQ((**got[i])["x"], i);
  }
  EXPECT_EQ(b_.senders, std::vector<host_id>(20, host_id("a")));
}

TEST_F(websocket_network_test, QueuedRequestIsSentWhenTheAddressChanges) {
  tcp::acceptor unused(context_, {boost::asio::ip::address_v4::loopback(), 0});
  const auto closed_port = unused.local_endpoint().port();
  unused.close();
  ASSERT_TRUE(a_.network->SetPeerAddress(
      host_id("b"), "127.0.0.1:" + std::to_string(closed_port)));
  outcome got;
  SendRequest(a_, "b", 1, got);
  RunUntil([] { return false; }, milliseconds(300));
  EXPECT_FALSE(got);
  ASSERT_TRUE(
      a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
  ASSERT_TRUE(RunUntil([&] { return got.has_value(); }));
  EXPECT_TRUE(*got);
}

// Guards against requests that never end and against an error that is wrong
// about whether the request was sent.
TEST_F(websocket_network_test, EveryRequestEndsByItsTimeout) {
  outcome unknown;
  SendRequest(a_, "nobody", 1, unknown);
  outcome unanswered;
  ASSERT_TRUE(
      a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
  SendRequest(a_, "b", 1, unanswered, milliseconds(200), "no handler");
  ASSERT_TRUE(RunUntil([&] { return unknown && unanswered; }));
  EXPECT_EQ(unknown->error().code, error_code::kUnavailable);
  EXPECT_EQ(unanswered->error().code, error_code::kTimeout);
}

TEST_F(websocket_network_test, RefusesMessagesAboveTheLimit) {
  ASSERT_TRUE(
      a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
  outcome large;
  SendRequest(a_, "b", std::string(kMaxFrameBytes, 'x'), large);
  outcome allowed;
  SendRequest(a_, "b", std::string(kMaxFrameBytes - 1000, 'x'), allowed);
  ASSERT_TRUE(RunUntil([&] { return large && allowed; }));
  EXPECT_EQ(large->error().code, error_code::kTooLarge);
  EXPECT_TRUE(*allowed);
}

// Guards against an address that was reassigned to another host: its answers
// would make the former host appear alive.
TEST_F(websocket_network_test, DialOfAnotherHostIsRefused) {
  const auto address = b_.network->listen_address();
  ASSERT_TRUE(a_.network->SetPeerAddress(host_id("c"), address));
  ASSERT_TRUE(a_.network->SetPeerAddress(host_id(address), address));
  outcome wrong;
  SendRequest(a_, "c", 1, wrong, milliseconds(500));
  outcome any;
  SendRequest(a_, address.c_str(), 1, any);
  ASSERT_TRUE(RunUntil([&] { return wrong && any; }));
  EXPECT_EQ(wrong->error().code, error_code::kUnavailable);
  EXPECT_TRUE(*any);
}

// Guards against a handshake that counts as done by an answer without status
// 101, and against a peer that is not dialled again after it.
TEST_F(websocket_network_test, BrokenHandshakeIsRefusedAndDialledAgain) {
  for (const std::string head :
       {"HTTP/1.1 000 X", "HTTP/1.1 999 X", "HTTP/1.1 103 Early",
        "HTTP/1.1 200 OK", "HTTP/1.1 101 X\r\nOdd Name: 1"}) {
    tcp::acceptor listener(context_,
                           {boost::asio::ip::address_v4::loopback(), 0});
    std::vector<tcp::socket> dials;
    std::function<void()> accept = [&] {
      listener.async_accept([&](auto failure, tcp::socket socket) {
        if (failure) return;
        dials.push_back(std::move(socket));
        boost::system::error_code ignored;
        boost::asio::write(dials.back(), boost::asio::buffer(head + "\r\n\r\n"),
                           ignored);
        accept();
      });
    };
    dials.reserve(100);
    accept();
    ASSERT_TRUE(a_.network->SetPeerAddress(
        host_id("b"),
        "127.0.0.1:" + std::to_string(listener.local_endpoint().port())));
    outcome got;
    SendRequest(a_, "b", 1, got, seconds(20));
    ASSERT_TRUE(RunUntil([&] { return dials.size() >= 2; })) << head;
    EXPECT_FALSE(got) << head;
    listener.close();
    ASSERT_TRUE(
        a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
    ASSERT_TRUE(RunUntil([&] { return got.has_value(); })) << head;
    EXPECT_TRUE(*got) << head;
  }
}

// Guards against connections that stay open after they stop responding: the
// relay between the hosts stops forwarding on the first connection.
TEST_F(websocket_network_test, SilentConnectionIsClosedAndDialledAgain) {
  struct relay {
    tcp::socket client_side;
    tcp::socket server_side;
    std::array<char, 4096> to_server{};
    std::array<char, 4096> to_client{};
    bool silent = false;
  };
  tcp::acceptor listener(context_,
                         {boost::asio::ip::address_v4::loopback(), 0});
  std::vector<std::shared_ptr<relay>> relays;
  std::function<void()> accept = [&] {
    auto connection = std::make_shared<relay>(
        relay{tcp::socket(context_), tcp::socket(context_)});
    listener.async_accept(connection->client_side, [&,
                                                    connection](auto failure) {
      if (failure) return;
      connection->server_side.connect(ToEndpoint(b_.network->listen_address()));
      relays.push_back(connection);
      const auto forward = [connection](
                               auto self, tcp::socket& in, tcp::socket& out,
                               std::array<char, 4096>& buffer) -> void {
        in.async_read_some(
            boost::asio::buffer(buffer), [connection, self, &in, &out, &buffer](
                                             auto ended, std::size_t size) {
              if (ended) return;
              if (!connection->silent) {
                boost::system::error_code ignored;
                boost::asio::write(out, boost::asio::buffer(buffer, size),
                                   ignored);
              }
              self(self, in, out, buffer);
            });
      };
      forward(forward, connection->client_side, connection->server_side,
              connection->to_server);
      forward(forward, connection->server_side, connection->client_side,
              connection->to_client);
      accept();
    });
  };
  accept();
  ASSERT_TRUE(a_.network->SetPeerAddress(
      host_id("b"),
      "127.0.0.1:" + std::to_string(listener.local_endpoint().port())));
  outcome first;
  SendRequest(a_, "b", 1, first);
  ASSERT_TRUE(RunUntil([&] { return first.has_value(); }));
  ASSERT_EQ(relays.size(), 1u);
  relays[0]->silent = true;
  outcome lost;
  SendRequest(a_, "b", 2, lost, seconds(1));
  ASSERT_TRUE(RunUntil([&] { return relays.size() == 2; }));
  EXPECT_TRUE(lost && !*lost);
  outcome again;
  SendRequest(a_, "b", 3, again);
  ASSERT_TRUE(RunUntil([&] { return again.has_value(); }));
  EXPECT_TRUE(*again);
  listener.close();
  for (auto& connection : relays) {
    connection->client_side.close();
    connection->server_side.close();
  }
  RunUntil([] { return false; }, milliseconds(100));
}

// Guards against closing a connection because a handler is slow.
TEST_F(websocket_network_test, SlowHandlerKeepsTheConnection) {
  peer_network::respond answer;
  b_.network->SetHandler(
      "slow", [&](const host_id&, const json&, peer_network::respond respond) {
        answer = respond;
      });
  ASSERT_TRUE(
      a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
  outcome got;
  SendRequest(a_, "b", 1, got, seconds(10), "slow");
  RunUntil([] { return false; }, milliseconds(4000));
  ASSERT_TRUE(answer);
  answer(2);
  ASSERT_TRUE(RunUntil([&] { return got.has_value(); }));
  EXPECT_TRUE(*got);
}

// Guards against a malformed frame that closes other connections too.
TEST_F(websocket_network_test, MalformedFrameClosesOnlyItsConnection) {
  ASSERT_TRUE(
      a_.network->SetPeerAddress(host_id("b"), b_.network->listen_address()));
  outcome before;
  SendRequest(a_, "b", 1, before);
  ASSERT_TRUE(RunUntil([&] { return before.has_value(); }));

  tcp::socket raw_client(context_);
  raw_client.connect(ToEndpoint(b_.network->listen_address()));
  const std::string upgrade =
      "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
      "X-Bluebell-Host: c\r\n\r\n";
  // A masked binary frame with 4 bytes that are not valid CBOR.
  const std::string frame("\x82\x84\0\0\0\0\xff\xff\xff\xff", 10);
  boost::asio::write(raw_client, boost::asio::buffer(upgrade + frame));
  bool ended = false;
  std::array<char, 1024> buffer{};
  std::function<void()> read = [&] {
    raw_client.async_read_some(boost::asio::buffer(buffer),
                               [&](auto failure, std::size_t) {
                                 if (failure) {
                                   ended = true;
                                 } else {
                                   read();
                                 }
                               });
  };
  read();
  ASSERT_TRUE(RunUntil([&] { return ended; }));
  EXPECT_TRUE(b_.Recorded(event_id::kPeerFrameRejected));

  outcome after;
  SendRequest(a_, "b", 1, after);
  ASSERT_TRUE(RunUntil([&] { return after.has_value(); }));
  EXPECT_TRUE(*after);
  EXPECT_FALSE(a_.Recorded(event_id::kPeerConnectionLost));
}

// Guards against a missing redial after a peer restarts.
TEST_F(websocket_network_test, RestartedPeerIsDialledAgain) {
  const auto address = b_.network->listen_address();
  ASSERT_TRUE(a_.network->SetPeerAddress(host_id("b"), address));
  outcome got;
  SendRequest(a_, "b", 1, got);
  ASSERT_TRUE(RunUntil([&] { return got.has_value(); }));
  b_.network.reset();
  outcome lost;
  SendRequest(a_, "b", 1, lost, milliseconds(300));
  ASSERT_TRUE(RunUntil([&] { return lost.has_value(); }));
  EXPECT_FALSE(*lost);
  outcome again;
  SendRequest(a_, "b", 1, again);
  auto restarted = websocket_peer_network::Create(context_, clock_, b_.events,
                                                  host_id("b"), address);
  ASSERT_TRUE(restarted);
  (*restarted)
      ->SetHandler("echo",
                   [](const host_id&, const json& body,
                      const peer_network::respond& answer) { answer(body); });
  ASSERT_TRUE(RunUntil([&] { return again.has_value(); }));
  EXPECT_TRUE(*again);
}

// Guards against frames that crash the decoder: deep nesting exhausts the
// stack, huge lengths exhaust memory, and invalid UTF-8 makes later JSON
// output throw.
TEST(frame, RejectsMalformedDocuments) {
  EXPECT_FALSE(DecodeFrame(std::string(1'000'000, '\x81')));
  EXPECT_FALSE(
      DecodeFrame(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff")));
  json text{{"id", 1u}, {"body", "\xff"}};
  std::string data;
  json::to_cbor(text, data);
  EXPECT_FALSE(DecodeFrame(data));
  EXPECT_FALSE(DecodeFrame(""));
}

TEST(frame, RejectsTruncatedFrames) {
  const auto whole = EncodeFrame({7, "ping", {{"a", {1, 2.5, "x", nullptr}}}});
  ASSERT_TRUE(whole);
  for (std::size_t size = 0; size < whole->size(); ++size) {
    EXPECT_FALSE(DecodeFrame(whole->substr(0, size)));
  }
  const auto back = DecodeFrame(*whole);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->correlation, 7u);
  EXPECT_EQ(back->type, "ping");
}

}  // namespace
}  // namespace bluebell::peer
