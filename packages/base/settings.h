#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace bluebell {

/// Type of a setting's value.
enum class setting_type {
  kText,
  kInteger,
  /// A number with or without a fraction.
  kDecimal,
  /// Whole milliseconds.
  kMilliseconds,
  /// `IPv4:port`.
  kAddress,
  /// Comma-separated `IPv4:port` list, at least one.
  kAddressList,
  /// Comma-separated list of words, may be empty.
  kTextList,
};

/// One allowed setting.
struct setting_rule {
  std::string section;
  std::string key;
  setting_type type = setting_type::kText;
  /// Value used when the file has none; a required setting has no default.
  std::string default_value;
  bool required = false;
  /// Range of integers and milliseconds, both ends included.
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
  /// Allowed words of a text; empty: any non-empty text.
  std::vector<std::string> choices;
  /// An empty value counts as if the file had no such setting.
  bool may_be_empty = false;
};

/// One finding of the check at start.
struct setting_error {
  std::string file;
  std::string section;
  std::string key;
  std::string value;
  std::string allowed;
};

/// Returns "file: [section] key = 'value': allowed: ...".
std::string ToString(const setting_error& finding);

/// `value` as a number, if `rule` is of a decimal and allows it.
std::optional<double> ToDecimal(const setting_rule& rule,
                                const std::string& value);

/// Describes the values that `rule` allows, for messages.
std::string AllowedValues(const setting_rule& rule);

/// Checked settings of a process, read from an INI file.
class settings {
 public:
  /// Reads `file` and checks it against `rules`. Returns every error at once;
  /// unknown sections and keys are errors.
  static tl::expected<settings, std::vector<setting_error>> Load(
      const std::string& file, const std::vector<setting_rule>& rules);

  /// Whether the file has the setting; otherwise its default is in effect.
  bool IsSet(const std::string& section, const std::string& key) const;

  /// Getters throw `std::out_of_range` for a setting without a rule.
  const std::string& Text(const std::string& section,
                          const std::string& key) const;
  std::int64_t Integer(const std::string& section,
                       const std::string& key) const;
  double Decimal(const std::string& section, const std::string& key) const;
  std::chrono::milliseconds Milliseconds(const std::string& section,
                                         const std::string& key) const;
  std::vector<std::string> List(const std::string& section,
                                const std::string& key) const;

 private:
  std::map<std::pair<std::string, std::string>, std::string> values_;
  std::set<std::pair<std::string, std::string>> set_;
};

/// Splits "a, b" at commas, trims blanks and drops empty parts.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace bluebell
