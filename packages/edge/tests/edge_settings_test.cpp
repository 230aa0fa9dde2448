#include "edge/edge_settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace bluebell::edge {
namespace {

// Settings as the platform fills them in; `bounds` replaces that section.
tl::expected<edge_settings, std::vector<setting_error>> LoadWithBounds(
    const std::string& bounds) {
  const std::string path = testing::TempDir() + "edge_settings_test.ini";
  std::ofstream(path) << "[host]\nid = a\nzone = z\ncores = 0.09\n"
                         "[listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\n"
                         "directory = 10.0.0.1:3\nmetrics = 10.0.0.1:4\n"
                         "digests = 10.0.0.1:4\nforwards = 10.0.0.1:5\n"
                         "[store]\naddress = 10.0.0.2:5\n[bounds]\n"
                      << bounds;
  auto loaded = edge_settings::Load(path);
  std::remove(path.c_str());
  return loaded;
}

std::string Bounds(const std::string& withdrawal_ms, const std::string& grace_s,
                   const std::string& pause_ms, const std::string& window_s,
                   const std::string& ratio, const std::string& slack) {
  return "key_withdrawal_ms = " + withdrawal_ms +
         "\nstop_grace_s = " + grace_s + "\nplacement_pause_ms = " + pause_ms +
         "\nquota_window_s = " + window_s + "\nretry_window_s = " + window_s +
         "\nretry_ratio = " + ratio + "\nretry_slack = " + slack + "\n";
}

// Guards against a start that fails, or reads another number, because the
// platform states a bound with a fraction.
TEST(edge_settings_test, BoundsMayHaveFractions) {
  struct {
    std::string bounds;
    milliseconds withdrawal, grace, pause, window;
    double ratio, slack;
  } const cases[] = {
      {Bounds("5000", "8", "3000", "10", "0.2", "56"), milliseconds(5000),
       milliseconds(8000), milliseconds(3000), milliseconds(10000), 0.2, 56},
      {Bounds("5000.0", "8.0", "3000.0", "10.0", "0", "33.1578947368421"),
       milliseconds(5000), milliseconds(8000), milliseconds(3000),
       milliseconds(10000), 0, 33.1578947368421},
      {Bounds("4999.9", "7.5", "2999.1", "0.25", "1", "0"), milliseconds(4999),
       milliseconds(7500), milliseconds(3000), milliseconds(250), 1, 0},
      {Bounds("5e3", "8e0", "3e3", "1e1", "2e-1", "5.6e1"), milliseconds(5000),
       milliseconds(8000), milliseconds(3000), milliseconds(10000), 0.2, 56},
  };
  for (const auto& expected : cases) {
    const auto loaded = LoadWithBounds(expected.bounds);
    ASSERT_TRUE(loaded) << ToString(loaded.error().front());
    EXPECT_EQ(loaded->key_withdrawal, expected.withdrawal);
    EXPECT_EQ(loaded->stop_grace, expected.grace);
    EXPECT_EQ(loaded->placement_pause, expected.pause);
    EXPECT_EQ(loaded->quota_window, expected.window);
    EXPECT_EQ(loaded->retries.window, expected.window);
    EXPECT_DOUBLE_EQ(loaded->retries.ratio, expected.ratio);
    EXPECT_DOUBLE_EQ(loaded->retries.slack, expected.slack);
  }
}

TEST(edge_settings_test, BoundsThatAreNoNumberAreReported) {
  for (const char* value : {"", "true", "-1", "nan", "1e9", "5 s"}) {
    const auto loaded =
        LoadWithBounds(Bounds(value, "8", "3000", "10", "0.2", "56"));
    ASSERT_FALSE(loaded) << value;
    ASSERT_EQ(loaded.error().size(), 1U) << value;
    EXPECT_EQ(loaded.error().front().key, "key_withdrawal_ms") << value;
  }
}

// Guards against a file from an editor or a template with other line ends and
// blanks.
TEST(edge_settings_test, LineEndsAndBlanksDoNotMatter) {
  const auto loaded = LoadWithBounds(
      "key_withdrawal_ms =  5000 \r\nstop_grace_s=8\r\n"
      "placement_pause_ms\t= 3000\t\r\nquota_window_s = 10\r\n"
      "retry_window_s = 10\r\nretry_ratio = 0.2\r\nretry_slack = 56");
  ASSERT_TRUE(loaded) << ToString(loaded.error().front());
  EXPECT_EQ(loaded->key_withdrawal, milliseconds(5000));
  EXPECT_DOUBLE_EQ(loaded->retries.slack, 56);
}

// Guards against a host that a template without this bound keeps from starting,
// or from refusing requests at all.
TEST(edge_settings_test, BoundOfChangesIsThatOfKeysByDefault) {
  const auto bounds = Bounds("5000", "8", "3000", "10", "0.2", "56");
  EXPECT_EQ(LoadWithBounds(bounds)->config_change, milliseconds(5000));
  EXPECT_EQ(LoadWithBounds(bounds + "config_change_ms =\n")->config_change,
            milliseconds(5000));
  EXPECT_EQ(LoadWithBounds(bounds + "config_change_ms = 3000\n")->config_change,
            milliseconds(3000));
}

// Guards against a start that fails in a deployment without evacuations, for
// which the template yields an empty value.
TEST(edge_settings_test, EvacuationBoundMayBeEmptyOrAbsent) {
  const auto bounds = Bounds("5000", "8", "3000", "10", "0.2", "56");
  EXPECT_FALSE(LoadWithBounds(bounds)->evacuation);
  for (const char* value : {"", " ", "\t"}) {
    const auto loaded =
        LoadWithBounds(bounds + "evacuation_ms =" + value + "\n");
    ASSERT_TRUE(loaded) << ToString(loaded.error().front());
    EXPECT_FALSE(loaded->evacuation);
  }
  for (const char* value : {"5000", "5000.0", "5e3"}) {
    const auto loaded =
        LoadWithBounds(bounds + "evacuation_ms = " + value + "\n");
    ASSERT_TRUE(loaded) << ToString(loaded.error().front());
    EXPECT_EQ(loaded->evacuation, milliseconds(5000));
  }
  for (const char* value : {"0", "-1", "many", "nan"}) {
    EXPECT_FALSE(LoadWithBounds(bounds + "evacuation_ms = " + value + "\n"))
        << value;
  }
}

// Guards against an exception when the environment's memory is no number.
TEST(edge_settings_test, MemoryOfTheEnvironmentIsChecked) {
  const auto bounds = Bounds("5000", "8", "3000", "10", "0.2", "56");
  constexpr std::size_t kMegabyte = 1024 * 1024;
  struct {
    const char* value;
    std::size_t held;
    bool ignored;
  } const cases[] = {
      {"260", 52 * kMegabyte, false}, {" 260.0\n", 52 * kMegabyte, false},
      {"", 20 * kMegabyte, true},     {"0", 20 * kMegabyte, true},
      {"many", 20 * kMegabyte, true}, {"nan", 20 * kMegabyte, true},
      {"-1", 20 * kMegabyte, true},   {"inf", 20 * kMegabyte, true},
  };
  for (const auto& expected : cases) {
    ::setenv("BLUEBELL_MEMORY_MB", expected.value, 1);
    const auto loaded = LoadWithBounds(bounds);
    ASSERT_TRUE(loaded) << expected.value;
    EXPECT_EQ(loaded->held_bytes, expected.held) << expected.value;
    EXPECT_EQ(!loaded->ignored.empty(), expected.ignored) << expected.value;
  }
  ::unsetenv("BLUEBELL_MEMORY_MB");
}

// Guards against an existing deployment whose routing changes because the
// setting is absent, and against a misspelt value that is taken for one.
TEST(edge_settings_test, PrefersOwnZoneOnlyIfSet) {
  const auto bounds = Bounds("5000", "8", "3000", "10", "0.2", "56");
  const auto absent = LoadWithBounds(bounds);
  ASSERT_TRUE(absent);
  EXPECT_FALSE(absent->prefer_own_zone);
  const auto set = LoadWithBounds(bounds + "[zones]\nprefer_own = yes\n");
  ASSERT_TRUE(set);
  EXPECT_TRUE(set->prefer_own_zone);
  EXPECT_FALSE(LoadWithBounds(bounds + "[zones]\nprefer_own = true\n"));
}

}  // namespace
}  // namespace bluebell::edge
