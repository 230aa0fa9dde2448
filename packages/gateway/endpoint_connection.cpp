#include "gateway/endpoint_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <utility>

#include "base/address.h"
#include "base/field_text.h"
#include "base/response_sequence.h"
#include "gateway/network.h"
#include "gateway/transfer_coding.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using io_error = boost::system::error_code;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadBytes = 4 * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

bool IsExcess(const io_error& ec) {
  return ec == http::error::buffer_overflow || ec == http::error::header_limit;
}

error ToError(const io_error& ec) {
  error_code code = error_code::kOutcomeUnknown;
  if (ec == beast::error::timeout) code = error_code::kTimeout;
  if (IsExcess(ec)) code = error_code::kTooLarge;
  return {code, ec.message()};
}

// What a head cannot carry would end a field, or the head, and begin another.
bool CanBeSent(std::string_view target, const http_fields& fields) {
  const auto& all = fields.all();
  return IsFieldText(target) && target.find_first_of(" \t") == target.npos &&
         std::all_of(all.begin(), all.end(), [](const http_field& field) {
           return IsFieldText(field.value);
         });
}

// Makes room for `space` bytes of `body`, within what `held` may hold. The old
// space is given back after the new one was filled.
bool Reserve(std::string& body, std::size_t space, byte_share* held) {
  const std::size_t before = body.empty() ? 0 : body.capacity();
  if (held != nullptr && !held->Resize(before + space)) return false;
  body.reserve(space);
  if (held != nullptr) held->Resize(space);
  return true;
}

}  // namespace

const char* ToString(body_framing framing) {
  switch (framing) {
    case body_framing::kLength:
      return "length";
    case body_framing::kChunks:
      return "chunks";
    case body_framing::kConnection:
      return "connection";
  }
  return "";
}

const char* ToString(excess cause) {
  switch (cause) {
    case excess::kUnparsed:
      return "unparsed";
    case excess::kBody:
      return "body";
    case excess::kEvent:
      return "event";
    case excess::kMemory:
      return "memory";
  }
  return "";
}

struct endpoint_connection::state {
  explicit state(asio::io_context& context) : stream(context) { Reset(); }

