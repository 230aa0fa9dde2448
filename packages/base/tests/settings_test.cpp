#include "base/settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace bluebell {
namespace {

const std::vector<setting_rule> kRules = {
    {"host", "id", setting_type::kText, "", true, 0, 0, {}},
    {"host", "listen", setting_type::kAddress, "", true, 0, 0, {}},
    {"limits",
     "budget",
     setting_type::kText,
     "shares",
     false,
     0,
     0,
     {"shares", "static"}},
    {"limits",
     "wait_ms",
     setting_type::kMilliseconds,
     "50",
     false,
     1,
     1000,
     {}},
};

class settings_test : public ::testing::Test {
 protected:
  ~settings_test() override { std::remove(file_.c_str()); }

  auto Load(const std::string& text) {
    std::ofstream(file_) << text;
    return settings::Load(file_, kRules);
  }

  std::string file_ = ::testing::TempDir() + "bluebell_settings_test.ini";
};

TEST_F(settings_test, UsesDefaultsForAbsentKeys) {
  const auto loaded = Load("[host]\nid = a\nlisten = 127.0.0.1:8080\n");
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->Text("limits", "budget"), "shares");
  EXPECT_EQ(loaded->Milliseconds("limits", "wait_ms").count(), 50);
}

// Guards against a check that stops at the first error, which makes operators
// start the process once per mistake.
TEST_F(settings_test, ReportsEveryErrorInOneRun) {
  const auto loaded = Load(
      "[host]\nlisten = somewhere\n[limits]\nbudget = guess\nwait_ms = 5000\n"
      "typo = 1\n");
  ASSERT_FALSE(loaded);
  ASSERT_EQ(loaded.error().size(), 5u);
  EXPECT_EQ(ToString(loaded.error()[1]),
            file_ + ": [limits] budget = 'guess': allowed: shares, static");
}

TEST_F(settings_test, ReportsAnUnreadableFile) {
  EXPECT_FALSE(settings::Load("absent.ini", kRules));
}

}  // namespace
}  // namespace bluebell
