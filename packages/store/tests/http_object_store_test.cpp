#include "store/http_object_store.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/http_server.h"

namespace bluebell::store {
namespace {

using standins::http_exchange;
using standins::http_response;
using standins::http_server;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Success response to a read or write of an object, which is not stored.
http_response MakeResponse(const std::string& path) {
  const auto name = path.substr(std::string("/v1/objects/").size());
  http_response response;
  response.body =
      nlohmann::json{{"name", name}, {"version", 1}, {"value", nullptr}}.dump();
  return response;
}

class http_store_test : public testing::Test {
 protected:
  http_store_test() { address_ = server_.Listen("127.0.0.1:0").value(); }

  void MakeStore(http_store_options options) {
    if (options.addresses.empty()) options.addresses = {address_};
    store_ = http_object_store::Create(context_, options).value();
  }

  template <class Result, class Call>
  Result Await(Call call) {
    std::optional<Result> outcome;
    call([&](Result answer) { outcome = std::move(answer); });
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (!outcome && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(milliseconds(20));
    }
    if (!outcome) throw std::runtime_error("no callback");
    return *outcome;
  }
  result<object> Get(const std::string& name) {
    return Await<result<object>>(
        [&](auto done) { store_->Get(name, std::move(done)); });
  }
  write_result Put(const std::string& name) {
    return Await<write_result>([&](auto done) {
      store_->Put(name, 1, std::nullopt, std::move(done));
    });
  }

  result<object_list> List() {
    return Await<result<object_list>>(
        [&](auto done) { store_->List("", std::move(done)); });
  }
  static std::string LargeList() {
    return R"({"revision":1,"items":[{"name":"a","version":1,"value":")" +
           std::string(1'000'000, 'x') + "\"}]}";
  }

