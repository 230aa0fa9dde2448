#include "admin/admin_service.h"

#include <gtest/gtest.h>

#include "base/digest.h"
#include "config/tests/config_fleet.h"

namespace bluebell::admin {
namespace {

using nlohmann::json;
using std::chrono::seconds;

const std::string kOperatorKey = "operator-key";
const std::string kDigest(64, 'a');

/// The admin service of host h0 in a fleet of three hosts.
class admin_service_test : public ::testing::Test {
 protected:
  admin_service_test() {
    fleet_.platform.Seed(
        "config/accounts/a",
        {{"id", "a"}, {"rate", 1}, {"burst", 2}, {"writer", "w"}});
    fleet_.platform.Seed("config/keys/" + kDigest,
                         {{"digest", kDigest}, {"account", "a"}});
    fleet_.StartAll();
    auto& host = *fleet_.hosts[0];
    service_.emplace(
        std::vector<std::string>{Sha256Hex("other"), Sha256Hex(kOperatorKey)},
        host.editor, host.active_config, host.fleet, host.events,
        daemon_hooks{[this] { ++drain_calls_; },
                     [] {
                       return json{{"open_requests", 3}};
                     }});
  }

  admin_request Request(const std::string& method, const std::string& path,
                        const std::string& body = "",
                        std::optional<std::string> if_match = {}) {
    return {method, "/admin/v1/" + path, "", std::move(if_match), kOperatorKey,
            body};
  }

  admin_response Call(const admin_request& request) {
    int responses = 0;
    admin_response response;
    service_->Handle(request, [&](const admin_response& received) {
      response = received;
      ++responses;
    });
    fleet_.clock.Advance(seconds(15));
    EXPECT_EQ(responses, 1);
    return response;
  }

