#include "gateway/http_server.h"

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <exception>
#include <list>
#include <map>
#include <new>
#include <optional>

#include "base/address.h"
#include "gateway/connection_writer.h"
#include "gateway/disconnect_detector.h"
#include "gateway/network.h"
#include "gateway/read_deadline.h"
#include "gateway/read_error.h"
#include "gateway/socket_input.h"
#include "gateway/task_stack.h"
#include "gateway/transfer_coding.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using io_error = boost::system::error_code;

class connection;

}  // namespace

std::size_t DescriptorLimit() {
  constexpr std::size_t kMost = 1'000'000;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMost;
  return std::min<std::size_t>(limit.rlim_cur, kMost);
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
        linger(io),
        accept_retry(io) {}

  static constexpr std::size_t kSpareBytes = 64 * 1024;

  asio::io_context& context;
  tcp::acceptor acceptor;
  http_limits limits;
  handler on_request;
  error_handler on_request_error;
  std::size_t open_requests = 0;
  std::uint64_t next_connection = 0;
  /// Open connections by number.
  std::map<std::uint64_t, const connection_status*> connections;
  std::function<void(const connection_status&)> on_connection_end;
  std::function<void(refusal, const std::string&)> on_refusal;
  bool close_after_responses = false;
  /// Connections that wait for the first byte of a request, and those that wait
  /// for the rest of its head; the longest first.
  std::list<connection*> idle;
  std::list<connection*> reading_head;
  asio::steady_timer linger;
  asio::steady_timer accept_retry;
  /// Released if there is no memory for the wait before the next attempt to
  /// accept.
  std::unique_ptr<char[]> spare;
};

