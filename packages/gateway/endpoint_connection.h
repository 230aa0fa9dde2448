#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/byte_budget.h"
#include "base/result.h"
#include "gateway/http_types.h"

namespace bluebell::gateway {

/// How the end of a response's body is marked (RFC 9112, section 6.3).
enum class body_framing {
  kLength,
  kChunks,
  /// Neither a length nor chunks: the body ends with the connection.
  kConnection,
};

const char* ToString(body_framing framing);

/// What an endpoint sent more of than a connection may hold.
enum class excess {
  /// A head, the interim responses before one, the line of a chunk, or a
  /// trailer.
  kUnparsed,
  /// A body above the reader's limit.
  kBody,
  /// One event of a stream.
  kEvent,
  /// A body that the memory budget could not hold.
  kMemory,
};

const char* ToString(excess cause);

/// How a body must keep arriving whose time limit depends on its size.
struct body_progress {
  /// Longest time from one part to the next.
  std::chrono::milliseconds max_pause{0};
  /// This many bytes extend the time limit by a second.
  std::size_t bytes_per_s = 0;
  std::chrono::milliseconds max_extension{0};
};

/// A connection to an endpoint that carries one request at a time.
///
/// The owner decides whether to reuse it: an idle connection may be dead
/// without notice, and opening a new one costs a round trip of about 1 ms.
class endpoint_connection {
 public:
  /// Error `kUnavailable`: no connection, and no byte was sent.
  static result<std::unique_ptr<endpoint_connection>> Connect(
      boost::asio::io_context& context, const std::string& address,
      std::chrono::milliseconds timeout, boost::asio::yield_context yield);

  ~endpoint_connection();

  /// Sends the request. Error `kInvalidArgument`: a head cannot carry its
  /// target or a field, and no byte was sent; any other failure is
  /// `kOutcomeUnknown`. With `keep_alive` the endpoint may leave the connection
  /// open for another request.
  result<void> Send(const http_request& request,
                    std::chrono::milliseconds timeout,
                    boost::asio::yield_context yield, bool keep_alive = false);
  /// The same with `body` in place of the request's own.
  result<void> Send(const http_request& request, std::string_view body,
                    std::chrono::milliseconds timeout,
                    boost::asio::yield_context yield, bool keep_alive);
  /// Reads status and header fields of the final response; interim ones (1xx)
  /// are skipped. Errors: `kTimeout` for all of it, `kTooLarge`,
  /// `kOutcomeUnknown`, also for a head that is no answer in the protocol.
  /// After an error the connection cannot be used.
  result<http_response> ReadHead(std::chrono::milliseconds timeout,
                                 boost::asio::yield_context yield);
  /// Reads the next bytes of the body; returns an empty string at its end.
  /// Errors: `kTimeout`, `kTooLarge` for a line of a chunk or a trailer, and
  /// `kOutcomeUnknown` for a truncated body.
  result<std::string> ReadSome(std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield);
  /// Reads the rest of the body within `timeout`, which `progress`, if set,
  /// extends while bytes arrive. Error `kTooLarge` above `limit` bytes, or if
  /// `held` may not hold the body.
  result<std::string> ReadBody(
      std::size_t limit, std::chrono::milliseconds timeout,
      boost::asio::yield_context yield, byte_share* held = nullptr,
      std::optional<body_progress> progress = std::nullopt);
  /// Discards the parsed response and prepares for the next one, which the
  /// endpoint sends without another request.
  void ExpectNextResponse();
  /// Framing of the response whose head was read.
  body_framing framing() const;
  /// Whether the response was read completely, the endpoint keeps the
  /// connection open, and no bytes followed the response.
  bool reusable() const;
  /// Whether the idle connection is still open and has received no unsolicited
  /// bytes.
  bool open_and_idle();
  /// Closes the connection; pending reads and writes fail with an error.
  void Close();
  /// Closes the connection for what the endpoint sent.
  void CutOff(excess cause);
  /// Why the connection was cut off, also by a read; none if it was not.
  std::optional<excess> cut_off() const;

  struct state;

 private:
  explicit endpoint_connection(std::unique_ptr<state> opened);

  /// Reads the next bytes of the body, at most `room` of them; returns 0 at its
  /// end.
  result<std::size_t> ReadInto(char* to, std::size_t room,
                               std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield);

  std::unique_ptr<state> state_;
};

}  // namespace bluebell::gateway
