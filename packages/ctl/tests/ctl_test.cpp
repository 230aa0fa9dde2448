#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

#include "admin/admin_service.h"
#include "base/digest.h"
#include "config/tests/config_fleet.h"
#include "ctl/cli.h"
#include "ctl/http_client.h"
#include "ctl/timeline.h"

namespace bluebell::ctl {
namespace {

using nlohmann::json;
using std::chrono::seconds;

const std::string kOperatorKey = "operator-key";

/// Calls the admin operations of one simulated host.
class direct_client final : public admin_client {
 public:
  using before_call = std::function<void(const http_request&)>;

  direct_client(std::string address, std::string key,
                admin::admin_service* service, config::config_fleet& fleet,
                before_call before)
      : address_(std::move(address)),
        key_(std::move(key)),
        service_(service),
        fleet_(fleet),
        before_(std::move(before)) {}

  const std::string& address() const override { return address_; }

  result<http_answer> Call(const http_request& request) override {
    if (service_ == nullptr) return Fail(error_code::kUnavailable, address_);
    if (before_) before_(request);
    const auto question = request.target.find('?');
    admin::admin_request admin{request.method,
                               request.target.substr(0, question),
                               "",
                               request.if_match,
                               key_,
                               request.body};
    if (question != std::string::npos) {
      admin.query = request.target.substr(question + 1);
    }
    result<http_answer> given = Fail(error_code::kOutcomeUnknown, address_);
    service_->Handle(admin, [&](const admin::admin_response& answer) {
      given = http_answer{answer.status, answer.body};
    });
    fleet_.clock.Advance(seconds(15));
    return given;
  }

 private:
  std::string address_;
  std::string key_;
  admin::admin_service* service_;
  config::config_fleet& fleet_;
  before_call before_;
};

/// The command line against a fleet of three; address "h:<n>" is host h<n>,
/// every other address refuses connections.
class ctl_test : public ::testing::Test {
 protected:
  ctl_test() {
    fleet_.StartAll();
    for (int i = 0; i < 3; ++i) {
      auto& host = *fleet_.hosts[i];
      services_["h:" + std::to_string(i)] =
          std::make_unique<admin::admin_service>(
              std::vector<std::string>{Sha256Hex(kOperatorKey)}, host.editor,
              host.active_config, host.fleet, host.events,
              admin::daemon_hooks{[this, i] { drained_.push_back(i); }, {}});
    }
    Write(key_file_, kOperatorKey + "\n");
  }
  ~ctl_test() override {
    std::remove(key_file_.c_str());
    std::remove(file_.c_str());
  }

  static void Write(const std::string& name, const std::string& text) {
    std::ofstream(name, std::ios::binary) << text;
  }

  int Run(std::vector<std::string> arguments,
          const std::string& admin = "h:9,h:0,h:1,h:2") {
    arguments.insert(arguments.end(),
                     {"--admin", admin, "--operator-key-file", key_file_});
    return RunPlain(arguments);
  }

  int RunPlain(const std::vector<std::string>& arguments) {
    out_.str("");
    err_.str("");
    std::istringstream in(input_);
    const auto factory = [this](const std::string& address,
                                const std::string& key) {
      const auto found = services_.find(address);
      return std::make_unique<direct_client>(
          address, key,
          found == services_.end() ? nullptr : found->second.get(), fleet_,
          before_);
    };
    return static_cast<int>(RunCli(arguments, factory, in, out_, err_));
  }

  bool Shows(const std::ostringstream& stream, const std::string& text) const {
    return stream.str().find(text) != std::string::npos;
  }

