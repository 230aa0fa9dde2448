#include "gateway/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>

#include "base/address.h"
#include "gateway/network.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using failure = boost::system::error_code;

}  // namespace

/// What the connections of one listener share.
struct http_server::state {
  state(asio::io_context& io, http_limits bounds, handler request,
        refuse unreadable)
      : context(io),
        acceptor(io),
        limits(bounds),
        on_request(std::move(request)),
        on_unreadable(std::move(unreadable)),
        linger(io) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  http_limits limits;
  handler on_request;
  refuse on_unreadable;
  std::size_t open_requests = 0;
  std::size_t open_connections = 0;
  bool close_after_answers = false;
  /// Connections that wait for the first byte of a request.
  std::set<beast::tcp_stream*> idle;
  asio::steady_timer linger;
};

namespace {

// Detects the end of the caller's connection while its request is processed.
// Reads nothing: bytes that arrive early belong to the next request.
class disconnect_watch : public std::enable_shared_from_this<disconnect_watch> {
 public:
  explicit disconnect_watch(tcp::socket& socket) : socket_(socket) {}

  void Start() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const failure& ended) {
                         if (!ended && !self->stopped_) self->Check();
                       });
  }

  void Stop() {
    stopped_ = true;
    callback_ = nullptr;
    failure ignored;
    socket_.cancel(ignored);
  }

  void OnGone(std::function<void()> callback) {
    callback_ = std::move(callback);
  }
  bool gone() const { return gone_; }
  void MarkGone() {
    if (gone_) return;
    gone_ = true;
    if (auto callback = std::move(callback_)) callback();
  }

 private:
  void Check() {
    char byte = 0;
    failure ended;
    const bool was_non_blocking = socket_.non_blocking();
    socket_.non_blocking(true, ended);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ended);
    failure ignored;
    socket_.non_blocking(was_non_blocking, ignored);
    if (ended && ended != asio::error::would_block) MarkGone();
  }

  tcp::socket& socket_;
  std::function<void()> callback_;
  bool stopped_ = false;
  bool gone_ = false;
};

// Writes one answer to the caller's connection.
class connection_sink final : public answer_sink {
 public:
  connection_sink(beast::tcp_stream& stream, const http_limits& limits,
                  std::shared_ptr<disconnect_watch> watch, bool keep_alive)
      : stream_(stream),
        limits_(limits),
        watch_(std::move(watch)),
        keep_alive_(keep_alive) {}

  void SendWhole(const http_answer& answer,
                 asio::yield_context yield) override {
    started_ = true;
    http::response<http::string_body> message{
        static_cast<http::status>(answer.status), 11};
    for (const auto& field : answer.fields.all()) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(keep_alive_);
    message.body() = answer.body;
    message.prepare_payload();
    failure ended;
    stream_.expires_after(limits_.write_time);
    http::async_write(stream_, message, yield[ended]);
    Note(ended);
    finished_ = !ended;
  }

  void StartStream(const http_answer& head,
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
    failure ended;
    stream_.expires_after(limits_.write_time);
    http::async_write_header(stream_, serializer, yield[ended]);
    Note(ended);
  }

  void SendPart(std::string_view part, asio::yield_context yield) override {
    if (part.empty() || broken_) return;
    failure ended;
    stream_.expires_after(limits_.write_time);
    asio::async_write(stream_,
                      http::make_chunk(asio::buffer(part.data(), part.size())),
                      yield[ended]);
    Note(ended);
  }

  void FinishStream(asio::yield_context yield) override {
    if (broken_) return;
    failure ended;
    stream_.expires_after(limits_.write_time);
    asio::async_write(stream_, http::make_chunk_last(), yield[ended]);
    Note(ended);
    finished_ = !ended;
  }

  void BreakStream() override {
    broken_ = true;
    failure ignored;
    stream_.socket().close(ignored);
  }

  bool started() const override { return started_; }
  bool caller_gone() const override { return watch_->gone(); }
  void OnCallerGone(std::function<void()> callback) override {
    watch_->OnGone(std::move(callback));
  }