namespace {

using request_parser = http::request_parser<http::string_body>;

// A request and whether the caller keeps the connection open after it.
struct received_request {
  http_request request;
  bool keep_alive = false;
};

// Moves the head of a request out of the parser, which adds trailer fields to
// the header fields that it holds: nobody asks for them, and a field that
// routes or identifies a request counts in the head only.
received_request TakeHead(http::request<http::string_body>& message) {
  received_request received;
  received.keep_alive = message.keep_alive();
  http_request& request = received.request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) request.query = target.substr(mark + 1);
  for (const auto& field : message) {
    request.fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  message.clear();
  return received;
}

// One accepted connection.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<http_server::state> shared, tcp::socket socket)
      : state_(std::move(shared)),
        stream_(std::move(socket)),
        held_(state_->limits.memory),
        number_(++state_->next_connection),
        timer_(state_->context) {
    status_.position.connection = number_;
    state_->connections.emplace(number_, &status_);
  }
  ~connection() { End(connection_cause::kAborted, "not finished"); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Returns false if there is no memory for the connection.
  bool Start() {
    if (!Hold(0)) return false;
    DisableNagle(stream_.socket());
    Await();
    return true;
  }

  /// Ends a connection that waits for a request and has nothing to read.
  /// Returns false if it has a request to read, or if the caller still receives
  /// an answer: closing the connection could lose the end of that.
  bool EndIfIdle(connection_cause cause) {
    const auto input = Peek(stream_.socket());
    if (input == socket_input::kBytes) return false;
    if (input == socket_input::kEnd) {
      End(connection_cause::kCallerClosed);
      return true;
    }
    const bool receives =
        receive_time_left_.count() > 0 && HasUnsentBytes(stream_.socket());
    if (!receives) End(cause);
    return !receives;
  }

  /// The wait for a request has ended: serves what arrived at the last moment,
  /// or ends the connection.
  void EndWait(connection_cause cause) {
    if (!waiting_ || EndIfIdle(cause)) return;
    if (Peek(stream_.socket()) == socket_input::kNothing) {
      receive_time_left_ -= state_->limits.idle_timeout;
      return LimitWait();
    }
    io_error ignored;
    stream_.socket().cancel(ignored);
    ServeRequests();
  }

  /// Gives back the memory of a request that was not read in full.
  void GiveUpRequest() {
    End(connection_cause::kMadeRoom);
    held_.Resize(0);
  }

  /// Closes the connection; only the first call has an effect.
  void End(connection_cause cause, const std::string& detail = {}) {
    if (ended_) return;
    ended_ = true;
    StopWaiting();
    ++waits_;
    timer_.cancel();
    if (cause == connection_cause::kCallerClosed &&
        status_.phase == connection_phase::kIdle) {
      status_.phase = connection_phase::kClosing;
    }
    status_.cause = cause;
    tcp::socket& socket = stream_.socket();
    if (socket.is_open()) {
      status_.unread =
          buffer_.size() > 0 || Peek(socket) == socket_input::kBytes;
      io_error ignored;
      socket.shutdown(tcp::socket::shutdown_both, ignored);
      stream_.close();
    }
    state_->connections.erase(number_);
    Report(detail);
  }

 private:
  // A destructor may report as well, so this must not fail.
  void Report(const std::string& detail) {
    if (!state_->on_connection_end) return;
    try {
      status_.detail = detail;
      state_->on_connection_end(status_);
    } catch (const std::exception&) {
      ClearEndedFrames();
    }
  }

  // Waits for the first byte of a request, without a coroutine.
  void Await() {
    status_.phase = connection_phase::kIdle;
    buffer_.shrink_to_fit();
    Hold(0);
    place_ = state_->idle.insert(state_->idle.end(), this);
    waiting_ = true;
    ++waits_;
    receive_time_left_ = state_->limits.write_timeout;
    LimitWait();
    AwaitInput();
  }

  void LimitWait() {
    timer_.expires_after(state_->limits.idle_timeout);
    timer_.async_wait(
        [self = shared_from_this(), wait = waits_](const io_error& ec) {
          if (ec || wait != self->waits_) return;
          self->EndWait(connection_cause::kIdleTimeout);
        });
  }

  void AwaitInput() {
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), wait = waits_](const io_error& ec) {
          if (wait == self->waits_ && self->waiting_) self->OnInput(ec);
        });
  }

  void OnInput(const io_error& ec) {
    if (ec) return End(connection_cause::kReadFailed, ec.message());
    switch (Peek(stream_.socket())) {
      case socket_input::kBytes:
        return ServeRequests();
      case socket_input::kEnd:
        return End(connection_cause::kCallerClosed);
      case socket_input::kNothing:
        return AwaitInput();
    }
  }

  void StopWaiting() {
    if (!waiting_) return;
    waiting_ = false;
    ++waits_;
    state_->idle.erase(place_);
    timer_.cancel();
  }

  void ServeRequests() {
    StopWaiting();
    try {
      SpawnTask(state_->context,
                [self = shared_from_this()](asio::yield_context yield) {
                  self->Run(yield);
                });
      return;
    } catch (const std::bad_alloc&) {
      ClearEndedFrames();
    }
    End(connection_cause::kNoMemory, "no stack");
  }

  void Run(asio::yield_context yield) {
    auto cause = connection_cause::kException;
    std::string detail;
    try {
      while (ServeOne(yield)) {
        if (buffer_.size() == 0) return Await();
      }
      return;
    } catch (const std::bad_alloc&) {
      cause = connection_cause::kNoMemory;
    } catch (const std::exception& failure) {
      detail = failure.what();
    }
    ClearEndedFrames();
    End(cause, detail);
  }

  // Serves one request; returns whether the connection stays open.
  bool ServeOne(asio::yield_context yield) {
    auto parser = std::make_unique<request_parser>();
    parser->header_limit(state_->limits.max_header_bytes);
    parser->body_limit(state_->limits.max_body_bytes);
    // Bounds what the parser cannot consume yet, also within a body.
    buffer_.max_size(std::max<std::size_t>(
        buffer_.size(), state_->limits.max_header_bytes + kReadBytes));
    received_request received;
    const io_error ec = Read(*parser, received, yield);
    if (ended_) return false;
    if (ec) {
      const bool head_read = parser->is_header_done();
      parser.reset();
      Hold(0);
      SendRequestError(ec, yield);
      BeginLinger(ToCause(ec, head_read), ec.message());
      return false;
    }

    const bool keep_alive =
        received.keep_alive && !state_->close_after_responses;
    bool reusable = false;
    {
      http_request& request = received.request;
      request.body = std::move(parser->get().body());
      io_error unknown;
      const auto remote = stream_.socket().remote_endpoint(unknown);
      if (!unknown) request.remote_host = remote.address().to_string();
      parser.reset();
      reusable = Handle(request, keep_alive, yield);
    }
    Hold(0);
    if (!reusable && !ended_) BeginLinger(connection_cause::kAnswered, {});
    return reusable;
  }

  io_error Read(request_parser& parser, received_request& received,
                asio::yield_context yield) {
    io_error ec;
    status_.phase = connection_phase::kReading;
    stream_.expires_never();
    if (!Hold(0)) return NoMemory();
    {
      head_begun_ = std::chrono::steady_clock::now();
      const list_entry entry(state_->reading_head, this);
      read_deadline deadline(stream_.socket(), state_->limits.header_timeout);
      http::async_read_header(stream_, buffer_, parser, yield[ec]);
      if (ec) return deadline.Translate(ec);
    }
    if (!Hold(0)) return NoMemory();
    received = TakeHead(parser.get());
    const auto& fields = received.request.fields;
    // Before a body is asked for. The parser takes a request with a coding
    // that it does not know for one without a body.
    if (!IsCodingKnown(fields, parser.get().version() == kHttp11)) {
      return http::error::bad_transfer_encoding;
    }
    if (EqualsIgnoringCase(fields.Find("Expect"), "100-continue")) {
      SendContinue(yield);
    }
    read_deadline deadline(stream_.socket(), state_->limits.body_timeout);
    parser.eager(true);
    if (parser.content_length().value_or(0) > kReadBytes) {
      buffer_.reserve(std::min(buffer_.max_size(), kLargeReadBytes));
      if (!Hold(0)) return NoMemory();
    }
    while (!ec && !parser.is_done()) {
      http::async_read_some(stream_, buffer_, parser, yield[ec]);
      if (!ec && !Hold(BodyBytes(parser))) return NoMemory();
      if (!ec && deadline.expired()) return beast::error::timeout;
    }
    return deadline.Translate(ec);
  }

  // Memory that a body takes. Space for a body of known length is reserved at
  // once, but only the part that was received is resident.
  static std::size_t BodyBytes(const request_parser& parser) {
    const auto& body = parser.get().body();
    return parser.chunked() ? body.capacity() : body.size();
  }

  // Takes the memory of the connection, its buffer, the coroutine of its
  // request and a body of `bytes`. Requests whose heads arrive slowly give way.
  bool Hold(std::size_t bytes) {
    if (ended_) return false;
    const bool has_coroutine = status_.phase == connection_phase::kReading ||
                               status_.phase == connection_phase::kServing;
    const std::size_t needed = kConnectionBytes + buffer_.capacity() + bytes +
                               (has_coroutine ? kCoroutineBytes : 0);
    while (!held_.Resize(needed)) {
      auto& heads = state_->reading_head;
      const auto now = std::chrono::steady_clock::now();
      const auto slowest = std::find_if(
          heads.begin(), heads.end(), [&](const connection* reading) {
            return reading != this && !reading->ended_ &&
                   now - reading->head_begun_ >= kSlowHeadTime;
          });
      if (slowest == heads.end()) return false;
      (*slowest)->GiveUpRequest();
    }
    return true;
  }
  static io_error NoMemory() {
    return make_error_code(boost::system::errc::not_enough_memory);
  }

  void SendContinue(asio::yield_context yield) {
    http::response<http::empty_body> message{http::status::continue_, 11};
    io_error ignored;
    http::async_write(stream_, message, yield[ignored]);
  }

  // Returns whether the connection may carry another request. Ends it unless
  // the response was sent in full.
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
    const detection detecting(*detector);
    const request_mark mark(*state_, status_, request);
    Serve(request, writer, yield);
    const bool complete = writer.progress() == response_progress::kComplete;
    if (complete || writer.caller_disconnected()) {
      status_.phase = connection_phase::kClosing;
    }
    if (!complete) End(writer.cause(), writer.detail());
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

  void SendRequestError(const io_error& ec, asio::yield_context yield) {
    const auto code = ToProblem(ec);
    if (!code) return;
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
  }

  // Lingering close, without a coroutine: discards what the caller still sends
  // for a limited time, longer while it has not received all. Closing
  // immediately would reset the connection and could lose the response.
  void BeginLinger(connection_cause cause, const std::string& detail) {
    linger_cause_ = cause;
    linger_detail_ = detail;
    status_.phase = connection_phase::kClosing;
    buffer_.clear();
    buffer_.shrink_to_fit();
    Hold(0);
    io_error failed;
    stream_.expires_never();
    stream_.socket().shutdown(tcp::socket::shutdown_send, failed);
    if (failed) return EndLinger();
    ++waits_;
    receive_time_left_ = state_->limits.write_timeout;
    LimitLinger();
    AwaitDiscard();
  }

  void LimitLinger() {
    timer_.expires_after(kLingerTime);
    timer_.async_wait(
        [self = shared_from_this(), wait = waits_](const io_error& ec) {
          if (ec || wait != self->waits_) return;
          self->receive_time_left_ -= kLingerTime;
          const bool receives = self->receive_time_left_.count() > 0 &&
                                HasUnsentBytes(self->stream_.socket());
          return receives ? self->LimitLinger() : self->EndLinger();
        });
  }

  void AwaitDiscard() {
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), wait = waits_](const io_error& ec) {
          if (wait != self->waits_) return;
          return !ec && self->Discard() ? self->AwaitDiscard()
                                        : self->EndLinger();
        });
  }

  // Returns whether the caller may send more.
  bool Discard() {
    std::array<char, kReadBytes> bytes;
    const auto count = recv(stream_.socket().native_handle(), bytes.data(),
                            bytes.size(), MSG_DONTWAIT);
    if (count < 0) return errno == EAGAIN || errno == EINTR;
    discarded_ += static_cast<std::size_t>(count);
    return count > 0 && discarded_ < kLingerBytes;
  }

  void EndLinger() { End(linger_cause_, linger_detail_); }

  // Membership of a list for the life of the object.
  class list_entry {
   public:
    list_entry(std::list<connection*>& all, connection* member)
        : all_(all), place_(all.insert(all.end(), member)) {}
    ~list_entry() { all_.erase(place_); }
    list_entry(const list_entry&) = delete;
    list_entry& operator=(const list_entry&) = delete;

   private:
    std::list<connection*>& all_;
    std::list<connection*>::iterator place_;
  };

  // Marks a request as served for the life of the object.
  class request_mark {
   public:
    request_mark(http_server::state& server, connection_status& status,
                 const http_request& request)
        : server_(server), status_(status) {
      ++server_.open_requests;
      status_.request = &request;
    }
    ~request_mark() {
      --server_.open_requests;
      status_.request = nullptr;
    }
    request_mark(const request_mark&) = delete;
    request_mark& operator=(const request_mark&) = delete;

   private:
    http_server::state& server_;
    connection_status& status_;
  };

  static constexpr unsigned kHttp11 = 11;
  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::size_t kLingerBytes = 4 * 1024 * 1024;
  static constexpr std::chrono::seconds kLingerTime{1};
  // An incomplete head gives way after this time.
  static constexpr std::chrono::seconds kSlowHeadTime{1};
  static constexpr std::size_t kConnectionBytes = 2048;
  // The part of its stack that a request usually touches.
  static constexpr std::size_t kCoroutineBytes = 8192;

  std::shared_ptr<http_server::state> state_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  byte_share held_;
  std::uint64_t number_;
  connection_status status_;
  std::chrono::steady_clock::time_point head_begun_;
  /// Limits the wait for a request.
  asio::steady_timer timer_;
  bool waiting_ = false;
  /// Part of the wait in which the caller may still receive an answer.
  std::chrono::milliseconds receive_time_left_{0};
  /// Tells the handlers of the current wait from those of earlier ones.
  std::uint64_t waits_ = 0;
  std::list<connection*>::iterator place_;
  /// Why the connection ends after a lingering close.
  connection_cause linger_cause_ = connection_cause::kNone;
  std::string linger_detail_;
  std::size_t discarded_ = 0;
  bool ended_ = false;
};

