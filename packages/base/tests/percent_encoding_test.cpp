#include "base/percent_encoding.h"

#include <gtest/gtest.h>

namespace bluebell {
namespace {

// Guards against text that ends a part of a target, or has another meaning in
// it.
TEST(percent_encoding, KeepsOnlyUnreservedBytesAndThoseNamed) {
  EXPECT_EQ(PercentEncode("aZ09-._~"), "aZ09-._~");
  EXPECT_EQ(PercentEncode("a b&c+d#e%f?g/h=i"),
            "a%20b%26c%2Bd%23e%25f%3Fg%2Fh%3Di");
  EXPECT_EQ(PercentEncode(std::string("\0\r\n\t\x7f\xc3\xa9", 7)),
            "%00%0D%0A%09%7F%C3%A9");
  EXPECT_EQ(PercentEncode("a/b:c@d+e", ":@+/"), "a/b:c@d+e");
  EXPECT_EQ(PercentEncode(""), "");
}

}  // namespace
}  // namespace bluebell