  /// Whether the connection may carry another request.
  bool reusable() const { return finished_ && keep_alive_; }

 private:
  void Note(const failure& ended) {
    if (!ended) return;
    broken_ = true;
    watch_->MarkGone();
  }

  beast::tcp_stream& stream_;
  const http_limits& limits_;
  std::shared_ptr<disconnect_watch> watch_;
  bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  bool broken_ = false;
};

using request_parser = http::request_parser<http::string_body>;

// Ends pending reads at a deadline but leaves the socket open, so that the
// caller can still be told; the timeout of `tcp_stream` closes the socket.
class read_deadline {
 public:
  read_deadline(tcp::socket& socket, std::chrono::milliseconds limit)
      : timer_(socket.get_executor(), limit) {
    timer_.async_wait([&socket, expired = expired_](const failure& ended) {
      if (ended || *expired) return;
      *expired = true;
      failure ignored;
      socket.cancel(ignored);
    });
  }
  // Marks the deadline as over, for a handler that is queued already.
  ~read_deadline() { *expired_ = true; }

  /// Replaces the error of a read that the deadline ended.
  failure Translate(const failure& ended) const {
    const bool timed_out = ended == asio::error::operation_aborted && *expired_;
    return timed_out ? failure(beast::error::timeout) : ended;
  }

 private:
  std::shared_ptr<bool> expired_ = std::make_shared<bool>(false);
  asio::steady_timer timer_;
};

