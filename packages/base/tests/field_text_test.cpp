#include "base/field_text.h"

#include <gtest/gtest.h>

#include <string>

namespace bluebell {
namespace {

// Guards against text that ends a field of a head and begins another, or that a
// reader trims or rejects.
TEST(field_text, RejectsWhatAHeadCannotCarryUnchanged) {
  for (const char* text : {"", "a", "a b", "a\tb", "&+#%", "caf\xC3\xA9"}) {
    EXPECT_TRUE(IsFieldText(text)) << text;
  }
  for (const char* text : {" a", "a ", "\ta", "a\t", " ", "a\r\nb: c", "a\nb",
                           "a\rb", "a\x01", "\x1f", "a\x7f"}) {
    EXPECT_FALSE(IsFieldText(text)) << text;
  }
  EXPECT_FALSE(IsFieldText(std::string("a\0b", 3)));
}

}  // namespace
}  // namespace bluebell
