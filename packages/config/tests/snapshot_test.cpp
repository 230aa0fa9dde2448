#include "config/snapshot.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bluebell::config {
namespace {

using nlohmann::json;

stored_row Row(const std::string& name, std::uint64_t version, json value) {
  return {name, revision(version), std::move(value)};
}

json Account(const std::string& id, int rate) {
  return {{"id", id}, {"rate", rate}, {"burst", 10}};
}

std::int64_t RateOf(const snapshot& in_force, const std::string& id) {
  const account_row* row = in_force.FindAccount(account_id(id));
  return row == nullptr ? -1 : row->rate.value();
}

// Guards against a delayed watch answer or a peer with an older copy that
// takes back an accepted edit or a removal.
TEST(snapshot, NeverRevertsToAnOlderVersion) {
  snapshot in_force;
  EXPECT_TRUE(in_force.Apply(Row("accounts/a", 5, Account("a", 1))));
  EXPECT_TRUE(in_force.Apply(Row("accounts/a", 9, {{"deleted", true}})));
  EXPECT_FALSE(in_force.Apply(Row("accounts/a", 5, Account("a", 1))));
  EXPECT_FALSE(in_force.Apply(Row("accounts/a", 9, Account("a", 2))));
  EXPECT_EQ(RateOf(in_force, "a"), -1);
  EXPECT_EQ(in_force.newest(), revision(9));
}

// Guards against an old rate or a withdrawn key that stays in force because
// its replacement cannot be read.
TEST(snapshot, InvalidRowReplacesTheValidOne) {
  const std::vector<json> invalid = {json(7),
                                     json::array(),
                                     {{"id", "a"}, {"rate", -1}, {"burst", 1}},
                                     Account("b", 1)};
  for (const auto& value : invalid) {
    snapshot in_force;
    in_force.Apply(Row("accounts/a", 1, Account("a", 1)));
    EXPECT_TRUE(in_force.Apply(Row("accounts/a", 2, value)));
    EXPECT_EQ(RateOf(in_force, "a"), -1) << value;
    EXPECT_EQ(in_force.FindStored("accounts/a")->version, revision(2));
  }
}

// Guards against the open route "/help" that makes "/helpdesk" open, and
// against a shorter prefix that hides a longer one.
TEST(snapshot, RouteWithTheLongestWholeSegmentWins) {
  snapshot in_force;
  const auto route = [](const char* id, const char* prefix) {
    return json{
        {"id", id}, {"prefix", prefix}, {"group", "g"}, {"repeatable", true}};
  };
  in_force.Apply(Row("routes/all", 1, route("all", "/")));
  in_force.Apply(Row("routes/help", 2, route("help", "/help")));
  in_force.Apply(Row("routes/faq", 3, route("faq", "/help/faq/")));
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"/help", "help"},        {"/help?x=1", "help"}, {"/help/x", "help"},
      {"/helpdesk", "all"},     {"/help/faq", "help"}, {"/help/faq/1", "faq"},
      {"/help/faqs/1", "help"}, {"/", "all"}};
  for (const auto& [path, id] : cases) {
    ASSERT_NE(in_force.FindRoute(path), nullptr) << path;
    EXPECT_EQ(in_force.FindRoute(path)->id, id) << path;
  }
}

// Guards against rows that are lost between two pages of changed rows.
TEST(snapshot, ChangedRowsAreInOrderOfTheirVersions) {
  snapshot in_force;
  in_force.Apply(Row("accounts/a", 7, Account("a", 1)));
  in_force.Apply(Row("accounts/b", 3, Account("b", 1)));
  in_force.Apply(Row("accounts/c", 5, {{"deleted", true}}));
  const auto rows = in_force.ChangedSince(revision(3));
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[0].name, "accounts/c");
  EXPECT_EQ(rows[1].name, "accounts/a");
}

}  // namespace
}  // namespace bluebell::config