// Maps a failed read to the problem that the caller is told; nothing where the
// connection is closed without an answer.
std::optional<problem_code> ToProblem(const failure& ended) {
  if (ended == http::error::header_limit ||
      ended == http::error::buffer_overflow)
    return problem_code::kHeadersTooLarge;
  if (ended == http::error::body_limit) return problem_code::kBodyTooLarge;
  if (ended == beast::error::timeout) return problem_code::kRequestTimeout;
  if (ended == http::error::end_of_stream ||
      ended == http::error::partial_message)
    return std::nullopt;
  if (ended.category() ==
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
      : state_(std::move(shared)), stream_(std::move(socket)) {
    ++state_->open_connections;
  }
  ~connection() { --state_->open_connections; }

  void Run(asio::yield_context yield) {
    DisableNagle(stream_.socket());
    while (ServeOne(yield)) {
    }
    failure ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  }

 private:
  // Serves one request; returns whether the connection stays open.
  bool ServeOne(asio::yield_context yield) {
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(state_->limits.header_bytes);
    parser->body_limit(state_->limits.body_bytes);
    const failure ended = Read(*parser, yield);
    if (ended) return RefuseUnreadable(ended, yield);

    const bool keep_alive =
        parser->get().keep_alive() && !state_->close_after_answers;
    const http_request request = ToRequest(parser->release());
    parser.reset();
    return Handle(request, keep_alive, yield);
  }

  failure Read(request_parser& parser, asio::yield_context yield) {
    failure ended;
    if (buffer_.size() == 0) {
      stream_.expires_after(state_->limits.idle_time);
      const std::size_t count =
          stream_.async_read_some(buffer_.prepare(kReadBytes), yield[ended]);
      if (ended) return ended;
      buffer_.commit(count);
    }
    stream_.expires_never();
    {
      read_deadline deadline(stream_.socket(), state_->limits.header_time);
      http::async_read_header(stream_, buffer_, parser, yield[ended]);
      if (ended) return deadline.Translate(ended);
    }
    if (EqualsIgnoringCase(std::string(parser.get()[http::field::expect]),
                           "100-continue")) {
      SendContinue(yield);
    }
    read_deadline deadline(stream_.socket(), state_->limits.body_time);
    http::async_read(stream_, buffer_, parser, yield[ended]);
    return deadline.Translate(ended);
  }

  void SendContinue(asio::yield_context yield) {
    http::response<http::empty_body> message{http::status::continue_, 11};
    failure ignored;
    http::async_write(stream_, message, yield[ignored]);
  }

  bool Handle(const http_request& request, bool keep_alive,
              asio::yield_context yield) {
    // A socket carries one asynchronous wait at a time without a time limit.
    stream_.expires_never();
    auto watch = std::make_shared<disconnect_watch>(stream_.socket());
    connection_sink sink(stream_, state_->limits, watch, keep_alive);
    watch->Start();
    ++state_->open_requests;
    state_->on_request(request, sink, yield);
    --state_->open_requests;
    watch->Stop();
    return sink.reusable();
  }

  bool RefuseUnreadable(const failure& ended, asio::yield_context yield) {
    const auto code = ToProblem(ended);
    if (!code) return false;
    const auto watch = std::make_shared<disconnect_watch>(stream_.socket());
    connection_sink sink(stream_, state_->limits, watch, false);
    sink.SendWhole(state_->on_unreadable(*code, ended.message()), yield);
    Linger(yield);
    return false;
  }

  // Takes what the caller still sends for a moment; closing at once would
  // reset the connection and lose the refusal on its way.
  void Linger(asio::yield_context yield) {
    failure ended;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ended);
    stream_.expires_after(kLingerTime);
    std::size_t taken = 0;
    while (!ended && taken < kLingerBytes) {
      buffer_.clear();
      taken +=
          stream_.async_read_some(buffer_.prepare(kReadBytes), yield[ended]);
    }
  }

  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::size_t kLingerBytes = 4 * 1024 * 1024;
  static constexpr std::chrono::seconds kLingerTime{1};

  std::shared_ptr<http_server::state> state_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

void AcceptLoop(const std::shared_ptr<http_server::state>& shared,
                asio::yield_context yield) {
  constexpr std::chrono::milliseconds kAcceptRetry{50};
  while (shared->acceptor.is_open()) {
    failure ended;
    tcp::socket socket(shared->context);
    shared->acceptor.async_accept(socket, yield[ended]);
    if (ended == asio::error::operation_aborted) return;
    if (ended) {
      // Out of descriptors: wait for connections to end instead of spinning.
      asio::steady_timer pause(shared->context, kAcceptRetry);
      pause.async_wait(yield[ended]);
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
    handler on_request, refuse on_unreadable) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return tl::unexpected(endpoint.error());
  auto shared = std::make_shared<state>(context, limits, std::move(on_request),
                                        std::move(on_unreadable));
  failure ended;
  shared->acceptor.open(tcp::v4(), ended);
  shared->acceptor.set_option(tcp::acceptor::reuse_address(true), ended);
  shared->acceptor.bind(*endpoint, ended);
  if (!ended)
    shared->acceptor.listen(asio::socket_base::max_listen_connections, ended);
  if (ended) {
    return Fail(error_code::kUnavailable, address + ": " + ended.message());
  }
  SpawnTask(context,
            [shared](asio::yield_context yield) { AcceptLoop(shared, yield); });
  return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

http_server::http_server(std::shared_ptr<state> shared)
    : state_(std::move(shared)) {}

http_server::~http_server() {
  failure ignored;
  state_->acceptor.close(ignored);
}

std::uint16_t http_server::port() const {
  return state_->acceptor.local_endpoint().port();
}

std::size_t http_server::open_requests() const { return state_->open_requests; }

std::size_t http_server::open_connections() const {
  return state_->open_connections;
}

void http_server::SetLimits(const http_limits& limits) {
  state_->limits = limits;
}

void http_server::CloseAfterAnswers() { state_->close_after_answers = true; }

void http_server::StopAccepting(std::chrono::milliseconds linger) {
  failure ignored;
  state_->acceptor.close(ignored);
  state_->close_after_answers = true;
  state_->limits.idle_time = std::min(state_->limits.idle_time, linger);
  state_->linger.expires_after(linger);
  state_->linger.async_wait([shared = state_](const failure& ended) {
    if (ended) return;
    for (beast::tcp_stream* stream : shared->idle) stream->cancel();
  });
}

}  // namespace bluebell::gateway
