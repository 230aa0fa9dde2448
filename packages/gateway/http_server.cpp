#include "gateway/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <map>
#include <optional>
#include <set>

#include "base/address.h"
#include "gateway/network.h"

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#endif

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using io_error = boost::system::error_code;

}  // namespace

const char* ToString(connection_phase phase) {
  switch (phase) {
    case connection_phase::kIdle:
      return "idle";
    case connection_phase::kReading:
      return "reading";
    case connection_phase::kServing:
      return "serving";
    case connection_phase::kClosing:
      return "closing";
  }
  return "";
}

/// State shared by the connections of one listener.
struct http_server::state {
  state(asio::io_context& io, http_limits bounds, handler request,
        error_handler request_error)
      : context(io),
        acceptor(io),
        limits(bounds),
        on_request(std::move(request)),
        on_request_error(std::move(request_error)),
        linger(io) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  http_limits limits;
  handler on_request;
  error_handler on_request_error;
  std::size_t open_requests = 0;
  std::uint64_t next_connection = 0;
  /// Open connections by number.
  std::map<std::uint64_t, connection_status> connections;
  std::function<void(const connection_status&)> on_connection_end;
  bool close_after_responses = false;
  /// Connections that wait for the first byte of a request.
  std::set<beast::tcp_stream*> idle;
  asio::steady_timer linger;
};

namespace {

// Detects that the caller disconnects while its request is processed. Only
// peeks at the socket: bytes that arrive early belong to the next request.
class disconnect_detector
    : public std::enable_shared_from_this<disconnect_detector> {
 public:
  explicit disconnect_detector(tcp::socket& socket) : socket_(socket) {}

  void Start() {
    // The close may have arrived together with the request.
    Check();
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const io_error& ec) {
                         if (!ec && !self->stopped_) self->Check();
                       });
  }

  void Stop() {
    stopped_ = true;
    callback_ = nullptr;
    io_error ignored;
    socket_.cancel(ignored);
  }

  void OnDisconnect(std::function<void()> callback) {
    callback_ = std::move(callback);
  }
  bool disconnected() const { return disconnected_; }
  void MarkDisconnected() {
    if (disconnected_) return;
    disconnected_ = true;
    if (auto callback = std::move(callback_)) callback();
  }

 private:
  void Check() {
    char byte = 0;
    io_error ec;
    const bool was_non_blocking = socket_.non_blocking();
    socket_.non_blocking(true, ec);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    io_error ignored;
    socket_.non_blocking(was_non_blocking, ignored);
    if (ec && ec != asio::error::would_block) MarkDisconnected();
  }

  tcp::socket& socket_;
  std::function<void()> callback_;
  bool stopped_ = false;
  bool disconnected_ = false;
};

// Writes one response to the caller's connection.
class connection_writer final : public response_writer {
 public:
  connection_writer(beast::tcp_stream& stream, const http_limits& limits,
                    std::shared_ptr<disconnect_detector> detector,
                    connection_position position, bool keep_alive)
      : stream_(stream),
        limits_(limits),
        detector_(std::move(detector)),
        position_(position),
        keep_alive_(keep_alive) {}

  void SendResponse(const http_response& response,
                    asio::yield_context yield) override {
    started_ = true;
    http::response<http::string_body> message{
        static_cast<http::status>(response.status), 11};
    for (const auto& field : response.fields.all()) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(keep_alive_);
    message.body() = response.body;
    message.prepare_payload();
    io_error ec;
    stream_.expires_after(limits_.write_timeout);
    http::async_write(stream_, message, yield[ec]);
    CheckWrite(ec);
    finished_ = !ec;
  }

  void StartStream(const http_response& head,
                   asio::yield_context yield) override {
    started_ = true;
    http::response<http::empty_body> message{
        static_cast<http::status>(head.status), 11};
    for (const auto& field : head.fields.all()) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer{message};
    io_error ec;
    stream_.expires_after(limits_.write_timeout);
    http::async_write_header(stream_, serializer, yield[ec]);
    CheckWrite(ec);
  }

  void SendChunk(std::string_view chunk, asio::yield_context yield) override {
    if (chunk.empty() || broken_) return;
    io_error ec;
    stream_.expires_after(limits_.write_timeout);
    asio::async_write(
        stream_, http::make_chunk(asio::buffer(chunk.data(), chunk.size())),
        yield[ec]);
    CheckWrite(ec);
  }

