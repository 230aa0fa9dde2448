#include "config/rows.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <limits>
#include <optional>

#include "base/address.h"
#include "config/row_names.h"

namespace bluebell::config {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextLength = 256;
constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr std::int64_t kMaxTokens = 1'000'000'000'000;
constexpr std::int64_t kMaxMemoryBytes = 1'000'000'000'000'000;
constexpr int kMaxPriority = 9;
constexpr int kMaxCopies = 10'000;
constexpr int kMaxConcurrency = 1'000'000;

constexpr const char* kIdAllowed =
    "1 to 256 letters, digits and . _ : @ + - /, without empty, '.' or '..' "
    "parts between slashes";
constexpr const char* kDigestAllowed =
    "a SHA-256 digest of 64 lower-case hexadecimal digits";
constexpr const char* kNameAllowed = "1 to 256 letters, digits and . _ : @ + -";
constexpr const char* kOptionalNameAllowed =
    "up to 256 letters, digits and . _ : @ + -";
constexpr const char* kPrefixAllowed =
    "a path of up to 256 printable characters that starts with '/' and has no "
    "'?', '#', '//' or '..'";

bool IsOptionalName(const std::string& text) {
  return text.empty() || IsName(text);
}

bool IsPathPrefix(const std::string& text) {
  if (text.empty() || text.size() > kMaxTextLength || text[0] != '/') {
    return false;
  }
  const bool printable = std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~' && c != '?' && c != '#';
  });
  return printable && text.find("//") == std::string::npos &&
         text.find("..") == std::string::npos;
}

// Reads the fields of one row and keeps the first error. Errors never contain
// the value, because an operator may have entered a key in the wrong field.
class field_reader {
 public:
  explicit field_reader(const json& value) : value_(value) {
    if (!value.is_object()) Reject("row", "a JSON object");
  }

  std::int64_t Integer(const char* name, std::int64_t minimum,
                       std::int64_t maximum,
                       std::optional<std::int64_t> default_value = {}) {
    const json* field = Find(name);
    if (field == nullptr && default_value) return *default_value;
    const std::string allowed =
        fmt::format("an integer from {} to {}", minimum, maximum);
    if (field == nullptr || !field->is_number_integer() ||
        ExceedsInt64(*field)) {
      return Reject(name, allowed), minimum;
    }
    const auto number = field->get<std::int64_t>();
    if (number < minimum || number > maximum) Reject(name, allowed);
    return number;
  }

  bool Boolean(const char* name, std::optional<bool> default_value = {}) {
    const json* field = Find(name);
    if (field == nullptr && default_value) return *default_value;
    if (field == nullptr || !field->is_boolean()) {
      return Reject(name, "true or false"), false;
    }
    return field->get<bool>();
  }

  std::string Text(const char* name, bool (*accepts)(const std::string&),
                   const char* allowed,
                   std::optional<std::string> default_value = {}) {
    const json* field = Find(name);
    if (field == nullptr && default_value) return *default_value;
    if (field == nullptr || !field->is_string()) {
      return Reject(name, allowed), "";
    }
    auto text = field->get<std::string>();
    if (!accepts(text)) Reject(name, allowed);
    return text;
  }

  void Reject(const char* name, const std::string& allowed) {
    if (error_.empty()) error_ = fmt::format("{}: allowed: {}", name, allowed);
  }

  template <class Row>
  result<Row> Finish(Row row) const {
    if (!error_.empty()) return Fail(error_code::kInvalidArgument, error_);
    return row;
  }

 private:
  const json* Find(const char* name) const {
    if (!value_.is_object()) return nullptr;
    const auto found = value_.find(name);
    return found == value_.end() ? nullptr : &*found;
  }

  static bool ExceedsInt64(const json& number) {
    return number.is_number_unsigned() &&
           number.get<std::uint64_t>() >
               static_cast<std::uint64_t>(
                   std::numeric_limits<std::int64_t>::max());
  }

  const json& value_;
  std::string error_;
};

const char* ToString(endpoint_kind kind) {
  return kind == endpoint_kind::kEngine ? "engine" : "service";
}

bool IsEndpointKind(const std::string& text) {
  return text == "engine" || text == "service";
}

}  // namespace

template <>
result<account_row> ParseRow(const json& value) {
  field_reader read(value);
  account_row row;
  row.id = account_id(read.Text("id", IsRowId, kIdAllowed));
  row.weight = read.Integer("weight", 1, kMaxWeight, row.weight);
  row.rate = token_count(read.Integer("rate", 0, kMaxTokens));
  row.burst = token_count(read.Integer("burst", 0, kMaxTokens));
  row.priority =
      static_cast<int>(read.Integer("priority", 0, kMaxPriority, row.priority));
  return read.Finish(std::move(row));
}

