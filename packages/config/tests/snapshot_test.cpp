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

std::int64_t RateOf(const snapshot& active_config, const std::string& id) {
  const account_row* row = active_config.FindAccount(account_id(id));
  return row == nullptr ? -1 : row->rate.value();
}

// Guards against a delayed watch answer or a peer with an older copy reverting
// an accepted edit or a removal.
TEST(snapshot, NeverRevertsToAnOlderVersion) {
  snapshot active_config;
  EXPECT_TRUE(active_config.Apply(Row("accounts/a", 5, Account("a", 1))));
  EXPECT_TRUE(active_config.Apply(Row("accounts/a", 9, {{"deleted", true}})));
  EXPECT_FALSE(active_config.Apply(Row("accounts/a", 5, Account("a", 1))));
  EXPECT_FALSE(active_config.Apply(Row("accounts/a", 9, Account("a", 2))));
  EXPECT_EQ(RateOf(active_config, "a"), -1);
  EXPECT_EQ(active_config.newest(), revision(9));
}

// Guards against an old rate or a withdrawn key staying active because its
// replacement is invalid.
TEST(snapshot, InvalidRowReplacesTheValidOne) {
  const std::vector<json> invalid = {json(7),
                                     json::array(),
                                     {{"id", "a"}, {"rate", -1}, {"burst", 1}},
                                     Account("b", 1)};
  for (const auto& value : invalid) {
    snapshot active_config;
    active_config.Apply(Row("accounts/a", 1, Account("a", 1)));
    EXPECT_TRUE(active_config.Apply(Row("accounts/a", 2, value)));
    EXPECT_EQ(RateOf(active_config, "a"), -1) << value;
    EXPECT_EQ(active_config.FindStored("accounts/a")->version, revision(2));
  }
}

// Guards against an open route "/help" also opening "/helpdesk", and against a
// shorter prefix hiding a longer one.
TEST(snapshot, LongestMatchingRoutePrefixIsChosen) {
  snapshot active_config;
  const auto route = [](const char* id, const char* prefix) {
    return json{
        {"id", id}, {"prefix", prefix}, {"group", "g"}, {"repeatable", true}};
  };
  active_config.Apply(Row("routes/all", 1, route("all", "/")));
  active_config.Apply(Row("routes/help", 2, route("help", "/help")));
  active_config.Apply(Row("routes/faq", 3, route("faq", "/help/faq/")));
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"/help", "help"},        {"/help?x=1", "help"}, {"/help/x", "help"},
      {"/helpdesk", "all"},     {"/help/faq", "help"}, {"/help/faq/1", "faq"},
      {"/help/faqs/1", "help"}, {"/", "all"}};
  for (const auto& [path, id] : cases) {
    ASSERT_NE(active_config.FindRoute(path), nullptr) << path;
    EXPECT_EQ(active_config.FindRoute(path)->id, id) << path;
  }
}

// Guards against rows being lost between two pages of changed rows.
TEST(snapshot, ChangedRowsAreInOrderOfTheirVersions) {
  snapshot active_config;
  active_config.Apply(Row("accounts/a", 7, Account("a", 1)));
  active_config.Apply(Row("accounts/b", 3, Account("b", 1)));
  active_config.Apply(Row("accounts/c", 5, {{"deleted", true}}));
  const auto rows = active_config.ChangedSince(revision(3));
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[0].name, "accounts/c");
  EXPECT_EQ(rows[1].name, "accounts/a");
}

}  // namespace
}  // namespace bluebell::config
