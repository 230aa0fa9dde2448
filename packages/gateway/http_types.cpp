#include "gateway/http_types.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bluebell::gateway {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

void http_fields::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

std::string http_fields::Find(std::string_view name) const {
  const auto found = std::find_if(fields_.begin(), fields_.end(),
                                  [name](const http_field& field) {
                                    return EqualsIgnoringCase(field.name, name);
                                  });
  return found == fields_.end() ? std::string() : found->value;
}

std::size_t http_fields::Count(std::string_view name) const {
  return std::count_if(fields_.begin(), fields_.end(),
                       [name](const http_field& field) {
                         return EqualsIgnoringCase(field.name, name);
                       });
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned int code = 0;
    const char* digits = text.data() + i + 1;
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2;
    if (escaped) {
      decoded += static_cast<char>(code);
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) == name) {
      return equals == pair.size() ? std::string()
                                   : PercentDecode(pair.substr(equals + 1));
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return {};
}

}  // namespace bluebell::gateway
