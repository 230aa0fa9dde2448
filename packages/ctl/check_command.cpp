#include "ctl/check_command.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "base/nested_json.h"
#include "ctl/text_file.h"
#include "platform/config_decoder.h"
#include "serving/config_check.h"

namespace bluebell::ctl {
namespace {

using nlohmann::json;
using serving::config_difference;
using serving::config_entry;
using serving::config_finding;
using serving::serving_config;

struct check_report {
  std::vector<config_finding> findings;
  /// Empty if there was no comparison.
  std::optional<std::vector<config_difference>> differences;
};

/// Finds the place of a syntax error. The parser's message is not shown,
/// because it quotes the text before the error, which may be an API key.
class syntax_check final : public nesting_check {
 public:
  syntax_check() : nesting_check(std::numeric_limits<int>::max()) {}

  const std::optional<std::size_t>& error_position() const { return position_; }

  bool parse_error(std::size_t position, const std::string&,
                   const json::exception&) override {
    position_ = position;
    return false;
  }

 private:
  std::optional<std::size_t> position_;
};

std::string DescribeSyntaxError(const std::string& text) {
  syntax_check check;
  json::sax_parse(text, &check);
  if (!check.error_position()) return "nested too deeply";
  const auto size = std::min(text.size(), *check.error_position());
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(size);
  return fmt::format("not JSON: error in line {}",
                     1 + std::count(text.begin(), end, '\n'));
}

result<json> ReadObject(const std::string& name) {
  const auto text = ReadTextFile(name);
  if (!text) return tl::unexpected(text.error());
  auto object = ParseJson(*text);
  if (!object.is_discarded()) return object;
  return Fail(error_code::kInvalidArgument,
              name + ": " + DescribeSyntaxError(*text));
}

// A configuration that hosts would reject is a finding.
std::optional<serving_config> Decode(const json& object,
                                     const std::string& kind,
                                     std::vector<config_finding>& findings) {
  auto decoded = platform::DecodeConfigObject(object);
  if (decoded) return std::move(*decoded);
  findings.push_back({{kind, ""}, "", decoded.error().detail});
  return std::nullopt;
}

void Append(std::vector<config_finding> more,
            std::vector<config_finding>& findings) {
  findings.insert(findings.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
}

check_report Check(const json& object, const std::optional<json>& in_force) {
  check_report report;
  const auto config = Decode(object, "configuration", report.findings);
  if (config) Append(serving::CheckConfig(*config), report.findings);
  if (!in_force) return report;
  const auto before =
      Decode(*in_force, "configuration in force", report.findings);
  if (!config || !before) return report;
  Append(serving::CheckVersion(*before, *config), report.findings);
  report.differences = serving::CompareConfigs(*before, *config);
  return report;
}

// Names come from the file and must not control the terminal.
void PrintLine(std::ostream& out, std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; }, '?');
  fmt::print(out, "{}\n", text);
}

std::string Show(const config_entry& entry) {
  return entry.name.empty() ? entry.kind
                            : fmt::format("{} \"{}\"", entry.kind, entry.name);
}

void PrintText(std::ostream& out, const config_finding& finding) {
  PrintLine(out,
            fmt::format("{}: {}{}{}", Show(finding.entry), finding.field,
                        finding.field.empty() ? "" : ": ", finding.reason));
}

void PrintText(std::ostream& out, const config_difference& difference) {
  const auto start = fmt::format("{}: {}", ToString(difference.change),
                                 Show(difference.entry));
  if (difference.fields.empty()) PrintLine(out, start);
  for (const auto& field : difference.fields) {
    PrintLine(out, fmt::format("{}: {}: {} -> {}", start, field.field,
                               field.before, field.after));
  }
}

void PrintText(std::ostream& out, const check_report& report) {
  for (const auto& finding : report.findings) PrintText(out, finding);
  fmt::print(out, "findings: {}\n", report.findings.size());
  if (!report.differences) return;
  for (const auto& difference : *report.differences) PrintText(out, difference);
  fmt::print(out, "entries that differ: {}\n", report.differences->size());
}

json ToJson(const config_finding& finding) {
  return {{"kind", finding.entry.kind},
          {"name", finding.entry.name},
          {"field", finding.field},
          {"reason", finding.reason}};
}

json ToJson(const config_difference& difference) {
  json fields = json::array();
  for (const auto& field : difference.fields) {
    fields.push_back({{"field", field.field},
                      {"before", field.before},
                      {"after", field.after}});
  }
  return {{"change", ToString(difference.change)},
          {"kind", difference.entry.kind},
          {"name", difference.entry.name},
          {"fields", std::move(fields)}};
}

template <class Row>
json ToArray(const std::vector<Row>& rows) {
  json array = json::array();
  for (const auto& row : rows) array.push_back(ToJson(row));
  return array;
}

json ToJson(const check_report& report) {
  json shown = {{"findings", ToArray(report.findings)}};
  if (report.differences) shown["differences"] = ToArray(*report.differences);
  return shown;
}

exit_code ReportUnreadable(std::ostream& err, const error& failure) {
  fmt::print(err, "error: {}\n", failure.detail);
  return exit_code::kUsage;
}

}  // namespace

exit_code CheckConfigFile(const check_options& options, std::ostream& out,
                          std::ostream& err) {
  const auto object = ReadObject(options.file);
  if (!object) return ReportUnreadable(err, object.error());
  std::optional<json> in_force;
  if (!options.against.empty()) {
    auto read = ReadObject(options.against);
    if (!read) return ReportUnreadable(err, read.error());
    in_force = std::move(*read);
  }
  const auto report = Check(*object, in_force);
  if (options.json) {
    fmt::print(out, "{}\n", ToJson(report).dump(2));
  } else {
    PrintText(out, report);
  }
  return report.findings.empty() ? exit_code::kDone : exit_code::kFailed;
}

}  // namespace bluebell::ctl
