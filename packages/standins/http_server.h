#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"

namespace bluebell::standins {

struct http_request {
  std::string method;
  /// Path and query as received.
  std::string target;
  /// Percent-decoded path and query parameters.
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case; repeated fields are joined by ", ".
  std::map<std::string, std::string> headers;
  std::string body;
};

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

/// What goes wrong with an answer on its way.
enum class answer_fault {
  kNone,
  /// The connection closes without an answer.
  kLose,
  /// A whole answer is cut after half of its body, a stream after
  /// `kTruncatedEvents` events; then the connection closes.
  kTruncate,
  /// A whole answer is sent twice on the connection; a stream sends each event
  /// twice.
  kDuplicate,
};

constexpr int kTruncatedEvents = 3;

/// One request and the means to answer it, at once or later. Use either `Send`
/// or `StartStream`, `Write` and `EndStream`. Calls after the end are ignored.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  http_request& request() { return request_; }
  void set_fault(answer_fault fault) { fault_ = fault; }

  virtual void Send(http_response response) = 0;
  virtual void StartStream(http_response head) = 0;
  virtual void Write(std::string text) = 0;
  virtual void EndStream() = 0;
  /// Closes the connection without any further byte.
  virtual void Close() = 0;
  /// Keeps the connection open and silent for good.
  virtual void Freeze() = 0;
  /// Calls `callback` once if the client closes the connection before the end
  /// of the answer.
  virtual void OnDisconnect(std::function<void()> callback) = 0;

 protected:
  answer_fault fault() const { return fault_; }

 private:
  http_request request_;
  answer_fault fault_ = answer_fault::kNone;
};

using exchange_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// HTTP/1.1 server with keep-alive on an `io_context`; many requests may wait
/// for their answers at a time.
class http_server {
 public:
  http_server(boost::asio::io_context& context, exchange_handler handler);
  ~http_server();

  /// Listens on `IPv4:port` and returns the address in use; port 0 lets the
  /// system choose.
  result<std::string> Listen(const std::string& address);
  /// Closes the listener and all connections; new connections are refused.
  void Stop();
  /// Makes all open connections silent for good, except the one of `spared`.
  /// New connections work.
  void FreezeConnections(const http_exchange* spared = nullptr);
  /// Number of connections accepted so far.
  std::int64_t accepted() const;

  struct shared_state;

 private:
  std::shared_ptr<shared_state> state_;
};

/// Splits and decodes `target` into `request.path` and `request.query`.
void ParseTarget(const std::string& target, http_request& request);

}  // namespace bluebell::standins
