#include "base/nested_json.h"

#include <gtest/gtest.h>

#include <string>

namespace bluebell {
namespace {

std::string Lists(std::size_t levels, const std::string& inner = "") {
  return std::string(levels, '[') + inner + std::string(levels, ']');
}

std::string Objects(std::size_t levels) {
  std::string text = "1";
  for (std::size_t i = 0; i < levels; ++i) text = "{\"a\":" + text + "}";
  return text;
}

// Guards against a document whose nesting exhausts the stack of the task that
// copies or prints it.
TEST(nested_json, RejectsDeepText) {
  EXPECT_EQ(ParseJson(Lists(64)).dump(), Lists(64));
  EXPECT_EQ(ParseJson(Objects(64)).dump(), Objects(64));
  EXPECT_TRUE(ParseJson(Lists(65)).is_discarded());
  EXPECT_TRUE(ParseJson(Objects(65)).is_discarded());
  EXPECT_TRUE(ParseJson(Lists(32, Objects(33))).is_discarded());
  EXPECT_TRUE(ParseJson(std::string(1'000'000, '[')).is_discarded());
  EXPECT_TRUE(ParseJson(Lists(1'000'000)).is_discarded());
}

// Guards against a bound on the number of lists instead of their depth, and
// against brackets in strings that count.
TEST(nested_json, AcceptsWideText) {
  std::string wide = "[[]";
  for (int i = 0; i < 1'000; ++i) wide += ",[{}]";
  EXPECT_EQ(ParseJson(wide + "]").size(), 1'001U);
  EXPECT_TRUE(ParseJson('"' + std::string(1'000, '[') + '"').is_string());
}

TEST(nested_json, RejectsMalformedText) {
  for (const char* text : {"", "{", "[1,]", "{} x", "\"\xFF\"", "1e999"}) {
    EXPECT_TRUE(ParseJson(text).is_discarded()) << text;
  }
}

TEST(nested_json, RejectsDeepCbor) {
  const auto lists = [](std::size_t levels) {
    return std::string(levels - 1, '\x81') + '\x80';
  };
  EXPECT_TRUE(ParseCbor(lists(32)).is_array());
  EXPECT_THROW(ParseCbor(lists(33)), nlohmann::json::exception);
  EXPECT_THROW(ParseCbor("\x81"), nlohmann::json::exception);
}

// Guards against a search that ends the program, or stops before the text that
// it looks for, in a deep document.
TEST(nested_json, FindsTextAtAnyDepth) {
  EXPECT_TRUE(JsonTextContains(Lists(100'000, R"("a\u0062c")"), "bc"));
  EXPECT_TRUE(JsonTextContains(R"({"x":[{"a\u0062":1}]})", "ab"));
  EXPECT_FALSE(JsonTextContains(Lists(100'000, R"("abc")"), "abd"));
  EXPECT_FALSE(JsonTextContains(R"(["abc")", "abc"));
}

}  // namespace
}  // namespace bluebell