void Refuse(http_server::state& server, refusal reason,
            const std::string& detail) {
  if (!server.on_refusal) return;
  try {
    server.on_refusal(reason, detail);
  } catch (const std::bad_alloc&) {
    ClearEndedFrames();
  }
}

// Closes the connection that has been idle longest; returns false if there is
// none. A request that has arrived is never dropped.
bool MakeRoom(http_server::state& server) {
  for (auto next = server.idle.begin(); next != server.idle.end();) {
    connection* longest = *next++;
    if (longest->EndIfIdle(connection_cause::kMadeRoom)) return true;
  }
  return false;
}

std::size_t MaxConnections(const http_server::state& server) {
  if (server.limits.max_connections > 0) return server.limits.max_connections;
  return std::max<std::size_t>(DescriptorLimit() / 2, 1);
}

// Serves an accepted connection, or closes it.
void Admit(const std::shared_ptr<http_server::state>& shared,
           tcp::socket socket) {
  if (shared->connections.size() >= MaxConnections(*shared) &&
      !MakeRoom(*shared)) {
    return Refuse(*shared, refusal::kNoRoom, "no idle connection");
  }
  std::shared_ptr<connection> accepted;
  try {
    accepted = std::make_shared<connection>(shared, std::move(socket));
    if (accepted->Start()) return;
  } catch (const std::bad_alloc&) {
    ClearEndedFrames();
  }
  if (accepted) accepted->End(connection_cause::kNoMemory);
  Refuse(*shared, refusal::kNoMemory, "");
}