  void Reset() {
    parser.emplace();
    parser->header_limit(kMaxHeadBytes);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::array<char, kReadBytes> part;
  bool used = false;
  std::optional<excess> cut_off;
};

endpoint_connection::endpoint_connection(std::unique_ptr<state> opened)
    : state_(std::move(opened)) {}

endpoint_connection::~endpoint_connection() { Close(); }

void endpoint_connection::Close() {
  io_error ignored;
  state_->stream.socket().close(ignored);
}

void endpoint_connection::CutOff(excess cause) {
  state_->cut_off = cause;
  Close();
}

std::optional<excess> endpoint_connection::cut_off() const {
  return state_->cut_off;
}

result<std::unique_ptr<endpoint_connection>> endpoint_connection::Connect(
    asio::io_context& context, const std::string& address,
    std::chrono::milliseconds timeout, asio::yield_context yield) {
  const auto target = ParseAddress(address);
  if (!target) return Fail(error_code::kUnavailable, target.error().detail);
  auto opened = std::make_unique<state>(context);
  io_error ec;
  opened->stream.expires_after(timeout);
  opened->stream.async_connect(*target, yield[ec]);
  if (ec) {
    return Fail(error_code::kUnavailable, address + ": " + ec.message());
  }
  DisableNagle(opened->stream.socket());
  return std::unique_ptr<endpoint_connection>(
      new endpoint_connection(std::move(opened)));
}

result<void> endpoint_connection::Send(const http_request& request,
                                       std::chrono::milliseconds timeout,
                                       asio::yield_context yield,
                                       bool keep_alive) {
  return Send(request, request.body, timeout, yield, keep_alive);
}

result<void> endpoint_connection::Send(const http_request& request,
                                       std::string_view body,
                                       std::chrono::milliseconds timeout,
                                       asio::yield_context yield,
                                       bool keep_alive) {
  const auto target =
      request.query.empty() ? request.path : request.path + "?" + request.query;
  if (!CanBeSent(target, request.fields)) {
    return Fail(error_code::kInvalidArgument,
                "a head cannot carry the request");
  }
  if (state_->used) state_->Reset();
  state_->used = true;
  http::request<http::span_body<const char>> message;
  message.method_string(request.method);
  message.target(target);
  message.version(11);
  for (const auto& field : request.fields.all()) {
    message.insert(field.name, field.value);
  }
  message.keep_alive(keep_alive);
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  io_error ec;
  state_->stream.expires_after(timeout);
  http::async_write(state_->stream, message, yield[ec]);
  if (ec) return Fail(error_code::kOutcomeUnknown, ec.message());
  return {};
}

void endpoint_connection::ExpectNextResponse() { state_->Reset(); }

body_framing endpoint_connection::framing() const {
  if (state_->parser->need_eof()) return body_framing::kConnection;
  return state_->parser->chunked() ? body_framing::kChunks
                                   : body_framing::kLength;
}

bool endpoint_connection::reusable() const {
  const auto& parser = *state_->parser;
  return state_->stream.socket().is_open() && parser.is_done() &&
         parser.keep_alive() && framing() != body_framing::kConnection &&
         state_->buffer.size() == 0;
}

bool endpoint_connection::open_and_idle() {
  auto& socket = state_->stream.socket();
  char byte = 0;
  io_error ec;
  socket.non_blocking(true, ec);
  if (!ec) {
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  }
  return ec == asio::error::would_block && state_->buffer.size() == 0;
}

result<http_response> endpoint_connection::ReadHead(
    std::chrono::milliseconds timeout, asio::yield_context yield) {
  // Applies to all reads below.
  state_->stream.expires_after(timeout);
  response_sequence responses;
  http_response head;
  while (true) {
    io_error ec;
    http::async_read_header(state_->stream, state_->buffer, *state_->parser,
                            yield[ec]);
    if (IsExcess(ec)) CutOff(excess::kUnparsed);
    if (ec) return tl::unexpected(ToError(ec));
    head.status = static_cast<int>(state_->parser->get().result_int());
    const auto is_final = responses.Add(head.status);
    if (!is_final) {
      if (is_final.error().code == error_code::kTooLarge) {
        CutOff(excess::kUnparsed);
      } else {
        Close();
      }
      return tl::unexpected(is_final.error());
    }
    if (*is_final) break;
    ExpectNextResponse();
  }
  for (const auto& field : state_->parser->get()) {
    head.fields.Add(std::string(field.name_string()),
                    std::string(field.value()));
  }
  if (!IsCodingKnown(head.fields, state_->parser->get().version() == kHttp11)) {
    Close();
    return Fail(error_code::kOutcomeUnknown, "unknown transfer coding");
  }
  return head;
}

result<std::size_t> endpoint_connection::ReadInto(
    char* to, std::size_t room, std::chrono::milliseconds timeout,
    asio::yield_context yield) {
  auto& parser = *state_->parser;
  while (!parser.is_done()) {
    parser.get().body().data = to;
    parser.get().body().size = room;
    io_error ec;
    state_->stream.expires_after(timeout);
    http::async_read_some(state_->stream, state_->buffer, parser, yield[ec]);
    if (IsExcess(ec)) CutOff(excess::kUnparsed);
    if (ec && ec != http::error::need_buffer) {
      return tl::unexpected(ToError(ec));
    }
    const std::size_t taken = room - parser.get().body().size;
    if (taken > 0) return taken;
  }
  return 0;
}

result<std::string> endpoint_connection::ReadSome(
    std::chrono::milliseconds timeout, asio::yield_context yield) {
  const auto taken =
      ReadInto(state_->part.data(), state_->part.size(), timeout, yield);
  if (!taken) return tl::unexpected(taken.error());
  return std::string(state_->part.data(), *taken);
}

result<std::string> endpoint_connection::ReadBody(
    std::size_t limit, std::chrono::milliseconds timeout,
    asio::yield_context yield, byte_share* held,
    std::optional<body_progress> progress) {
  using steady = std::chrono::steady_clock;
  using std::chrono::milliseconds;
  const auto started = steady::now();
  const auto no_memory = [this] {
    CutOff(excess::kMemory);
    return Fail(error_code::kTooLarge, "too many answers are held");
  };
  std::string body;
  const auto& parser = *state_->parser;
  const auto length = parser.content_length();
  const auto fail = [&](const error& cause) {
    return Fail(cause.code,
                cause.detail + " after " + std::to_string(body.size()) +
                    (length ? " of " + std::to_string(*length) : "") +
                    " bytes");
  };
  if (!parser.is_done() && length) {
    if (*length > limit) {
      CutOff(excess::kBody);
      return Fail(error_code::kTooLarge, "the answer is too large");
    }
    if (!Reserve(body, static_cast<std::size_t>(*length), held)) {
      return no_memory();
    }
  }
  while (!parser.is_done()) {
    auto extension = milliseconds(0);
    if (progress) {
      extension =
          std::min(milliseconds(1000 * body.size() / progress->bytes_per_s),
                   progress->max_extension);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(
        started + timeout + extension - steady::now());
    if (left.count() <= 0) return fail({error_code::kTimeout, "body too slow"});
    const std::size_t before = body.size();
    if (!length && body.capacity() - before < kReadBytes &&
        !Reserve(body, std::max(before + kReadBytes, 2 * body.capacity()),
                 held)) {
      return no_memory();
    }
    const bool is_large =
        length ? *length - before > kReadBytes : before >= kReadBytes;
    if (is_large) state_->buffer.reserve(kLargeReadBytes);
    const std::size_t room =
        std::min(body.capacity() - before, kLargeReadBytes);
    body.resize(before + room);
    const auto taken =
        ReadInto(body.data() + before, room,
                 progress ? std::min(left, progress->max_pause) : left, yield);
    body.resize(before + taken.value_or(0));
    if (!taken) return fail(taken.error());
    if (body.size() > limit) {
      CutOff(excess::kBody);
      return Fail(error_code::kTooLarge, "the answer is too large");
    }
  }
  // Idle connections are many; each keeps little memory.
  if (state_->buffer.capacity() >= kLargeReadBytes) {
    state_->buffer.shrink_to_fit();
  }
  return body;
}

}  // namespace bluebell::gateway
