#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bluebell::gateway {

struct http_field {
  std::string name;
  std::string value;
};

/// Header fields in order of arrival; names are case-insensitive.
class http_fields {
 public:
  void Add(std::string name, std::string value);
  /// Value of the first field of that name, or empty.
  std::string Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  const std::vector<http_field>& all() const { return fields_; }

 private:
  std::vector<http_field> fields_;
};

/// An HTTP request, independent of the HTTP library's types.
struct http_request {
  std::string method;
  /// Path without the query.
  std::string path;
  /// Raw query without '?'.
  std::string query;
  http_fields fields;
  std::string body;
  /// IPv4 address of the sender; set by `http_server`.
  std::string remote_host;
};

struct http_response {
  int status = 200;
  http_fields fields;
  std::string body;
};

/// Value of `name` in a raw query, percent-decoded; empty if absent.
std::string QueryValue(std::string_view query, std::string_view name);

/// Decodes %XX and '+'; malformed sequences are left unchanged.
std::string PercentDecode(std::string_view text);

/// Compares two ASCII strings without regard to case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

}  // namespace bluebell::gateway