// Accepts connections that wait. Returns an error if one cannot be accepted.
io_error AcceptWaiting(const std::shared_ptr<http_server::state>& shared) {
  // Lets requests proceed in between.
  constexpr int kMaxAccepts = 64;
  for (int count = 0; count < kMaxAccepts; ++count) {
    io_error ec;
    tcp::socket socket(shared->context);
    shared->acceptor.accept(socket, ec);
    if (ec == asio::error::would_block) return {};
    // The caller has left already.
    if (ec == asio::error::connection_aborted ||
        ec == boost::system::errc::protocol_error) {
      continue;
    }
    const bool made_room = ec && MakeRoom(*shared);
    if (ec && !made_room) return ec;
    if (!ec) Admit(shared, std::move(socket));
  }
  return {};
}

void AwaitCallers(const std::shared_ptr<http_server::state>& shared);

// Accepts again after a delay, in which descriptors or memory may be given
// back.
void RetryAccept(const std::shared_ptr<http_server::state>& shared,
                 const io_error& failed) {
  constexpr std::chrono::milliseconds kAcceptRetry{50};
  shared->spare.reset();
  Refuse(*shared, refusal::kAcceptFailed, failed.message());
  shared->accept_retry.expires_after(kAcceptRetry);
  shared->accept_retry.async_wait([shared](const io_error& ec) {
    if (!ec) AwaitCallers(shared);
  });
}

