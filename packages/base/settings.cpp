#include "base/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <optional>

#include "base/address.h"

namespace bluebell {
namespace {

std::optional<std::int64_t> ParseInteger(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc() || rest != end) return std::nullopt;
  return value;
}

std::optional<double> ParseDecimal(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc() || rest != end) return std::nullopt;
  return value;
}

const setting_rule* FindRule(const std::vector<setting_rule>& rules,
                             const std::string& section,
                             const std::string& key) {
  const auto found =
      std::find_if(rules.begin(), rules.end(), [&](const setting_rule& rule) {
        return rule.section == section && rule.key == key;
      });
  return found == rules.end() ? nullptr : &*found;
}

}  // namespace

std::string AllowedValues(const setting_rule& rule) {
  switch (rule.type) {
    case setting_type::kText:
      return rule.choices.empty() ? "a non-empty text"
                                  : boost::join(rule.choices, ", ");
    case setting_type::kInteger:
      return fmt::format("an integer from {} to {}", rule.minimum,
                         rule.maximum);
    case setting_type::kDecimal:
      return fmt::format("a number from {} to {}", rule.minimum, rule.maximum);
    case setting_type::kMilliseconds:
      return fmt::format("milliseconds from {} to {}", rule.minimum,
                         rule.maximum);
    case setting_type::kAddress:
      return "IPv4:port";
    case setting_type::kAddressList:
      return "one or more IPv4:port, separated by commas";
    case setting_type::kTextList:
      return "words separated by commas";
  }
  return "";
}

namespace {

bool Allows(const setting_rule& rule, const std::string& value) {
  switch (rule.type) {
    case setting_type::kText:
      return rule.choices.empty()
                 ? !value.empty()
                 : std::find(rule.choices.begin(), rule.choices.end(), value) !=
                       rule.choices.end();
    case setting_type::kInteger:
    case setting_type::kMilliseconds: {
      const auto number = ParseInteger(value);
      return number && *number >= rule.minimum && *number <= rule.maximum;
    }
    case setting_type::kDecimal: {
      const auto number = ParseDecimal(value);
      return number && *number >= rule.minimum && *number <= rule.maximum;
    }
    case setting_type::kAddress:
      return IsAddress(value);
    case setting_type::kAddressList: {
      const auto parts = SplitList(value);
      return !parts.empty() &&
             std::all_of(parts.begin(), parts.end(), IsAddress);
    }
    case setting_type::kTextList:
      return true;
  }
  return false;
}

}  // namespace

std::optional<double> ToDecimal(const setting_rule& rule,
                                const std::string& value) {
  if (rule.type != setting_type::kDecimal || !Allows(rule, value)) {
    return std::nullopt;
  }
  return ParseDecimal(value);
}

std::string ToString(const setting_error& finding) {
  return fmt::format("{}: [{}] {} = '{}': allowed: {}", finding.file,
                     finding.section, finding.key, finding.value,
                     finding.allowed);
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  boost::split(parts, text, boost::is_any_of(","));
  for (auto& part : parts) boost::trim(part);
  parts.erase(std::remove(parts.begin(), parts.end(), ""), parts.end());
  return parts;
}

tl::expected<settings, std::vector<setting_error>> settings::Load(
    const std::string& file, const std::vector<setting_rule>& rules) {
  boost::property_tree::ptree tree;
  try {
    boost::property_tree::read_ini(file, tree);
  } catch (const boost::property_tree::ini_parser_error& failure) {
    return tl::unexpected(std::vector<setting_error>{
        {file, "", "", fmt::format("line {}", failure.line()),
         "an INI file that can be read: " + failure.message()}});
  }

  settings loaded;
  std::vector<setting_error> findings;
  for (const auto& [section, entries] : tree) {
    if (entries.empty()) {
      findings.push_back(
          {file, "", section, entries.data(), "settings inside a [section]"});
    }
    for (const auto& [key, node] : entries) {
      const setting_rule* rule = FindRule(rules, section, key);
      if (rule == nullptr) {
        findings.push_back({file, section, key, node.data(), "no such key"});
      } else if (rule->may_be_empty && node.data().empty()) {
        continue;
      } else if (!Allows(*rule, node.data())) {
        findings.push_back(
            {file, section, key, node.data(), AllowedValues(*rule)});
      } else {
        loaded.values_[{section, key}] = node.data();
        loaded.set_.insert({section, key});
      }
    }
  }
  for (const auto& rule : rules) {
    const auto entry = std::make_pair(rule.section, rule.key);
    if (loaded.values_.count(entry) > 0) continue;
    const bool reported =
        std::any_of(findings.begin(), findings.end(), [&](const auto& finding) {
          return finding.section == rule.section && finding.key == rule.key;
        });
    if (rule.required && !reported) {
      findings.push_back({file, rule.section, rule.key, "",
                          AllowedValues(rule) + " (required)"});
    }
    loaded.values_[entry] = rule.default_value;
  }
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return loaded;
}

bool settings::IsSet(const std::string& section, const std::string& key) const {
  return set_.count({section, key}) > 0;
}

const std::string& settings::Text(const std::string& section,
                                  const std::string& key) const {
  return values_.at({section, key});
}

std::int64_t settings::Integer(const std::string& section,
                               const std::string& key) const {
  return ParseInteger(Text(section, key)).value();
}

double settings::Decimal(const std::string& section,
                         const std::string& key) const {
  return ParseDecimal(Text(section, key)).value();
}

std::chrono::milliseconds settings::Milliseconds(const std::string& section,
                                                 const std::string& key) const {
  return std::chrono::milliseconds(Integer(section, key));
}

std::vector<std::string> settings::List(const std::string& section,
                                        const std::string& key) const {
  return SplitList(Text(section, key));
}

}  // namespace bluebell
