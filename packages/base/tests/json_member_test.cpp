#include "base/json_member.h"

#include <gtest/gtest.h>

#include <string>

namespace bluebell {
namespace {

// Guards against a stored value of another writer whose reading throws.
TEST(json_member, OtherTypesCountAsMissing) {
  const auto value =
      nlohmann::json::parse(R"({"text":"a","number":7,"null":null})");
  const std::string none = "none";
  EXPECT_EQ(MemberOr(value, "text", none), "a");
  EXPECT_EQ(MemberOr(value, "number", none), none);
  EXPECT_EQ(MemberOr(value, "null", none), none);
  EXPECT_EQ(MemberOr(value, "missing", none), none);
  EXPECT_EQ(MemberOr(value, "text", false), false);
  EXPECT_EQ(MemberOr(nlohmann::json("text"), "text", none), none);
  EXPECT_EQ(MemberOr(nlohmann::json(), "text", none), none);
}

}  // namespace
}  // namespace bluebell
