#include "serving/serving_config.h"

#include <gtest/gtest.h>

namespace bluebell::serving {
namespace {

route MakeRoute(const std::string& name, const std::string& prefix) {
  route made;
  made.name = name;
  made.host = "shop.example";
  made.path_prefix = prefix;
  return made;
}

serving_config MakeConfig() {
  serving_config config;
  config.routes = {MakeRoute("all", "/"), MakeRoute("orders", "/orders/"),
                   MakeRoute("urgent", "/orders/urgent/")};
  config.accounts.push_back({account_id("ndiaye"), 1, 100, 100, 1});
  config.keys["key-1"] = 0;
  config.Index();
  return config;
}

std::string NameOf(const route* found) {
  return found == nullptr ? "none" : found->name;
}

TEST(serving_config, LongestPrefixWins) {
  const auto config = MakeConfig();
  EXPECT_EQ(NameOf(config.FindRoute("shop.example", "/orders/7")), "orders");
  EXPECT_EQ(NameOf(config.FindRoute("shop.example", "/orders/urgent/7")),
            "urgent");
  EXPECT_EQ(NameOf(config.FindRoute("shop.example", "/else")), "all");
}

// Guards against a prefix that ends inside a path segment, or in the query.
TEST(serving_config, PrefixEndsAtSlashOfPath) {
  auto config = MakeConfig();
  config.routes.erase(config.routes.begin());
  config.Index();
  EXPECT_EQ(NameOf(config.FindRoute("shop.example", "/ordersX/7")), "none");
  EXPECT_EQ(NameOf(config.FindRoute("shop.example", "/x?/orders/")), "none");
  EXPECT_EQ(NameOf(config.FindRoute("other.example", "/orders/7")), "none");
}

TEST(serving_config, FindsAccountByKey) {
  const auto config = MakeConfig();
  ASSERT_NE(config.FindAccount("key-1"), nullptr);
  EXPECT_EQ(config.FindAccount("key-1")->id.value(), "ndiaye");
  EXPECT_EQ(config.FindAccount("key-2"), nullptr);
}

}  // namespace
}  // namespace bluebell::serving