template <>
result<key_row> ParseRow(const json& value) {
  field_reader read(value);
  key_row row;
  row.digest = read.Text("digest", IsKeyDigest, kDigestAllowed);
  row.account = account_id(read.Text("account", IsRowId, kIdAllowed));
  row.withdrawn = read.Boolean("withdrawn", false);
  return read.Finish(std::move(row));
}

template <>
result<model_row> ParseRow(const json& value) {
  field_reader read(value);
  model_row row;
  row.id = model_id(read.Text("id", IsRowId, kIdAllowed));
  row.memory = byte_count(read.Integer("memory_bytes", 1, kMaxMemoryBytes));
  row.min_copies = static_cast<int>(
      read.Integer("min_copies", 1, kMaxCopies, row.min_copies));
  return read.Finish(std::move(row));
}

template <>
result<adapter_row> ParseRow(const json& value) {
  field_reader read(value);
  adapter_row row;
  row.id = adapter_id(read.Text("id", IsRowId, kIdAllowed));
  row.model = model_id(read.Text("model", IsRowId, kIdAllowed));
  row.memory = byte_count(read.Integer("memory_bytes", 1, kMaxMemoryBytes));
  return read.Finish(std::move(row));
}

template <>
result<endpoint_row> ParseRow(const json& value) {
  field_reader read(value);
  endpoint_row row;
  row.id = endpoint_id(read.Text("id", IsRowId, kIdAllowed));
  row.address = read.Text("address", IsAddress, "IPv4:port");
  row.zone = zone_id(read.Text("zone", IsName, kNameAllowed));
  row.kind = read.Text("kind", IsEndpointKind, "engine, service") == "service"
                 ? endpoint_kind::kService
                 : endpoint_kind::kEngine;
  row.group = read.Text("group", IsOptionalName, kOptionalNameAllowed, "");
  row.memory = byte_count(read.Integer("memory_bytes", 0, kMaxMemoryBytes, 0));
  row.checks_fencing = read.Boolean("checks_fencing", row.checks_fencing);
  row.max_concurrency = static_cast<int>(
      read.Integer("max_concurrency", 1, kMaxConcurrency, row.max_concurrency));
  if (row.kind == endpoint_kind::kService && row.group.empty()) {
    read.Reject("group", "a name, if kind is service");
  }
  if (row.kind == endpoint_kind::kEngine && row.memory.value() == 0) {
    read.Reject("memory_bytes", "at least 1, if kind is engine");
  }
  return read.Finish(std::move(row));
}

template <>
result<route_row> ParseRow(const json& value) {
  field_reader read(value);
  route_row row;
  row.id = read.Text("id", IsRowId, kIdAllowed);
  row.prefix = read.Text("prefix", IsPathPrefix, kPrefixAllowed);
  row.group = read.Text("group", IsName, kNameAllowed);
  row.open = read.Boolean("open", row.open);
  // No default: a wrong one could execute a non-idempotent request, such as a
  // payment, twice.
  row.repeatable = read.Boolean("repeatable");
  return read.Finish(std::move(row));
}

json ToJson(const account_row& row) {
  return {{"id", row.id.value()},
          {"weight", row.weight},
          {"rate", row.rate.value()},
          {"burst", row.burst.value()},
          {"priority", row.priority}};
}

json ToJson(const key_row& row) {
  return {{"digest", row.digest},
          {"account", row.account.value()},
          {"withdrawn", row.withdrawn}};
}

json ToJson(const model_row& row) {
  return {{"id", row.id.value()},
          {"memory_bytes", row.memory.value()},
          {"min_copies", row.min_copies}};
}

json ToJson(const adapter_row& row) {
  return {{"id", row.id.value()},
          {"model", row.model.value()},
          {"memory_bytes", row.memory.value()}};
}

json ToJson(const endpoint_row& row) {
  return {{"id", row.id.value()},
          {"address", row.address},
          {"zone", row.zone.value()},
          {"kind", ToString(row.kind)},
          {"group", row.group},
          {"memory_bytes", row.memory.value()},
          {"checks_fencing", row.checks_fencing},
          {"max_concurrency", row.max_concurrency}};
}

json ToJson(const route_row& row) {
  return {{"id", row.id},
          {"prefix", row.prefix},
          {"group", row.group},
          {"open", row.open},
          {"repeatable", row.repeatable}};
}

}  // namespace bluebell::config
