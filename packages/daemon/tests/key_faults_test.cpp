#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "base/digest.h"
#include "fault_test_cluster.h"

namespace bluebell::daemon {
namespace {

using std::chrono::seconds;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Three hosts, an engine with model "m", the order service and an open route.
/// Two accounts have keys.
class key_faults : public ::testing::Test {
 protected:
  void SetUp() override {
    cluster_.StartHosts();
    cluster_.AddOrders();
    cluster_.PutRow("routes", "catalogue",
                    {{"id", "catalogue"},
                     {"prefix", "/catalogue"},
                     {"group", "orders"},
                     {"open", true},
                     {"repeatable", true}});
    other_ = cluster_.AddAccount("gallagher", 1'000'000, 5'000'000);
    cluster_.AddModel("m", 100);
    cluster_.AddEngine("engine-0", 0, 1000, true);
    ASSERT_TRUE(cluster_.WaitReady());
    for (int host : {0, 1, 2}) {
      ASSERT_TRUE(WaitUntil(
          [&] { return cluster_.Complete(host, "m").status == 200; }));
    }
  }

  static void SendCompletion(caller_connection& caller,
                             const std::string& key) {
    caller.Send("POST", "/v1/completions", CompletionBody("m", 2),
                {Bearer(key)});
  }

  void Withdraw(const std::string& key, const std::string& account) {
    const std::string digest = Sha256Hex(key);
    const std::string target = "/admin/v1/config/keys/" + digest;
    const auto row = cluster_.Admin(0, "GET", target).json();
    const nlohmann::json withdrawn = {
        {"digest", digest}, {"account", account}, {"withdrawn", true}};
    ASSERT_EQ(cluster_
                  .Admin(0, "PUT", target, withdrawn.dump(),
                         row.value("revision", std::uint64_t{0}))
                  .status,
              200);
  }

