#include "config/csv.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

namespace bluebell::config {
namespace {

using nlohmann::json;

constexpr const char* kRevisionColumn = "revision";
constexpr const char* kByteOrderMark = "\xef\xbb\xbf";

struct csv_line {
  std::size_t number = 0;
  std::vector<std::string> cells;
};

std::string Quote(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
  return '"' + boost::replace_all_copy(text, "\"", "\"\"") + '"';
}

std::string ToCell(const json& value) {
  return Quote(value.is_string() ? value.get<std::string>() : value.dump());
}

// Splits text into lines of cells. Quoted cells may contain commas, line breaks
// and doubled quotes.
class csv_parser {
 public:
  explicit csv_parser(const std::string& text) : text_(text) {
    if (boost::starts_with(text_, kByteOrderMark)) position_ = 3;
  }

  result<std::vector<csv_line>> Parse() {
    std::vector<csv_line> lines;
    while (position_ < text_.size()) {
      csv_line line{line_, {}};
      do {
        auto cell = ParseCell();
        if (!cell) return tl::unexpected<error>(cell.error());
        line.cells.push_back(*std::move(cell));
      } while (Skip(','));
      if (position_ < text_.size() && !SkipLineEnd()) {
        return ParseError("text after a closing quote");
      }
      const bool blank = line.cells.size() == 1 && line.cells[0].empty();
      if (!blank) lines.push_back(std::move(line));
    }
    return lines;
  }

 private:
  result<std::string> ParseCell() {
    if (!Skip('"')) {
      const auto end =
          std::min(text_.find_first_of(",\r\n", position_), text_.size());
      std::string cell = text_.substr(position_, end - position_);
      position_ = end;
      if (cell.find('"') != std::string::npos) {
        return ParseError("a quote inside a cell that is not quoted");
      }
      return cell;
    }
    std::string cell;
    while (position_ < text_.size()) {
      if (Skip('"')) {
        if (!Skip('"')) return cell;
        cell += '"';
        continue;
      }
      if (text_[position_] == '\n') ++line_;
      cell += text_[position_++];
    }
    return ParseError("a quoted cell without closing quote");
  }

  bool Skip(char c) {
    if (position_ >= text_.size() || text_[position_] != c) return false;
    ++position_;
    return true;
  }

  bool SkipLineEnd() {
    const bool carriage_return = Skip('\r');
    if (!Skip('\n') && !carriage_return) return false;
    ++line_;
    return true;
  }

  tl::unexpected<error> ParseError(const char* what) const {
    return Fail(error_code::kInvalidArgument,
                fmt::format("line {}: {}", line_, what));
  }

  const std::string& text_;
  std::size_t position_ = 0;
  std::size_t line_ = 1;
};

std::optional<std::uint64_t> ParseRevision(const std::string& text) {
  if (text.empty()) return 0;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || rest != end) return std::nullopt;
  return number;
}

// Converts lines to rows and collects all errors.
class csv_reader {
 public:
  csv_reader(const table_schema& table, const csv_line& header)
      : table_(table), header_(header.cells) {
    for (const auto& field : table.fields) RequireColumn(field.name);
    RequireColumn(kRevisionColumn);
    if (header_.size() > table.fields.size() + 1) {
      errors_.push_back(fmt::format("line {}: more columns than table {} has",
                                    header.number, table.name));
    }
  }

  void Read(const csv_line& line) {
    if (header_is_invalid_) return;
    if (line.cells.size() != header_.size()) {
      AddError(line, fmt::format("{} cells where the header has {}",
                                 line.cells.size(), header_.size()));
      return;
    }
    csv_row row;
    row.value = json::object();
    bool valid = true;
    for (const auto& field : table_.fields) {
      auto value = ParseField(field, Cell(line, field.name));
      if (value) {
        row.value[field.name] = *std::move(value);
      } else {
        valid = false;
        AddError(line, value.error().detail);
      }
    }
    const auto version = ParseRevision(Cell(line, kRevisionColumn));
    if (!version) AddError(line, "revision: allowed: a number, or nothing");
    if (!valid || !version) return;
    row.version = revision(*version);
    const std::string& id = Cell(line, table_.id_field());
    auto checked = ParseEntered(table_, id, row.value);
    if (!checked) {
      AddError(line, checked.error().detail);
      return;
    }
    if (!ids_.insert(id).second)
      AddError(line, "a second row with the same id");
    row.value = *std::move(checked);
    rows_.push_back(std::move(row));
  }

  result<std::vector<csv_row>> Finish() {
    if (errors_.empty()) return std::move(rows_);
    return Fail(error_code::kInvalidArgument, boost::join(errors_, "\n"));
  }

 private:
  void RequireColumn(const std::string& name) {
    if (std::count(header_.begin(), header_.end(), name) == 1) return;
    header_is_invalid_ = true;
    errors_.push_back("header: allowed: exactly one column " + name);
  }

  const std::string& Cell(const csv_line& line, const std::string& name) {
    const auto column = std::find(header_.begin(), header_.end(), name);
    return line.cells[static_cast<std::size_t>(column - header_.begin())];
  }

  void AddError(const csv_line& line, const std::string& what) {
    errors_.push_back(fmt::format("line {}: {}", line.number, what));
  }

  const table_schema& table_;
  std::vector<std::string> header_;
  std::vector<std::string> errors_;
  std::vector<csv_row> rows_;
  std::set<std::string> ids_;
  bool header_is_invalid_ = false;
};

}  // namespace

std::string WriteCsv(const table_schema& table,
                     const std::vector<csv_row>& rows) {
  std::string text;
  for (const auto& field : table.fields) text += field.name + ",";
  text += std::string(kRevisionColumn) + "\r\n";
  for (const auto& row : rows) {
    for (const auto& field : table.fields) {
      text += ToCell(row.value.at(field.name)) + ",";
    }
    text += std::to_string(row.version.value()) + "\r\n";
  }
  return text;
}

result<std::vector<csv_row>> ReadCsv(const table_schema& table,
                                     const std::string& text) {
  const auto lines = csv_parser(text).Parse();
  if (!lines) return tl::unexpected<error>(lines.error());
  if (lines->empty()) {
    return Fail(error_code::kInvalidArgument, "line 1: no header");
  }
  csv_reader reader(table, lines->front());
  for (std::size_t i = 1; i < lines->size(); ++i) reader.Read((*lines)[i]);
  return reader.Finish();
}

result<json> ParseField(const field_schema& field, const std::string& text) {
  switch (field.type) {
    case field_type::kText:
      return json(text);
    case field_type::kBoolean:
      // Spreadsheets write TRUE and FALSE.
      if (boost::iequals(text, "true")) return json(true);
      if (boost::iequals(text, "false")) return json(false);
      return Fail(error_code::kInvalidArgument,
                  field.name + ": allowed: true or false");
    case field_type::kInteger: {
      std::int64_t number = 0;
      const char* end = text.data() + text.size();
      const auto [rest, failure] = std::from_chars(text.data(), end, number);
      if (failure == std::errc() && rest == end) return json(number);
      return Fail(error_code::kInvalidArgument,
                  field.name + ": allowed: an integer");
    }
  }
  return Fail(error_code::kInvalidArgument, field.name);
}

}  // namespace bluebell::config