  boost::asio::io_context context_;
  standins::answer_fault fault_ = standins::answer_fault::kNone;
  int status_ = 200;
  /// Answers every call, if set.
  std::string body_;
  http_server server_{context_, [this](const auto& exchange) {
                        http_response response;
                        response.body = body_;
                        if (body_.empty()) {
                          response = MakeResponse(exchange->request().path);
                        }
                        response.status = status_;
                        exchange->set_fault(fault_);
                        exchange->Send(std::move(response));
                      }};
  std::string address_;
  std::unique_ptr<http_object_store> store_;
};

// Guards against writes on a reused connection, which may no longer respond,
// and against a new connection for each read.
TEST_F(http_store_test, ReadsShareAConnectionAndEachWriteOpensOne) {
  MakeStore({});
  ASSERT_TRUE(Get("a"));
  ASSERT_TRUE(Get("b"));
  EXPECT_EQ(server_.accepted(), 1);
  ASSERT_TRUE(Put("a"));
  ASSERT_TRUE(Put("a"));
  EXPECT_EQ(server_.accepted(), 3);
}

// Guards against reads on a connection that exceeded the idle limit.
TEST_F(http_store_test, ConnectionsIdleBeyondTheLimitAreNotUsed) {
  http_store_options options;
  options.idle_limit = milliseconds(0);
  MakeStore(options);
  ASSERT_TRUE(Get("a"));
  ASSERT_TRUE(Get("b"));
  EXPECT_EQ(server_.accepted(), 2);
}

// Guards against failed reads after the platform closed an idle connection.
TEST_F(http_store_test, ReadIsRepeatedWhenItsKeptConnectionWasClosed) {
  MakeStore({});
  ASSERT_TRUE(Get("a"));
  server_.Stop();
  ASSERT_TRUE(server_.Listen(address_));
  EXPECT_TRUE(Get("b"));
  EXPECT_EQ(server_.accepted(), 2);
}

// Guards against using an extra response, which arrives on a kept-alive
// connection after the right one, for the next call.
TEST_F(http_store_test, ExtraResponseIsNotUsedForTheNextCall) {
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(
      context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const auto answer = [](const std::string& name) {
    const auto body = MakeResponse("/v1/objects/" + name).body;
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  std::vector<tcp::socket> peers;
  // Sends the response on the next connection without reading its request.
  const auto accept = [&](const std::string& name) {
    acceptor.async_accept([&, name](const auto&, tcp::socket socket) {
      auto& peer = peers.emplace_back(std::move(socket));
      boost::asio::write(peer, boost::asio::buffer(answer(name)));
    });
  };
  peers.reserve(2);
  http_store_options options;
  options.addresses = {"127.0.0.1:" +
                       std::to_string(acceptor.local_endpoint().port())};
  MakeStore(options);
  accept("a");
  ASSERT_TRUE(Get("a"));
  boost::asio::write(peers[0], boost::asio::buffer(answer("a")));
  accept("b");
  const auto next = Get("b");
  ASSERT_TRUE(next);
  EXPECT_EQ(next->name, "b");
}

// Guards against an interim response that counts as the answer: the final one
// would be taken for that to the next call.
TEST_F(http_store_test, InterimResponseIsSkipped) {
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(
      context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string interim = "HTTP/1.1 103 Early\r\n\r\n";
  const auto body = MakeResponse("/v1/objects/a").body;
  const auto answer = interim + "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
  std::optional<tcp::socket> peer;
  boost::asio::steady_timer later(context_);
  acceptor.async_accept([&](const auto&, tcp::socket socket) {
    peer = std::move(socket);
    boost::asio::write(*peer, boost::asio::buffer(interim));
    later.expires_after(milliseconds(30));
    later.async_wait(
        [&](auto) { boost::asio::write(*peer, boost::asio::buffer(answer)); });
  });
  http_store_options options;
  options.addresses = {"127.0.0.1:" +
                       std::to_string(acceptor.local_endpoint().port())};
  MakeStore(options);
  const auto got = Get("a");
  ASSERT_TRUE(got) << got.error().detail;
  EXPECT_EQ(got->name, "a");
}

// Guards against lists that a busy process reads too slowly, because other work
// of the event loop comes between many small reads.
TEST_F(http_store_test, LargeListIsReadByABusyProcess) {
  MakeStore({});
  body_ = LargeList();
  int rounds = 0;
  bool done = false;
  std::function<void()> work = [&] {
    if (done) return;
    ++rounds;
    boost::asio::post(context_, work);
  };
  boost::asio::post(context_, work);
  const auto listed = List();
  done = true;
  context_.poll();  // `work` ends before what it refers to
  EXPECT_TRUE(listed) << listed.error().detail;
  // Some for each 64 KB; one for each 512 bytes would be 2,000.
  EXPECT_LT(rounds, 200);
}

// Guards against lists that are never read over a narrow link: each call ends
// at a limit that leaves out their size.
TEST_F(http_store_test, LargeListIsReadOverANarrowLink) {
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(
      context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const auto body = LargeList();
  std::string left =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  constexpr std::size_t kPart = 100'000;
  std::optional<tcp::socket> peer;
  boost::asio::steady_timer later(context_);
  std::function<void()> send = [&] {
    boost::asio::write(*peer, boost::asio::buffer(left.substr(0, kPart)));
    left.erase(0, kPart);
    if (left.empty()) return;
    later.expires_after(milliseconds(100));
    later.async_wait([&](auto) { send(); });
  };
  acceptor.async_accept([&](const auto&, tcp::socket socket) {
    peer = std::move(socket);
    send();
  });
  http_store_options options;
  options.addresses = {"127.0.0.1:" +
                       std::to_string(acceptor.local_endpoint().port())};
  options.call_limit = milliseconds(400);
  MakeStore(options);
  const auto listed = List();
  EXPECT_TRUE(listed) << listed.error().detail;
}

// Guards against a connection that is used again after a status that does not
// exist, and against a write that counts as not done by it.
TEST_F(http_store_test, StatusThatDoesNotExistIsNoAnswer) {
  MakeStore({});
  status_ = 999;
  EXPECT_EQ(Get("a").error().code, error_code::kUnavailable);
  EXPECT_EQ(Put("a").error().cause.code, error_code::kOutcomeUnknown);
  status_ = 200;
  EXPECT_TRUE(Get("b"));
  EXPECT_EQ(server_.accepted(), 3);
}

// Guards against one odd element that hides a whole list, and against an
// element without a readable version or value that counts as removed.
TEST_F(http_store_test, OddElementOfAListCostsOnlyItself) {
  http_store_options options;
  std::vector<std::string> reports;
  options.report_unreadable = [&](const auto& target, const auto& detail) {
    reports.push_back(target + ": " + detail);
  };
  MakeStore(options);
  const std::string nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  const auto element = [](const std::string& name, const std::string& version,
                          const std::string& value) {
    return ",{\"name\":" + name + ",\"version\":" + version +
           ",\"value\":" + value + "}";
  };
  const std::string unreadable =
      ",7,null,\"a/x\",[],{}" + element("7", "1", "1") +
      element("\"a\xff\"", "1", "1") + element("\"b/x\"", "1", "1") +
      element("\"a\"", "1", "1");
  body_ = "{\"items\":[{\"name\":\"a/1\",\"version\":5,\"value\":{\"b\":1}}" +
          unreadable + element("\"a/2\"", "6", nested) +
          element("\"a/3\"", "7", "\"\xff\"") +
          element("\"a/4\"", "\"x\"", "3") + element("\"a/5\"", "8", "4") +
          "],\"revision\":9}";
  const auto list = [this] {
    return Await<result<object_list>>(
        [&](auto done) { store_->List("a/", std::move(done)); });
  };
  const auto watched = Await<result<object_list>>([&](auto done) {
    store_->Watch("a/", revision(1), milliseconds(100), std::move(done));
  });
  for (const auto& listed : {list(), list(), watched}) {
    ASSERT_TRUE(listed) << listed.error().detail;
    EXPECT_EQ(listed->as_of, revision(9));
    ASSERT_EQ(listed->items.size(), 5U);
    EXPECT_EQ(listed->items[0].value, nlohmann::json({{"b", 1}}));
    EXPECT_EQ(listed->items[1].name, "a/2");
    EXPECT_EQ(listed->items[1].version, revision(6));
    EXPECT_TRUE(listed->items[1].value.is_null());
    EXPECT_TRUE(listed->items[2].value.is_null());
    EXPECT_EQ(listed->items[3].version, revision());
    EXPECT_EQ(listed->items[4].version, revision(8));
  }
  EXPECT_EQ(reports.size(), 2U) << "once for each target";
  body_ = "{\"items\":7,\"revision\":9}";
  EXPECT_FALSE(list());
  body_ = "{\"items\":[]}";
  EXPECT_FALSE(list());
}

TEST_F(http_store_test, OddHostOfAListCostsOnlyItself) {
  MakeStore({});
  body_ = R"({"hosts":[7,{"id":7,"state":"live"},{"id":"a","state":"leaving"},
      {"id":"b"},{"id":"c","state":"live"}]})";
  const auto hosts = Await<result<std::vector<listed_host>>>(
      [&](auto done) { store_->ListHosts(std::move(done)); });
  ASSERT_TRUE(hosts) << hosts.error().detail;
  ASSERT_EQ(hosts->size(), 2U);
  EXPECT_EQ(hosts->front().id, host_id("a"));
  EXPECT_TRUE(hosts->front().leaving);
  EXPECT_EQ(hosts->back().id, host_id("c"));
}

// Guards against an object that cannot be replaced, because its value cannot be
// read.
TEST_F(http_store_test, ObjectWithAnUnreadableValueIsRead) {
  MakeStore({});
  body_ = R"({"name":"a","version":3,"value":)" + std::string(100'000, '[') +
          std::string(100'000, ']') + "}";
  const auto got = Get("a");
  ASSERT_TRUE(got) << got.error().detail;
  EXPECT_EQ(got->version, revision(3));
  EXPECT_TRUE(got->value.is_null());
  status_ = 409;
  const auto written = Put("a");
  ASSERT_FALSE(written);
  EXPECT_EQ(written.error().cause.code, error_code::kConflict);
  EXPECT_TRUE(written.error().conflict->current);
  status_ = 200;
  body_ = R"({"name":"a","version":3})";
  EXPECT_FALSE(Get("a"));
}

// Guards against an unreachable first address that fails every call.
TEST_F(http_store_test, NextAddressIsUsedWhenOneRefuses) {
  http_server closed(context_, [](const auto&) {});
  const auto refused = closed.Listen("127.0.0.1:0").value();
  closed.Stop();
  http_store_options options;
  options.addresses = {refused, address_};
  MakeStore(options);
  EXPECT_TRUE(Put("a"));
  EXPECT_TRUE(Get("a"));
}

// Guards against reporting a write with a truncated or ambiguous response as
// not written.
TEST_F(http_store_test, AmbiguousWriteResponseLeavesTheOutcomeUnknown) {
  MakeStore({});
  fault_ = standins::answer_fault::kTruncate;
  EXPECT_EQ(Put("a").error().cause.code, error_code::kOutcomeUnknown);
  EXPECT_EQ(Get("a").error().code, error_code::kUnavailable);
  fault_ = standins::answer_fault::kNone;
  status_ = 503;
  EXPECT_EQ(Put("a").error().cause.code, error_code::kOutcomeUnknown);
  EXPECT_EQ(Get("a").error().code, error_code::kUnavailable);
}

// Guards against callbacks into a destroyed owner of the store.
TEST_F(http_store_test, DestroyedStoreRunsNoCallback) {
  MakeStore({});
  bool called = false;
  store_->Get("a", [&](const auto&) { called = true; });
  store_->Put("a", 1, std::nullopt, [&](const auto&) { called = true; });
  store_.reset();
  context_.run_for(milliseconds(50));
  EXPECT_FALSE(called);
}

TEST(http_store_options, InvalidAddressesAreRefused) {
  boost::asio::io_context context;
  for (const std::string address :
       {"", "localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
        "127.0.0.1:65536", "127.0.0.1:1x"}) {
    http_store_options options;
    options.addresses = {address};
    EXPECT_FALSE(http_object_store::Create(context, options)) << address;
  }
  EXPECT_FALSE(http_object_store::Create(context, {}));
}

}  // namespace
}  // namespace bluebell::store