  config::config_fleet fleet_{3};
  std::map<std::string, std::unique_ptr<admin::admin_service>> services_;
  std::vector<int> drained_;
  direct_client::before_call before_;
  std::string input_;
  std::ostringstream out_;
  std::ostringstream err_;
  std::string key_file_ = ::testing::TempDir() + "bluebell_ctl_key";
  std::string file_ = ::testing::TempDir() + "bluebell_ctl_file";
};

TEST_F(ctl_test, SetsListsAndRemovesRows) {
  EXPECT_EQ(Run({"table", "set", "accounts", "ndiaye", "rate=1", "burst=2",
                 "--create"}),
            0);
  EXPECT_EQ(Run({"table", "set", "accounts", "ndiaye", "rate=100"}), 0);
  EXPECT_EQ(fleet_.Rate(2, "ndiaye"), 100);
  EXPECT_EQ(Run({"table", "get", "accounts", "ndiaye", "--json"}), 0);
  EXPECT_EQ(json::parse(out_.str())["row"]["burst"], 2);
  EXPECT_EQ(Run({"table", "list", "accounts"}), 0);
  EXPECT_TRUE(Shows(out_, "ndiaye"));
  EXPECT_EQ(Run({"table", "remove", "accounts", "ndiaye"}), 0);
  EXPECT_EQ(fleet_.Rate(1, "ndiaye"), -1);
  EXPECT_EQ(Run({"table", "get", "accounts", "ndiaye"}), 1);
}

// Guards against a wrong exit code, on which operators' scripts depend.
TEST_F(ctl_test, ReturnsTheDocumentedExitCodes) {
  Run({"table", "set", "accounts", "a", "rate=1", "burst=2", "--create"});
  const std::vector<std::pair<std::vector<std::string>, int>> cases = {
      {{}, 2},
      {{"nothing"}, 2},
      {{"table"}, 2},
      {{"table", "list", "nothing"}, 2},
      {{"table", "set", "accounts", "a"}, 2},
      {{"table", "set", "accounts", "a", "rate"}, 2},
      {{"table", "set", "accounts", "a", "rate=x"}, 2},
      {{"table", "set", "accounts", "a", "id=b"}, 2},
      {{"table", "set", "accounts", "a", "speed=1"}, 2},
      {{"table", "set", "accounts", "a", "rate=-1"}, 1},
      {{"table", "set", "accounts", "b", "rate=1"}, 1},
      {{"table", "set", "accounts", "b", "rate=1", "--create"}, 1},
      {{"table", "set", "accounts", "a", "rate=3", "burst=3", "--create"}, 3},
      {{"table", "remove", "accounts", "b"}, 1},
      {{"table", "import", "accounts", file_ + ".absent"}, 2},
      {{"key", "grant", "--account", "b"}, 1},
      {{"key", "withdraw"}, 2},
      {{"key", "withdraw", "--digest", "bbr-secret"}, 2},
      {{"key", "withdraw", "--digest", std::string(64, '0')}, 1},
      {{"key", "withdraw", "--digest", std::string(64, '0'), "--key-file", "f"},
       2},
      {{"host", "drain", "h7"}, 4},
  };
  for (const auto& [arguments, code] : cases) {
    EXPECT_EQ(Run(arguments), code)
        << ::testing::PrintToString(arguments) << err_.str();
    EXPECT_FALSE(Shows(err_, "secret"));
  }
  for (const std::vector<std::string>& command :
       std::vector<std::vector<std::string>>{{"table", "list", "accounts"},
                                             {"status"},
                                             {"timeline"},
                                             {"host", "list"},
                                             {"host", "drain", "h0"}}) {
    EXPECT_EQ(Run(command, "h:8,h:9"), 4);
    EXPECT_EQ(Run(command, "h:x"), 2);
  }
  EXPECT_EQ(RunPlain({"status", "--admin", "h:0"}), 2);
  EXPECT_EQ(RunPlain({"status", "--admin", "h:0", "--operator-key-file", "-"}),
            2);
  Write(key_file_, "wrong");
  EXPECT_EQ(Run({"status"}), 1);
}

TEST_F(ctl_test, ExplainsExitCodesAtEveryLevel) {
  for (const std::vector<std::string>& command :
       std::vector<std::vector<std::string>>{{},
                                             {"table"},
                                             {"table", "import"},
                                             {"key"},
                                             {"key", "withdraw"},
                                             {"host", "drain"},
                                             {"timeline"}}) {
    auto arguments = command;
    arguments.emplace_back("--help");
    EXPECT_EQ(RunPlain(arguments), 0);
    EXPECT_TRUE(Shows(out_, "5 stored but not confirmed")) << out_.str();
  }
}

// Guards against a lost update between the read and the write of `table set`.
TEST_F(ctl_test, ConflictShowsTheOtherRowAndExitsWith3) {
  Run({"table", "set", "accounts", "a", "rate=1", "burst=2", "--create"});
  before_ = [this](const http_request& request) {
    if (request.method != "PUT") return;
    const auto* held = fleet_.hosts[0]->active_config.FindStored("accounts/a");
    fleet_.SetRate(1, "a", 77, held->version);
    fleet_.clock.Advance(seconds(1));
  };
  EXPECT_EQ(Run({"table", "set", "accounts", "a", "rate=5"}), 3);
  EXPECT_TRUE(Shows(err_, "\"rate\":77")) << err_.str();
  EXPECT_EQ(fleet_.Rate(0, "a"), 77);
}

TEST_F(ctl_test, UnconfirmedEditExitsWith5AndMayBeRepeated) {
  fleet_.Partition({0}, {1, 2});
  const std::vector<std::string> command = {
      "table", "set", "accounts", "a", "rate=1", "burst=2", "--create"};
  EXPECT_EQ(Run(command), 5);
  fleet_.Partition({0}, {1, 2}, false);
  EXPECT_EQ(Run(command), 0);
}

// Guards against an import that writes what did not change, stops half-way or
// overwrites the edit of someone else.
TEST_F(ctl_test, ImportsWhatAnExportWrote) {
  Run({"table", "set", "accounts", "a", "rate=1", "burst=2", "--create"});
  Run({"table", "set", "accounts", "b", "rate=1", "burst=2", "--create"});
  ASSERT_EQ(Run({"table", "export", "accounts", file_}), 0);
  const auto puts = fleet_.platform.counts().puts;
  EXPECT_EQ(Run({"table", "import", "accounts", file_}), 0);
  EXPECT_EQ(fleet_.platform.counts().puts, puts);
  Run({"table", "set", "accounts", "a", "rate=9"});
  input_ =
      "id,weight,rate,burst,priority,revision\n"
      "a,1,5,2,5,1\nb,1,6,2,5,2\nc,1,7,2,5,\n";
  EXPECT_EQ(Run({"table", "import", "accounts", "-", "--json"}), 3);
  EXPECT_TRUE(Shows(out_, "\"conflicts\": 1"));
  EXPECT_TRUE(Shows(out_, "\"written\": 2"));
  EXPECT_EQ(fleet_.Rate(0, "a"), 9);
  EXPECT_EQ(fleet_.Rate(0, "b"), 6);
  EXPECT_EQ(fleet_.Rate(0, "c"), 7);
}

// Guards against a key that is stored, shown twice, or works after its
// withdrawal although another edit came in between.
TEST_F(ctl_test, GrantsAndWithdrawsKeys) {
  Run({"table", "set", "accounts", "a", "rate=1", "burst=2", "--create"});
  ASSERT_EQ(Run({"key", "grant", "--account", "a", "--json"}), 0);
  const auto granted = json::parse(out_.str());
  const std::string key = granted["key"];
  const std::string digest = granted["digest"];
  EXPECT_EQ(digest, Sha256Hex(key));
  EXPECT_NE(fleet_.hosts[2]->active_config.FindActiveKey(digest), nullptr);
  Run({"table", "list", "keys"});
  EXPECT_TRUE(Shows(out_, digest));
  EXPECT_FALSE(Shows(out_, key));
  Write(file_, key + "\n");
  bool raced = false;
  before_ = [&](const http_request& request) {
    if (request.method != "PUT" || std::exchange(raced, true)) return;
    const auto* held =
        fleet_.hosts[0]->active_config.FindStored("keys/" + digest);
    fleet_.Put(1, "keys", digest, {{"account", "b"}}, held->version);
    fleet_.clock.Advance(seconds(1));
  };
  EXPECT_EQ(Run({"key", "withdraw", "--key-file", file_}), 0);
  EXPECT_TRUE(raced);
  for (const auto& host : fleet_.hosts) {
    EXPECT_EQ(host->active_config.FindActiveKey(digest), nullptr);
  }
}

// Guards against a drain of the wrong host when an address does not answer.
TEST_F(ctl_test, DrainsOnlyTheNamedHost) {
  EXPECT_EQ(Run({"host", "drain", "h1"}), 0);
  EXPECT_EQ(drained_, std::vector<int>{1});
  EXPECT_EQ(Run({"host", "drain", "h1"}, "h:0,h:2"), 1);
  EXPECT_EQ(drained_.size(), 1u);
  EXPECT_EQ(Run({"host", "list"}), 0);
  EXPECT_TRUE(Shows(out_, "h2"));
  EXPECT_EQ(Run({"status", "--json"}), 0);
  EXPECT_EQ(json::parse(out_.str()).size(), 3u);
}

// Guards against a time line that shows events of different hosts in the wrong
// order.
TEST_F(ctl_test, MergesTimelinesByHybridTime) {
  const auto event = [](int wall, int counter, const char* name) {
    return json{{"wall_us", wall}, {"counter", counter}, {"name", name}};
  };
  const json merged = MergeTimelines(
      {{{"host", "a"}, {"events", {event(1, 0, "1"), event(5, 2, "4")}}},
       {{"host", "b"}, {"events", {event(2, 0, "2"), event(5, 1, "3")}}}});
  ASSERT_EQ(merged.size(), 4u);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(merged[i]["name"], std::to_string(i + 1));
  const json trace = ToTraceEvents(merged)["traceEvents"];
  ASSERT_EQ(trace.size(), 6u);
  EXPECT_EQ(trace[0]["args"]["name"], "a");
  EXPECT_EQ(trace[1]["pid"], trace[0]["pid"]);
  EXPECT_NE(trace[3]["pid"], trace[0]["pid"]);
  EXPECT_EQ(Run({"timeline"}), 0);
  EXPECT_TRUE(Shows(out_, "config_complete"));
  EXPECT_EQ(Run({"timeline", "--trace-event", file_}), 0);
  std::ifstream file(file_);
  EXPECT_FALSE(json::parse(file)["traceEvents"].empty());
}

}  // namespace
}  // namespace bluebell::ctl
