#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <thread>

#include "test_processes.h"

namespace bluebell::daemon {
namespace {

using std::chrono::seconds;

std::string Bearer(const std::string& key) {
  return "Authorization: Bearer " + key;
}

std::string Completion(int max_tokens, bool stream = false) {
  return nlohmann::json{{"model", "m"},
                        {"prompt", "carve a rose"},
                        {"max_tokens", max_tokens},
                        {"stream", stream}}
      .dump();
}

std::string Order(const std::string& id) {
  return nlohmann::json{{"order", id}}.dump();
}

/// Three hosts, two engines that hold model "m", one order service.
class end_to_end : public ::testing::Test {
 protected:
  void SetUp() override {
    cluster_.StartPlatform();
    cluster_.StartEngine("engine-0", "m:1000", {"--tokens-per-second", "200"});
    cluster_.StartEngine("engine-1", "m:1000", {"--tokens-per-second", "200"});
    cluster_.StartService("orders-0");
    for (int i = 0; i < 3; ++i) cluster_.StartHost(i);
    ASSERT_TRUE(WaitUntil([this] { return HostsKnown() == 3; }));
    key_ = cluster_.AddAccount("ndiaye", 100'000, 500'000);
    cluster_.PutRow("models", "m",
                    {{"id", "m"}, {"memory_bytes", 1000}, {"min_copies", 1}});
    cluster_.RegisterEngine("engine-0", 10'000);
    cluster_.RegisterEngine("engine-1", 10'000);
    cluster_.RegisterService("orders-0", "orders");
    cluster_.PutRow("routes", "orders",
                    {{"id", "orders"},
                     {"prefix", "/orders"},
                     {"group", "orders"},
                     {"open", false},
                     {"repeatable", false}});
    ASSERT_TRUE(cluster_.WaitReady());
    for (int i = 0; i < 3; ++i) {
      ASSERT_TRUE(WaitUntil([&] { return Complete(i, 4).status == 200; })) << i;
    }
  }

  std::size_t HostsKnown() {
    const auto reply =
        Call(cluster_.host_address(0), "GET", "/v1/entry-hosts?zone=z0");
    return reply.status == 200 ? reply.json()["hosts"].size() : 0;
  }

  http_reply Complete(int host, int max_tokens, bool stream = false) {
    return Call(cluster_.host_address(host), "POST", "/v1/completions",
                Completion(max_tokens, stream), {Bearer(key_)});
  }

  http_reply SendOrder(int host, const std::string& id) {
    return Call(cluster_.host_address(host), "POST", "/orders", Order(id),
                {Bearer(key_), "Idempotency-Key: " + id});
  }

  int RunsOf(const std::string& order) {
    const auto runs =
        Call(cluster_.address_of("orders-0"), "GET", "/admin/runs").json();
    return runs["runs"].value(order, 0);
  }

  void SetFaults(const std::string& address, const nlohmann::json& faults) {
    ASSERT_EQ(Call(address, "POST", "/admin/faults", faults.dump()).status,
              200);
  }

  test_cluster cluster_;
  std::string key_;
};

TEST_F(end_to_end, ServesWholeStreamedAndOrderedRequests) {
  const auto whole = Complete(0, 8);
  EXPECT_EQ(whole.status, 200) << whole.body;
  EXPECT_EQ(whole.json()["usage"].value("completion_tokens", 0), 8);
  const auto streamed = Complete(1, 8, true);
  EXPECT_TRUE(streamed.complete);
  EXPECT_NE(streamed.body.find("[DONE]"), std::string::npos);
  const auto first = SendOrder(0, "o-1");
  EXPECT_EQ(first.status, 200) << first.body;
  const auto repeat = SendOrder(2, "o-1");
  EXPECT_EQ(repeat.body, first.body);
  EXPECT_EQ(RunsOf("o-1"), 1);
}

// Guards against a second execution when the host that sent the order dies and
// the caller retries at another host.
TEST_F(end_to_end, OrderRunsOnceWhenItsHostIsKilled) {
  SetFaults(cluster_.address_of("orders-0"), {{"delay_ms", 500}});
  std::thread caller([this] { SendOrder(1, "o-2"); });
  ASSERT_TRUE(WaitUntil([this] {
    const auto seen =
        Call(cluster_.address_of("orders-0"), "GET", "/admin/requests");
    return seen.body.find("o-2") != std::string::npos;
  }));
  cluster_.host(1).Kill();
  caller.join();
  const auto repeat = SendOrder(0, "o-2");
  EXPECT_EQ(repeat.json().value("code", ""), "outcome_unknown") << repeat.body;
  ASSERT_TRUE(WaitUntil([this] { return RunsOf("o-2") == 1; }));
  SendOrder(2, "o-2");
  EXPECT_EQ(RunsOf("o-2"), 1);
}

// Guards against a paused host that resumes and sends an order which the caller
// has meanwhile retried at another host.
TEST_F(end_to_end, OrderRunsAtMostOnceWhenItsHostIsPaused) {
  SetFaults(cluster_.address_of("orders-0"), {{"delay_ms", 300}});
  std::thread caller([this] { SendOrder(1, "o-3"); });
  cluster_.host(1).Signal(SIGSTOP);
  SendOrder(0, "o-3");
  cluster_.host(1).Signal(SIGCONT);
  caller.join();
  SendOrder(2, "o-3");
  EXPECT_LE(RunsOf("o-3"), 1);
}

TEST_F(end_to_end, PlatformOutageKeepsCompletionsAndRefusesOrdersUnrun) {
  SetFaults(cluster_.platform_address(), {{"outage", true}});
  // Longer than the lease of 15 s, which must not expire in an outage.
  std::this_thread::sleep_for(seconds(20));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Complete(i, 4).status, 200) << i;
  const auto order = SendOrder(0, "o-4");
  EXPECT_EQ(order.json().value("code", ""), "platform_unavailable")
      << order.body;
  EXPECT_EQ(order.json().value("executed", ""), "no");
  EXPECT_EQ(RunsOf("o-4"), 0);
  SetFaults(cluster_.platform_address(), {{"outage", false}});
  ASSERT_TRUE(WaitUntil([this] { return SendOrder(0, "o-4").status == 200; }));
  EXPECT_EQ(RunsOf("o-4"), 1);
}

TEST_F(end_to_end, WithdrawnKeyStopsOnEveryHost) {
  std::ofstream(::testing::TempDir() + "withdrawn.key") << key_;
  EXPECT_EQ(cluster_.Ctl({"key", "withdraw", "--key-file",
                          ::testing::TempDir() + "withdrawn.key"}),
            0);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(
        WaitUntil([&] { return Complete(i, 4).status == 401; }, seconds(5)))
        << i;
  }
}

// Guards against a shutdown that breaks a stream. The stream takes 13 s, longer
// than the 10 s for which a leaving host still accepts.
TEST_F(end_to_end, GracefulShutdownFinishesOpenStreams) {
  http_reply stream;
  std::thread caller([&] { stream = Complete(1, 2600, true); });
  ASSERT_TRUE(WaitUntil([this] {
    return Call(cluster_.host_address(1), "GET", "/metrics")
               .body.find("bluebell_state{name=\"open_requests\"} 2") !=
           std::string::npos;
  }));
  cluster_.host(1).Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil([this] { return HostsKnown() == 2; }));
  caller.join();
  EXPECT_TRUE(stream.complete);
  EXPECT_NE(stream.body.find("[DONE]"), std::string::npos);
  EXPECT_EQ(cluster_.host(1).Wait(seconds(40)), 0);
}

// Guards against lost or duplicated tokens when the engine of a stream dies.
TEST_F(end_to_end, StreamResumesWhenItsEngineIsKilled) {
  http_reply stream;
  std::thread caller([&] { stream = Complete(0, 300, true); });
  std::string busy;
  ASSERT_TRUE(WaitUntil([&] {
    for (const std::string id : {"engine-0", "engine-1"}) {
      const auto load = Call(cluster_.address_of(id), "GET", "/v1/load").json();
      if (load.value("running", 0) > 0) busy = id;
    }
    return !busy.empty();
  }));
  cluster_.endpoint(busy).Kill();
  caller.join();
  EXPECT_TRUE(stream.complete);
  std::size_t tokens = 0;
  for (int index = 0; index < 300; ++index) {
    const std::string mark = "\"index\":" + std::to_string(index) + ",";
    const auto first = stream.body.find(mark);
    EXPECT_NE(first, std::string::npos) << index;
    EXPECT_EQ(stream.body.find(mark, first + 1), std::string::npos) << index;
    ++tokens;
  }
  EXPECT_EQ(tokens, 300u);
}

}  // namespace
}  // namespace bluebell::daemon