  config::config_fleet fleet_{3};
  int drain_calls_ = 0;
  std::optional<admin_service> service_;
};

TEST_F(admin_service_test, ReadsAndEditsRows) {
  const auto read = Call(Request("GET", "config/accounts/a"));
  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(read.etag, "\"1\"");
  EXPECT_EQ(json::parse(read.body)["row"], (json{{"id", "a"},
                                                 {"rate", 1},
                                                 {"burst", 2},
                                                 {"weight", 1},
                                                 {"priority", 5}}));
  const auto changed = Call(Request("PUT", "config/accounts/a",
                                    R"({"rate":9,"burst":2})", read.etag));
  EXPECT_EQ(changed.status, 200) << changed.body;
  EXPECT_EQ(json::parse(changed.body)["row"]["rate"], 9);
  EXPECT_EQ(json::parse(changed.body)["confirmed"], true);
  EXPECT_EQ(fleet_.Rate(2, "a"), 9);
  const auto listed = json::parse(Call(Request("GET", "config/accounts")).body);
  EXPECT_EQ(listed["rows"].size(), 1u);
  const auto removed =
      Call(Request("DELETE", "config/accounts/a", "", changed.etag));
  EXPECT_EQ(removed.status, 200);
  EXPECT_EQ(Call(Request("GET", "config/accounts/a")).status, 404);
  const auto empty = json::parse(Call(Request("GET", "config/accounts")).body);
  EXPECT_EQ(empty["rows"].size(), 0u);
}

// Guards against a route that has an effect on invalid input, responds without
// a problem document, or does not respond.
TEST_F(admin_service_test, RefusesBadInputOnEveryRoute) {
  const std::string row = R"({"rate":1,"burst":1})";
  const std::string big = "\"" + std::string(70'000, 'x') + "\"";
  auto query = Request("GET", "timeline");
  query.query = "after=x";
  auto encoded = Request("GET", "timeline");
  encoded.query = "a=1&after=%31";
  const std::vector<std::pair<admin_request, const char*>> cases = {
      {Request("GET", ""), "route_not_found"},
      {Request("GET", "nothing"), "route_not_found"},
      {Request("GET", "config"), "route_not_found"},
      {Request("GET", "config/"), "route_not_found"},
      {Request("GET", "config/nothing"), "route_not_found"},
      {Request("GET", "config/nothing/a"), "route_not_found"},
      {Request("GET", "config/accounts/%"), "route_not_found"},
      {Request("GET", "config/accounts/%zz"), "route_not_found"},
      {Request("GET", "config/accounts/"), "row_not_found"},
      {Request("GET", "config/accounts/b"), "row_not_found"},
      {Request("PUT", "config/accounts", row, "0"), "method_not_allowed"},
      {Request("POST", "config/accounts/a", row, "1"), "method_not_allowed"},
      {Request("PUT", "config/accounts/a", row), "malformed_request"},
      {Request("PUT", "config/accounts/a", row, ""), "malformed_request"},
      {Request("PUT", "config/accounts/a", row, "*"), "malformed_request"},
      {Request("PUT", "config/accounts/a", row, "-1"), "malformed_request"},
      {Request("PUT", "config/accounts/a", row, "\"1"), "malformed_request"},
      {Request("PUT", "config/accounts/a", "{", "1"), "malformed_request"},
      {Request("PUT", "config/accounts/a", "", "1"), "malformed_request"},
      {Request("PUT", "config/accounts/a", big, "1"), "body_too_large"},
      {Request("PUT", "config/accounts/a", "[]", "1"), "invalid_row"},
      {Request("PUT", "config/accounts/a", "{}", "1"), "invalid_row"},
      {Request("PUT", "config/accounts/a%20b", row, "0"), "invalid_row"},
      {Request("PUT", "config/accounts/..%2f..%2fhosts%2fh", row, "0"),
       "invalid_row"},
      {Request("PUT", "config/accounts/a", row, "0"), "revision_conflict"},
      {Request("PUT", "config/accounts/a", row, "99"), "revision_conflict"},
      {Request("DELETE", "config/accounts/a"), "malformed_request"},
      {Request("DELETE", "config/accounts/a", "", "99"), "revision_conflict"},
      {Request("DELETE", "config/accounts/b", "", "1"), "row_not_found"},
      {Request("DELETE", "config/accounts/%2e%2e", "", "1"), "row_not_found"},
      {Request("POST", "status"), "method_not_allowed"},
      {Request("PUT", "hosts"), "method_not_allowed"},
      {Request("GET", "drain"), "method_not_allowed"},
      {Request("POST", "timeline"), "method_not_allowed"},
      {query, "malformed_request"},
      {encoded, "malformed_request"},
  };
  for (const auto& [request, code] : cases) {
    SCOPED_TRACE(request.method + " " + request.path + " " +
                 request.body.substr(0, 40));
    const auto response = Call(request);
    EXPECT_EQ(response.content_type, "application/problem+json");
    const auto body = json::parse(response.body);
    EXPECT_EQ(body["code"], code);
    EXPECT_EQ(body["status"], response.status);
    EXPECT_EQ(body["executed"], "no");
  }
  EXPECT_EQ(fleet_.Rate(0, "a"), 1);
  EXPECT_EQ(drain_calls_, 0);
}

// Guards against a route that is accessible without an operator key.
TEST_F(admin_service_test, NeedsAnOperatorKeyOnEveryRoute) {
  const std::vector<admin_request> requests = {
      Request("GET", "config/accounts"),
      Request("GET", "config/accounts/a"),
      Request("PUT", "config/accounts/a", R"({"rate":7,"burst":7})", "1"),
      Request("DELETE", "config/accounts/a", "", "1"),
      Request("GET", "status"),
      Request("GET", "hosts"),
      Request("GET", "timeline"),
      Request("POST", "drain"),
      Request("GET", "nothing")};
  for (auto request : requests) {
    for (const std::string& key :
         {std::string(), std::string("operator-kez"), Sha256Hex(kOperatorKey),
          kOperatorKey + " "}) {
      request.operator_key = key;
      EXPECT_EQ(Call(request).status, 401) << request.path << " " << key;
    }
  }
  EXPECT_EQ(fleet_.Rate(0, "a"), 1);
  EXPECT_EQ(drain_calls_, 0);
}

// Guards against exposing a key in a response or in the timeline, also if an
// operator used the key as a row name or put it into a field.
TEST_F(admin_service_test, ExposesOnlyDigestsOfKeys) {
  const std::string secret = "bbr-secret";
  fleet_.platform.Seed("config/keys/" + secret, {{"account", "a"}});
  fleet_.platform.Seed("config/keys/" + std::string(64, 'b'),
                       {{"digest", secret}, {"account", "a"}});
  fleet_.platform.Seed(
      "config/keys/" + std::string(64, 'c'),
      {{"digest", std::string(64, 'c')}, {"account", "a"}, {"key", secret}});
  std::string all =
      Call(Request("PUT", "config/keys/" + secret, R"({"account":"a"})", "0"))
          .body;
  all += Call(Request("PUT", "config/keys/" + kDigest,
                      R"({"account":"a","digest":"bbr-secret"})", "2"))
             .body;
  all += Call(Request("PUT", "config/keys/" + kDigest,
                      R"({"account":"a","bbr-secret":1})", "2"))
             .body;
  all += Call(Request("GET", "config/keys")).body;
  all += Call(Request("DELETE", "config/keys/" + secret, "", "3")).body;
  all += Call(Request("GET", "config/keys")).body;
  all += Call(Request("GET", "config/keys/" + std::string(64, 'b'))).body;
  all += Call(Request("GET", "timeline")).body;
  EXPECT_NE(all.find(kDigest), std::string::npos);
  EXPECT_EQ(all.find("secret"), std::string::npos) << all;
}

// Guards against status 200 for an edit that a majority did not confirm, and
// against a conflict response without the other operator's row.
TEST_F(admin_service_test, ReportsUnconfirmedEditsAndConflicts) {
  fleet_.Partition({0}, {1, 2});
  const auto unconfirmed =
      Call(Request("PUT", "config/accounts/a", R"({"rate":9,"burst":2})", "1"));
  EXPECT_EQ(unconfirmed.status, 202);
  EXPECT_EQ(json::parse(unconfirmed.body)["confirmed"], false);
  const auto conflict =
      Call(Request("PUT", "config/accounts/a", R"({"rate":8,"burst":2})", "1"));
  EXPECT_EQ(conflict.status, 409);
  EXPECT_EQ(json::parse(conflict.body)["current"]["row"]["rate"], 9);
  EXPECT_EQ(
      "\"" + json::parse(conflict.body)["current"]["revision"].dump() + "\"",
      unconfirmed.etag);
}

TEST_F(admin_service_test, ShowsStatusHostsAndTimeline) {
  const auto status = json::parse(Call(Request("GET", "status")).body);
  EXPECT_EQ(status["host"], "h0");
  EXPECT_EQ(status["status"], "connected");
  EXPECT_EQ(status["open_requests"], 3);
  EXPECT_EQ(status["config_revision"], 2);
  const auto hosts = json::parse(Call(Request("GET", "hosts")).body)["hosts"];
  ASSERT_EQ(hosts.size(), 3u);
  EXPECT_EQ(hosts[0]["serving"], true);
  EXPECT_EQ(hosts[1]["serving"], false);
  EXPECT_EQ(hosts[1]["member"], true);
  auto request = Request("GET", "timeline");
  const auto events = json::parse(Call(request).body);
  ASSERT_FALSE(events["events"].empty());
  request.query = "after=" + events["last"].dump();
  EXPECT_TRUE(json::parse(Call(request).body)["events"].empty());
  EXPECT_EQ(Call(Request("POST", "drain")).status, 202);
  EXPECT_EQ(drain_calls_, 1);
}

}  // namespace
}  // namespace bluebell::admin
