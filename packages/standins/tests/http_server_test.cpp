#include "standins/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

namespace bluebell::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A server that answers "/stream" with five events and the rest with the path,
// both under the injected fault, and a client on the same event loop.
class server_test : public testing::Test {
 protected:
  server_test() {
    const auto address = server_.Listen("127.0.0.1:0").value();
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    endpoint_ = tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"),
                              static_cast<unsigned short>(port));
  }

  void Answer(const std::shared_ptr<http_exchange>& exchange) {
    exchange->set_fault(fault_);
    if (exchange->request().path == "/hold") {
      held_ = exchange;
      return exchange->OnDisconnect([this] { ++disconnects_; });
    }
    if (exchange->request().path != "/stream") {
      http_response response;
      response.body = exchange->request().path;
      return exchange->Send(std::move(response));
    }
    exchange->StartStream({});
    for (int i = 0; i < 5; ++i) {
      exchange->Write("<" + std::to_string(i) + ">");
    }
    exchange->EndStream();
  }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect(endpoint_);
    return socket;
  }
  void Send(tcp::socket& socket, const std::string& path) {
    asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\n\r\n"));
  }
  // All that arrives until the connection closes or nothing more comes.
  std::string Receive(tcp::socket& socket, bool& closed) {
    std::string received;
    closed = false;
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [&](const boost::system::error_code& end, std::size_t) {
                       closed = end == asio::error::eof;
                     });
    context_.restart();
    context_.run_for(milliseconds(100));
    socket.cancel();
    context_.restart();
    context_.run_for(milliseconds(1));
    return received;
  }

  asio::io_context context_;
  answer_fault fault_ = answer_fault::kNone;
  int disconnects_ = 0;
  std::shared_ptr<http_exchange> held_;
  http_server server_{context_,
                      [this](const auto& exchange) { Answer(exchange); }};
  tcp::endpoint endpoint_;
};

struct answer_case {
  answer_fault fault;
  std::string path;
  // Ends of what the client gets, and whether the connection closes.
  std::string begin;
  std::string end;
  bool closes;
};

// Guards against faults that change nothing on the wire, or too much.
TEST_F(server_test, AnswersShowTheInjectedFault) {
  const answer_case cases[] = {
      {answer_fault::kNone, "/path", "HTTP/1.1 200 OK", "5\r\n\r\n/path",
       false},
      {answer_fault::kLose, "/path", "", "", true},
      {answer_fault::kTruncate, "/path", "HTTP/1.1 200 OK", "\r\n\r\n/p", true},
      {answer_fault::kDuplicate, "/path", "HTTP/1.1 200 OK",
       "/pathHTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
       "Content-Length: 5\r\n\r\n/path",
       false},
      {answer_fault::kNone, "/stream", "HTTP/1.1 200 OK", "<4>\r\n0\r\n\r\n",
       false},
      {answer_fault::kLose, "/stream", "", "", true},
      {answer_fault::kTruncate, "/stream", "HTTP/1.1 200 OK",
       "3\r\n<1>\r\n3\r\n<2>\r\n", true},
      {answer_fault::kDuplicate, "/stream", "HTTP/1.1 200 OK",
       "6\r\n<4><4>\r\n0\r\n\r\n", false},
  };
  for (const auto& one : cases) {
    SCOPED_TRACE(one.path + " " + std::to_string(static_cast<int>(one.fault)));
    fault_ = one.fault;
    auto socket = Connect();
    Send(socket, one.path);
    bool closed = false;
    const auto received = Receive(socket, closed);
    EXPECT_EQ(received.substr(0, one.begin.size()), one.begin);
    ASSERT_GE(received.size(), one.end.size());
    EXPECT_EQ(received.substr(received.size() - one.end.size()), one.end);
    EXPECT_EQ(received.empty(), one.end.empty());
    EXPECT_EQ(closed, one.closes);
  }
}

// Guards against silence that shows as a closed connection or stops new ones.
TEST_F(server_test, FrozenConnectionsStaySilentAndNewOnesWork) {
  auto old = Connect();
  bool closed = false;
  Send(old, "/a");
  EXPECT_FALSE(Receive(old, closed).empty());
  server_.FreezeConnections();
  Send(old, "/b");
  EXPECT_EQ(Receive(old, closed), "");
  EXPECT_FALSE(closed);
  auto fresh = Connect();
  Send(fresh, "/c");
  EXPECT_FALSE(Receive(fresh, closed).empty());
}

// Guards against work that goes on for a client that has gone.
TEST_F(server_test, DisconnectDuringAnAnswerIsReportedOnce) {
  auto socket = Connect();
  bool closed = false;
  Send(socket, "/hold");
  Receive(socket, closed);
  EXPECT_EQ(disconnects_, 0);
  socket.close();
  context_.restart();
  context_.run_for(milliseconds(100));
  EXPECT_EQ(disconnects_, 1);
  held_->Send({});
  held_.reset();
}

TEST(parse_target, DecodesPathAndQuery) {
  http_request request;
  ParseTarget("/a%20b/%zz?x=1%26&y&z=", request);
  EXPECT_EQ(request.path, "/a b/%zz");
  EXPECT_EQ(request.query["x"], "1&");
  EXPECT_EQ(request.query["y"], "");
  EXPECT_EQ(request.query.size(), 3u);
}

}  // namespace
}  // namespace bluebell::standins
