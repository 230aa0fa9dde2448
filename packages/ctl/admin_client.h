#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"

namespace bluebell::ctl {

struct http_request {
  std::string method = "GET";
  /// Path and query, percent-encoded.
  std::string target;
  std::optional<std::string> if_match;
  std::string body;
};

struct http_answer {
  int status = 0;
  std::string body;
};

/// The admin listener of one host.
class admin_client {
 public:
  virtual ~admin_client() = default;

  virtual const std::string& address() const = 0;
  /// Fails with `kUnavailable` (no connection, nothing was sent) or
  /// `kOutcomeUnknown` (no whole answer).
  virtual result<http_answer> Call(const http_request& request) = 0;
};

/// Makes the client of one address.
using client_factory = std::function<std::unique_ptr<admin_client>(
    const std::string& address, const std::string& operator_key)>;

/// The admin listeners given on the command line, in their order.
class admin_group {
 public:
  explicit admin_group(std::vector<std::unique_ptr<admin_client>> hosts)
      : hosts_(std::move(hosts)) {}

  /// Calls the first host that connects, starting with the one that did last
  /// time. Fails with `kUnavailable` if none connects.
  result<http_answer> Call(const http_request& request);

  const std::vector<std::unique_ptr<admin_client>>& hosts() const {
    return hosts_;
  }

 private:
  std::vector<std::unique_ptr<admin_client>> hosts_;
  std::size_t first_ = 0;
};

/// Percent-encodes everything that may not stand in a path.
std::string EncodePath(const std::string& text);

}  // namespace bluebell::ctl