  fault_test_cluster cluster_;
  std::string other_;
};

// Guards against a connection that keeps the authorization of earlier requests:
// each pipelined request is authorized by its own key, and a withdrawn key is
// rejected on connections that were opened before.
TEST_F(key_faults, KeysCountPerRequestOnAnOpenConnection) {
  for (int host : {0, 1, 2}) {
    caller_connection caller(cluster_.host_address(host));
    SendCompletion(caller, cluster_.key());
    SendCompletion(caller, "unknown-key");
    SendCompletion(caller, other_);
    SendCompletion(caller, "");
    EXPECT_EQ(caller.Read().status, 200);
    EXPECT_EQ(caller.Read().status, 401);
    EXPECT_EQ(caller.Read().status, 200);
    EXPECT_EQ(caller.Read().status, 401);
  }
  std::vector<std::unique_ptr<caller_connection>> callers;
  for (int host : {0, 1, 2}) {
    callers.push_back(
        std::make_unique<caller_connection>(cluster_.host_address(host)));
    SendCompletion(*callers.back(), other_);
    EXPECT_EQ(callers.back()->Read().status, 200);
  }
  Withdraw(other_, "gallagher");
  for (auto& caller : callers) {
    EXPECT_TRUE(WaitUntil(
        [&] {
          SendCompletion(*caller, other_);
          return caller->Read().status == 401;
        },
        seconds(5)));
    SendCompletion(*caller, cluster_.key());
    EXPECT_EQ(caller->Read().status, 200);
  }
}

// Guards against an account that receives the recorded answer of another one.
TEST_F(key_faults, IdempotencyKeysBelongToOneAccount) {
  const auto first = cluster_.SendOrder(0, "shared");
  ASSERT_EQ(first.status, 200) << first.body;
  const auto of_other =
      Call(cluster_.host_address(1), "POST", "/orders", OrderBody("of-other"),
           {Bearer(other_), "Idempotency-Key: shared"});
  EXPECT_EQ(of_other.status, 200) << of_other.body;
  EXPECT_EQ(of_other.json().value("order", ""), "of-other");
  EXPECT_EQ(cluster_.SendOrder(2, "shared").body, first.body);
  EXPECT_EQ(cluster_.Runs("shared"), 1);
  EXPECT_EQ(cluster_.Runs("of-other"), 1);
}

// Guards against a key that leaks to an endpoint, a log, the metrics or the
// timeline, also through an open route or another part of the request.
TEST_F(key_faults, NoKeyLeavesTheHost) {
  const std::string target = "/catalogue";
  EXPECT_EQ(Call(cluster_.host_address(0), "GET", target).status, 200);
  EXPECT_EQ(Call(cluster_.host_address(0), "GET", target, "",
                 {Bearer(cluster_.key())})
                .status,
            200);
  EXPECT_EQ(cluster_.SendOrder(0, "plain").status, 200);
  const auto send_with_key = [&](const std::string& path,
                                 const std::string& body,
                                 std::vector<std::string> fields) {
    fields.push_back(Bearer(cluster_.key()));
    return Call(cluster_.host_address(0), "POST", path, body, fields).status;
  };
  EXPECT_EQ(send_with_key("/orders", OrderBody("a"),
                          {"Idempotency-Key: " + cluster_.key()}),
            400);
  EXPECT_EQ(send_with_key("/orders", OrderBody(cluster_.key()),
                          {"Idempotency-Key: b"}),
            400);
  EXPECT_EQ(send_with_key(target + "?k=" + cluster_.key(), "", {}), 400);
  EXPECT_EQ(
      send_with_key("/v1/completions", CompletionBody(cluster_.key(), 2), {}),
      400);
  for (const std::string id : {"engine-0", "orders-0"}) {
    const auto seen =
        Call(cluster_.address_of(id), "GET", "/admin/requests").body;
    EXPECT_NE(seen.find("requests"), std::string::npos);
    EXPECT_EQ(seen.find(cluster_.key()), std::string::npos) << id;
    EXPECT_EQ(seen.find("Bearer"), std::string::npos) << id;
  }
  for (int host : {0, 1, 2}) {
    EXPECT_EQ(ReadFile(cluster_.log_file("host-" + std::to_string(host)))
                  .find(cluster_.key()),
              std::string::npos);
    EXPECT_EQ(Call(cluster_.host_address(host), "GET", "/metrics")
                  .body.find(cluster_.key()),
              std::string::npos);
    const auto line = cluster_.Admin(host, "GET", "/admin/v1/timeline?after=0");
    EXPECT_EQ(line.status, 200);
    EXPECT_EQ(line.body.find(cluster_.key()), std::string::npos);
  }
}

// Guards against a host isolated from platform and peers that still accepts a
// key which may have been withdrawn elsewhere.
TEST_F(key_faults, IsolatedHostRefusesEveryKey) {
  caller_connection caller(cluster_.host_address(1));
  SendCompletion(caller, cluster_.key());
  ASSERT_EQ(caller.Read().status, 200);
  cluster_.SetFaults(cluster_.platform_address(), {{"outage", true}});
  cluster_.host(0).Signal(SIGSTOP);
  cluster_.host(2).Signal(SIGSTOP);
  http_reply last;
  EXPECT_TRUE(WaitUntil(
      [&] {
        SendCompletion(caller, cluster_.key());
        last = caller.Read();
        return last.json().value("code", "") == "host_isolated";
      },
      seconds(12)))
      << last.body;
  EXPECT_EQ(last.json().value("executed", ""), "no");
  EXPECT_NE(last.body.find(cluster_.host_address(0)), std::string::npos)
      << last.body;
  cluster_.host(0).Signal(SIGCONT);
  cluster_.host(2).Signal(SIGCONT);
  cluster_.SetFaults(cluster_.platform_address(), {{"outage", false}});
  EXPECT_TRUE(
      WaitUntil([&] { return cluster_.Complete(1, "m").status == 200; }));
}

}  // namespace
}  // namespace bluebell::daemon