  void FinishStream(asio::yield_context yield) override {
    if (broken_) return;
    io_error ec;
    stream_.expires_after(limits_.write_timeout);
    asio::async_write(stream_, http::make_chunk_last(), yield[ec]);
    CheckWrite(ec);
    finished_ = !ec;
  }

  void AbortStream() override {
    broken_ = true;
    io_error ignored;
    stream_.socket().close(ignored);
  }

  response_progress progress() const override {
    if (!started_) return response_progress::kNone;
    return finished_ ? response_progress::kComplete
                     : response_progress::kPartial;
  }
  connection_position position() const override { return position_; }
  bool started() const override { return started_; }
  bool caller_disconnected() const override {
    return detector_->disconnected();
  }
  void OnCallerDisconnect(std::function<void()> callback) override {
    detector_->OnDisconnect(std::move(callback));
  }

  /// Whether the connection may carry another request.
  bool reusable() const { return finished_ && keep_alive_; }

 private:
  void CheckWrite(const io_error& ec) {
    if (!ec) return;
    broken_ = true;
    detector_->MarkDisconnected();
  }

  beast::tcp_stream& stream_;
  const http_limits& limits_;
  std::shared_ptr<disconnect_detector> detector_;
  connection_position position_;
  bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
};

using request_parser = http::request_parser<http::string_body>;

// Cancels pending reads at a deadline but leaves the socket open, so that an
// error response can be sent; the timeout of `tcp_stream` closes the socket.
class read_deadline {
 public:
  read_deadline(tcp::socket& socket, std::chrono::milliseconds limit)
      : timer_(socket.get_executor(), limit) {
    timer_.async_wait([&socket, expired = expired_](const io_error& ec) {
      if (ec || *expired) return;
      *expired = true;
      io_error ignored;
      socket.cancel(ignored);
    });
  }
  // Disarms a timer handler that is already queued.
  ~read_deadline() { *expired_ = true; }

  /// Maps the error of a read cancelled by the deadline to a timeout.
  io_error Translate(const io_error& ec) const {
    const bool timed_out = ec == asio::error::operation_aborted && *expired_;
    return timed_out ? io_error(beast::error::timeout) : ec;
  }

 private:
  std::shared_ptr<bool> expired_ = std::make_shared<bool>(false);
  asio::steady_timer timer_;
};

// The address sanitizer cannot follow an exception on the stack of a coroutine.
// Clears its marks of the frames that the exception has ended, which later
// calls would run into.
void ClearEndedFrames() {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::size_t kFrameBytes = 64 * 1024;
  const auto* here = static_cast<const char*>(__builtin_frame_address(0));
  __asan_unpoison_memory_region(here - kFrameBytes, kFrameBytes);
#endif
}

// Maps a failed read to the problem sent to the caller; empty if the
// connection is closed without a response.
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

