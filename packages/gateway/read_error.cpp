#include "gateway/read_error.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bluebell::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using io_error = boost::system::error_code;

std::optional<problem_code> ToProblem(const io_error& ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return problem_code::kHeadersTooLarge;
  if (ec == http::error::body_limit) return problem_code::kBodyTooLarge;
  if (ec == beast::error::timeout) return problem_code::kRequestTimeout;
  if (ec == boost::system::errc::not_enough_memory)
    return problem_code::kNotReady;
  if (ec == http::error::end_of_stream || ec == http::error::partial_message)
    return std::nullopt;
  if (ec.category() ==
      http::make_error_code(http::error::bad_method).category())
    return problem_code::kMalformedRequest;
  return std::nullopt;
}

connection_cause ToCause(const io_error& ec, bool head_read) {
  if (ec == beast::error::timeout) {
    return head_read ? connection_cause::kBodyTimeout
                     : connection_cause::kHeadTimeout;
  }
  if (ec == boost::system::errc::not_enough_memory)
    return connection_cause::kNoMemory;
  if (ec == http::error::end_of_stream || ec == http::error::partial_message ||
      ec == asio::error::eof) {
    return connection_cause::kCallerClosed;
  }
  return ToProblem(ec) ? connection_cause::kRejected
                       : connection_cause::kReadFailed;
}

}  // namespace bluebell::gateway
