#include "base/utf8.h"

#include <gtest/gtest.h>

namespace bluebell {
namespace {

// Guards against text that JSON cannot hold, whose encoding throws.
TEST(utf8, RejectsWhatJsonCannotHold) {
  EXPECT_TRUE(IsUtf8(""));
  EXPECT_TRUE(IsUtf8("a1"));
  EXPECT_TRUE(IsUtf8("caf\xC3\xA9 \xE2\x82\xAC \xF0\x9F\x98\x80"));
  EXPECT_FALSE(IsUtf8("caf\xE9"));
  EXPECT_FALSE(IsUtf8("\xC3"));
  EXPECT_FALSE(IsUtf8("\xC0\xAF"));
  EXPECT_FALSE(IsUtf8("\xED\xA0\x80"));
  EXPECT_FALSE(IsUtf8("\xF4\x90\x80\x80"));
  EXPECT_FALSE(IsUtf8("\xFF"));
}

}  // namespace
}  // namespace bluebell
