#include "ctl/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "base/byte_budget.h"
#include "base/response_sequence.h"

namespace bluebell::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kConnectTimeout{2};
constexpr std::chrono::seconds kAnswerTimeout{20};
constexpr std::uint64_t kMaxAnswer = 64 * 1024 * 1024;

class http_client final : public admin_client {
 public:
  http_client(std::string address, std::string operator_key)
      : address_(std::move(address)), operator_key_(std::move(operator_key)) {}

  const std::string& address() const override { return address_; }

  result<http_answer> Call(const http_request& request) override {
    asio::io_context context;
    result<http_answer> answer = Lost("no answer");
    asio::spawn(context, [&](asio::yield_context yield) {
      answer = Exchange(context, request, yield);
    });
    context.run();
    return answer;
  }

 private:
  result<http_answer> Exchange(asio::io_context& context,
                               const http_request& request,
                               const asio::yield_context& yield) {
    boost::system::error_code failure;
    const auto colon = address_.rfind(':');
    asio::ip::tcp::resolver resolver(context);
    const auto found = resolver.async_resolve(
        address_.substr(0, colon), address_.substr(colon + 1), yield[failure]);
    if (failure) return Unreachable(failure);
    beast::tcp_stream stream(context);
    stream.expires_after(kConnectTimeout);
    stream.async_connect(found, yield[failure]);
    if (failure) return Unreachable(failure);

    const auto message = MakeMessage(request);
    stream.expires_after(kAnswerTimeout);
    http::async_write(stream, message, yield[failure]);
    if (failure) return Lost(failure.message());
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    response_sequence responses;
    while (true) {
      http::response_parser<http::string_body> parser;
      parser.body_limit(kMaxAnswer);
      http::async_read(stream, buffer, parser, yield[failure]);
      if (failure) return Lost(failure.message());
      const auto status = static_cast<int>(parser.get().result_int());
      const auto is_final = responses.Add(status);
      if (!is_final) return Lost(is_final.error().detail);
      if (*is_final) return http_answer{status, parser.get().body()};
    }
  }

  http::request<http::string_body> MakeMessage(
      const http_request& request) const {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, address_);
    message.set(http::field::authorization, "Bearer " + operator_key_);
    message.set(http::field::connection, "close");
    if (request.if_match) message.set(http::field::if_match, *request.if_match);
    if (!request.body.empty()) {
      message.set(http::field::content_type, "application/json");
      message.body() = request.body;
    }
    message.prepare_payload();
    return message;
  }

  tl::unexpected<error> Unreachable(
      const boost::system::error_code& failure) const {
    return Fail(error_code::kUnavailable, address_ + ": " + failure.message());
  }

  tl::unexpected<error> Lost(const std::string& cause) const {
    return Fail(error_code::kOutcomeUnknown, address_ + ": " + cause);
  }

  std::string address_;
  std::string operator_key_;
};

}  // namespace

std::unique_ptr<admin_client> MakeHttpClient(const std::string& address,
                                             const std::string& operator_key) {
  return std::make_unique<http_client>(address, operator_key);
}

}  // namespace bluebell::ctl