void OnCallers(const std::shared_ptr<http_server::state>& shared, io_error ec) {
  if (ec == asio::error::operation_aborted) return;
  try {
    if (!ec) ec = AcceptWaiting(shared);
    if (!ec) return AwaitCallers(shared);
  } catch (const std::bad_alloc&) {
    ec = make_error_code(boost::system::errc::not_enough_memory);
  }
  RetryAccept(shared, ec);
}

void AwaitCallers(const std::shared_ptr<http_server::state>& shared) {
  if (!shared->acceptor.is_open()) return;
  try {
    if (!shared->spare) {
      shared->spare = std::make_unique<char[]>(http_server::state::kSpareBytes);
    }
    shared->acceptor.async_wait(
        tcp::acceptor::wait_read,
        [shared](const io_error& ec) { OnCallers(shared, ec); });
    return;
  } catch (const std::bad_alloc&) {
    ClearEndedFrames();
  }
  RetryAccept(shared, make_error_code(boost::system::errc::not_enough_memory));
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
  if (!ec) shared->acceptor.non_blocking(true, ec);
  // Otherwise accept waits, even if it is non-blocking, for the next caller
  // after one that has left.
  if (!ec) {
    shared->acceptor.set_option(
        asio::socket_base::enable_connection_aborted(true), ec);
  }
  if (ec) {
    return Fail(error_code::kUnavailable, address + ": " + ec.message());
  }
  AwaitCallers(shared);
  return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

http_server::http_server(std::shared_ptr<state> shared)
    : state_(std::move(shared)) {}

http_server::~http_server() {
  io_error ignored;
  state_->acceptor.close(ignored);
  state_->accept_retry.cancel();
  // Connections may outlive the server and what its callback refers to.
  state_->on_connection_end = nullptr;
  state_->on_refusal = nullptr;
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
    all.push_back(*status);
  }
  return all;
}

void http_server::OnConnectionEnd(
    std::function<void(const connection_status&)> callback) {
  state_->on_connection_end = std::move(callback);
}

void http_server::OnRefusal(
    std::function<void(refusal, const std::string&)> callback) {
  state_->on_refusal = std::move(callback);
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
    std::vector<std::shared_ptr<connection>> idle;
    for (connection* waiting : shared->idle) {
      idle.push_back(waiting->shared_from_this());
    }
    for (const auto& waiting : idle) {
      waiting->EndWait(connection_cause::kStopped);
    }
  });
}

}  // namespace bluebell::gateway
