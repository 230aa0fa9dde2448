#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "base/result.h"
#include "gateway/http_types.h"

namespace bluebell::gateway {

/// A connection to an endpoint that carries one request at a time.
///
/// Whether it is used again is its owner's choice: one that sat idle may be
/// silent for good, and opening one costs a round trip of about a millisecond.
class endpoint_connection {
 public:
  /// Error `kUnavailable`: no connection, and no byte was sent.
  static result<std::unique_ptr<endpoint_connection>> Connect(
      boost::asio::io_context& context, const std::string& address,
      std::chrono::milliseconds timeout, boost::asio::yield_context yield);

  ~endpoint_connection();

  /// Sends the request. Every failure is `kOutcomeUnknown`. With `keep_alive`
  /// the endpoint may leave the connection open for another request.
  result<void> Send(const http_request& request,
                    std::chrono::milliseconds timeout,
                    boost::asio::yield_context yield, bool keep_alive = false);
  /// Reads status and header fields. Errors: `kTimeout`, `kOutcomeUnknown`.
  result<http_answer> ReadHead(std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield);
  /// Reads the next bytes of the body; empty at its complete end. Errors:
  /// `kTimeout`, and `kOutcomeUnknown` for a body that was cut off.
  result<std::string> ReadPart(std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield);
  /// Reads the rest of the body, within `timeout` for all of it. Error
  /// `kTooLarge` above `limit` bytes.
  result<std::string> ReadRest(std::size_t limit,
                               std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield);
  /// Gives up the answer that was read and prepares for the next one, which the
  /// endpoint sends without another request.
  void ExpectAnother();
  /// Whether the answer was read to its end, the endpoint leaves the
  /// connection open, and nothing followed the answer.
  bool reusable() const;
  /// Whether the idle connection has neither ended nor received bytes that
  /// nobody asked for.
  bool quiet();
  /// Closes the connection; pending reads and writes end with an error.
  void Close();

  struct state;

 private:
  explicit endpoint_connection(std::unique_ptr<state> opened);

  std::unique_ptr<state> state_;
};

}  // namespace bluebell::gateway
