#include "ctl/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

namespace bluebell::ctl {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Accepts one connection, reads one request head, sends `answer` and closes.
class one_answer_server {
 public:
  explicit one_answer_server(std::string answer)
      : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this, answer = std::move(answer)] { Serve(answer); }) {}
  ~one_answer_server() {
    // Ends the wait for a connection that the test did not make.
    boost::system::error_code ignored;
    tcp::socket(context_).connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  const std::string& Received() {
    thread_.join();
    thread_ = std::thread([] {});
    return received_;
  }

 private:
  void Serve(const std::string& answer) {
    boost::system::error_code ignored;
    tcp::socket socket(context_);
    acceptor_.accept(socket, ignored);
    asio::read_until(socket, asio::dynamic_buffer(received_), "\r\n\r\n",
                     ignored);
    asio::write(socket, asio::buffer(answer), ignored);
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::string received_;
  std::thread thread_;
};

TEST(http_client, SendsTheRequestAndReadsTheAnswer) {
  one_answer_server server(
      "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}");
  const auto client = MakeHttpClient(server.address(), "operator-key");
  const auto answer = client->Call({"PUT", "/admin/v1/x", "7", "{}"});
  ASSERT_TRUE(answer) << answer.error().detail;
  EXPECT_EQ(answer->status, 404);
  EXPECT_EQ(answer->body, "{}");
  const std::string& received = server.Received();
  for (const char* part :
       {"PUT /admin/v1/x HTTP/1.1\r\n", "If-Match: 7\r\n",
        "Authorization: Bearer operator-key\r\n", "Content-Length: 2\r\n"}) {
    EXPECT_NE(received.find(part), std::string::npos) << received;
  }
}

// Guards against "nothing was sent" for a request whose answer was cut off:
// the edit may have been stored.
TEST(http_client, CutOffAnswerHasAnUnknownOutcome) {
  for (const char* answer :
       {"", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", "nonsense\r\n\r\n"}) {
    one_answer_server server(answer);
    const auto client = MakeHttpClient(server.address(), "k");
    const auto given = client->Call({"GET", "/", {}, ""});
    ASSERT_FALSE(given);
    EXPECT_EQ(given.error().code, error_code::kOutcomeUnknown) << answer;
  }
}

// Guards against an edit that counts as answered by a status that does not
// exist, and against a final answer that is lost behind an interim one.
TEST(http_client, OnlyAFinalResponseIsAnAnswer) {
  const std::string done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  const std::string interim = "HTTP/1.1 103 Early\r\n\r\n";
  for (const std::string& broken :
       {std::string("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"),
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + done,
        std::string("HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n{}"),
        std::string("HTTP/1.1 101 X\r\n\r\n"), interim,
        std::string("HTTP/1.1 200 OK\r\nOdd Name: 1\r\n"
                    "Content-Length: 2\r\n\r\n{}")}) {
    one_answer_server server(broken);
    const auto client = MakeHttpClient(server.address(), "k");
    const auto given = client->Call({"PUT", "/", {}, "{}"});
    ASSERT_FALSE(given) << broken;
    EXPECT_EQ(given.error().code, error_code::kOutcomeUnknown) << broken;
  }
  one_answer_server server(interim + interim + done);
  const auto client = MakeHttpClient(server.address(), "k");
  const auto answer = client->Call({"PUT", "/", {}, "{}"});
  ASSERT_TRUE(answer) << answer.error().detail;
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "{}");
}

// Guards against a group that gives up at the first host that is down, or that
// sends an edit twice after a lost answer.
TEST(http_client, GroupTriesTheNextAddressOnlyWithoutAConnection) {
  asio::io_context context;
  tcp::acceptor closed(context,
                       tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string down =
      "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  one_answer_server lost("");
  std::vector<std::unique_ptr<admin_client>> hosts;
  for (const std::string& address : {down, lost.address(), down}) {
    hosts.push_back(MakeHttpClient(address, "k"));
  }
  admin_group group(std::move(hosts));
  const auto first = group.Call({"GET", "/", {}, ""});
  ASSERT_FALSE(first);
  EXPECT_EQ(first.error().code, error_code::kOutcomeUnknown);
  admin_group unreachable([&] {
    std::vector<std::unique_ptr<admin_client>> none;
    none.push_back(MakeHttpClient(down, "k"));
    return none;
  }());
  EXPECT_EQ(unreachable.Call({"GET", "/", {}, ""}).error().code,
            error_code::kUnavailable);
}

}  // namespace
}  // namespace bluebell::ctl