http_request ToRequest(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) request.query = target.substr(mark + 1);
  for (const auto& field : message) {
    request.fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

// One accepted connection.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<http_server::state> shared, tcp::socket socket)
      : state_(std::move(shared)),
        stream_(std::move(socket)),
        held_(state_->limits.memory),
        number_(++state_->next_connection),
        status_(state_->connections[number_]) {
    status_.position.connection = number_;
  }
  ~connection() {
    const connection_status last = status_;
    state_->connections.erase(number_);
    if (state_->on_connection_end) state_->on_connection_end(last);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void Run(asio::yield_context yield) {
    DisableNagle(stream_.socket());
    while (ServeOne(yield)) {
      status_.phase = connection_phase::kIdle;
    }
    io_error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  }

 private:
  // Serves one request; returns whether the connection stays open.
  bool ServeOne(asio::yield_context yield) {
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(state_->limits.max_header_bytes);
    parser->body_limit(state_->limits.max_body_bytes);
    // Bounds what the parser cannot consume yet, also within a body.
    buffer_.max_size(std::max<std::size_t>(
        buffer_.size(), state_->limits.max_header_bytes + kReadBytes));
    const io_error ec = Read(*parser, yield);
    if (ec) {
      parser.reset();
      Hold(0);
      return SendRequestError(ec, yield);
    }

    const bool keep_alive =
        parser->get().keep_alive() && !state_->close_after_responses;
    http_request request = ToRequest(parser->release());
    io_error unknown;
    const auto remote = stream_.socket().remote_endpoint(unknown);
    if (!unknown) request.remote_host = remote.address().to_string();
    parser.reset();
    const bool stays_open = Handle(request, keep_alive, yield);
    Hold(0);
    return stays_open;
  }

  io_error Read(request_parser& parser, asio::yield_context yield) {
    io_error ec;
    if (buffer_.size() == 0) {
      stream_.expires_after(state_->limits.idle_timeout);
      state_->idle.insert(&stream_);
      const std::size_t count =
          stream_.async_read_some(buffer_.prepare(kReadBytes), yield[ec]);
      state_->idle.erase(&stream_);
      if (ec) {
        status_.phase = connection_phase::kClosing;
        return ec;
      }
      buffer_.commit(count);
    }
    status_.phase = connection_phase::kReading;
    stream_.expires_never();
    {
      read_deadline deadline(stream_.socket(), state_->limits.header_timeout);
      http::async_read_header(stream_, buffer_, parser, yield[ec]);
      if (ec) return deadline.Translate(ec);
      if (!Hold(0)) return NoMemory();
    }
    if (EqualsIgnoringCase(std::string(parser.get()[http::field::expect]),
                           "100-continue")) {
      SendContinue(yield);
    }
    read_deadline deadline(stream_.socket(), state_->limits.body_timeout);
    parser.eager(true);
    while (!ec && !parser.is_done()) {
      http::async_read_some(stream_, buffer_, parser, yield[ec]);
      if (!ec && !Hold(BodyBytes(parser))) return NoMemory();
    }
    return deadline.Translate(ec);
  }

  // Memory that a body takes. Space for a body of known length is reserved at
  // once, but only the part that was received is resident.
  static std::size_t BodyBytes(const request_parser& parser) {
    const auto& body = parser.get().body();
    return parser.chunked() ? body.capacity() : body.size();
  }

  // Takes the memory of the buffer and of a body of `bytes`.
  bool Hold(std::size_t bytes) {
    return held_.Resize(buffer_.capacity() + bytes);
  }
  static io_error NoMemory() {
    return make_error_code(boost::system::errc::not_enough_memory);
  }

  void SendContinue(asio::yield_context yield) {
    http::response<http::empty_body> message{http::status::continue_, 11};
    io_error ignored;
    http::async_write(stream_, message, yield[ignored]);
  }

  bool Handle(const http_request& request, bool keep_alive,
              asio::yield_context yield) {
    // Clears the timeout: the detector's wait, the only one that the socket may
    // have pending, has no time limit.
    stream_.expires_never();
    auto detector = std::make_shared<disconnect_detector>(stream_.socket());
    status_.phase = connection_phase::kServing;
    ++status_.position.requests;
    connection_writer writer(stream_, state_->limits, detector,
                             status_.position, keep_alive);
    detector->Start();
    ++state_->open_requests;
    Serve(request, writer, yield);
    --state_->open_requests;
    detector->Stop();
    if (writer.progress() == response_progress::kComplete ||
        writer.caller_disconnected()) {
      status_.phase = connection_phase::kClosing;
    }
    return writer.reusable();
  }

  // An exception ends the request only. Its handler must not suspend the
  // coroutine: the runtime keeps one stack of caught exceptions per thread.
  void Serve(const http_request& request, connection_writer& writer,
             asio::yield_context yield) {
    std::string failed;
    try {
      state_->on_request(request, writer, yield);
      return;
    } catch (const std::exception& failure) {
      failed = failure.what();
    }
    ClearEndedFrames();
    if (writer.started()) return writer.AbortStream();
    writer.SendResponse(
        state_->on_request_error(problem_code::kInternalError, failed), yield);
  }

  bool SendRequestError(const io_error& ec, asio::yield_context yield) {
    const auto code = ToProblem(ec);
    if (!code) return false;
    if (code == problem_code::kHeadersTooLarge ||
        code == problem_code::kBodyTooLarge ||
        code == problem_code::kNotReady) {
      status_.cut_off = code;
      io_error unknown;
      const auto remote = stream_.socket().remote_endpoint(unknown);
      if (!unknown) {
        status_.peer =
            remote.address().to_string() + ":" + std::to_string(remote.port());
      }
    }
    const auto detector =
        std::make_shared<disconnect_detector>(stream_.socket());
    connection_writer writer(stream_, state_->limits, detector,
                             status_.position, false);
    writer.SendResponse(state_->on_request_error(*code, ec.message()), yield);
    Linger(yield);
    return false;
  }

  // Lingering close: discards what the caller still sends for a limited time.
  // Closing immediately would reset the connection and could lose the response.
  void Linger(asio::yield_context yield) {
    io_error ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream_.expires_after(kLingerTime);
    std::size_t taken = 0;
    while (!ec && taken < kLingerBytes) {
      buffer_.clear();
      taken += stream_.async_read_some(buffer_.prepare(kReadBytes), yield[ec]);
    }
  }

  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::size_t kLingerBytes = 4 * 1024 * 1024;
  static constexpr std::chrono::seconds kLingerTime{1};

  std::shared_ptr<http_server::state> state_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  byte_share held_;
  std::uint64_t number_;
  connection_status& status_;
};

void AcceptLoop(const std::shared_ptr<http_server::state>& shared,
                asio::yield_context yield) {
  constexpr std::chrono::milliseconds kAcceptRetry{50};
  while (shared->acceptor.is_open()) {
    io_error ec;
    tcp::socket socket(shared->context);
    shared->acceptor.async_accept(socket, yield[ec]);
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      // Out of file descriptors: retry after a delay instead of busy-looping.
      asio::steady_timer pause(shared->context, kAcceptRetry);
      pause.async_wait(yield[ec]);
      continue;
    }
    auto accepted = std::make_shared<connection>(shared, std::move(socket));
    SpawnTask(shared->context,
              [accepted](asio::yield_context inner) { accepted->Run(inner); });
  }
}

}  // namespace

