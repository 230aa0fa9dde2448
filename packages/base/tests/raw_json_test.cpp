#include "base/raw_json.h"

#include <gmock/gmock.h>

#include <string>

namespace bluebell {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

// Guards against an element that hides the others, and against brackets,
// commas and quotes within strings that end one.
TEST(raw_json, ElementsAreSplitWithoutReadingThem) {
  EXPECT_THAT(RawElements(R"( [ 1 , "a,]\"[", {"b":[1,2]} ,[3],tru ] )"),
              ElementsAre("1", R"("a,]\"[")", R"({"b":[1,2]})", "[3]", "tru"));
  EXPECT_THAT(RawElements("[]"), IsEmpty());
  EXPECT_THAT(RawElements(R"({"a":1})"), IsEmpty());
  EXPECT_THAT(RawElements(R"("[1]")"), IsEmpty());
  EXPECT_THAT(RawElements(""), IsEmpty());
  const std::string nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  EXPECT_THAT(RawElements("[" + nested + ",7]"), ElementsAre(nested, "7"));
}

// Guards against a member of a nested object that is taken for the object's
// own.
TEST(raw_json, MemberIsFoundAtTheTopLevelAlone) {
  const char object[] =
      R"({"x":{"a":1},"y":"\"a\":2","ab":3, "a" : [4] ,"b":tru})";
  EXPECT_EQ(RawMember(object, "a"), "[4]");
  EXPECT_EQ(RawMember(object, "b"), "tru");
  EXPECT_EQ(RawMember(object, "c"), "");
  EXPECT_EQ(RawMember(R"(["a",1])", "a"), "");
  EXPECT_EQ(RawMember(R"({"a"})", "a"), "");
  EXPECT_EQ(RawMember("", "a"), "");
}

// Guards against a member that cannot be read and spoils its neighbours, and
// against other values that count as a number.
TEST(raw_json, MembersAreReadByThemselves) {
  const char object[] =
      R"({"a":tru,"b":7,"c":-1,"d":1.5,"e":"7","f":null,"g":1e999})";
  EXPECT_TRUE(ReadMember(object, "a").is_discarded());
  EXPECT_EQ(ReadMember(object, "e"), "7");
  EXPECT_TRUE(ReadMember(object, "h").is_null());
  EXPECT_EQ(ReadUnsigned(object, "b"), 7U);
  for (const char* key : {"a", "c", "d", "e", "f", "g", "h"}) {
    EXPECT_EQ(ReadUnsigned(object, key), std::nullopt) << key;
  }
}

}  // namespace
}  // namespace bluebell