result<std::unique_ptr<http_server>> http_server::Listen(
    asio::io_context& context, const std::string& address, http_limits limits,
    handler on_request, error_handler on_request_error) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return tl::unexpected(endpoint.error());
  auto shared = std::make_shared<state>(context, limits, std::move(on_request),
                                        std::move(on_request_error));
  io_error ec;
  shared->acceptor.open(tcp::v4(), ec);
  shared->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  shared->acceptor.bind(*endpoint, ec);
  if (!ec)
    shared->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return Fail(error_code::kUnavailable, address + ": " + ec.message());
  }
  SpawnTask(context,
            [shared](asio::yield_context yield) { AcceptLoop(shared, yield); });
  return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

http_server::http_server(std::shared_ptr<state> shared)
    : state_(std::move(shared)) {}

http_server::~http_server() {
  io_error ignored;
  state_->acceptor.close(ignored);
  // Connections may outlive the server and what its callback refers to.
  state_->on_connection_end = nullptr;
}

std::uint16_t http_server::port() const {
  return state_->acceptor.local_endpoint().port();
}

std::size_t http_server::open_requests() const { return state_->open_requests; }

std::size_t http_server::open_connections() const {
  return state_->connections.size();
}

std::vector<connection_status> http_server::Connections() const {
  std::vector<connection_status> all;
  all.reserve(state_->connections.size());
  for (const auto& [number, status] : state_->connections) {
    all.push_back(status);
  }
  return all;
}

void http_server::OnConnectionEnd(
    std::function<void(const connection_status&)> callback) {
  state_->on_connection_end = std::move(callback);
}

void http_server::SetLimits(const http_limits& limits) {
  state_->limits = limits;
}

void http_server::CloseAfterResponses() {
  state_->close_after_responses = true;
}

void http_server::StopAccepting(std::chrono::milliseconds linger) {
  io_error ignored;
  state_->acceptor.close(ignored);
  state_->close_after_responses = true;
  state_->limits.idle_timeout = std::min(state_->limits.idle_timeout, linger);
  state_->linger.expires_after(linger);
  state_->linger.async_wait([shared = state_](const io_error& ec) {
    if (ec) return;
    for (beast::tcp_stream* stream : shared->idle) stream->cancel();
  });
}

}  // namespace bluebell::gateway
