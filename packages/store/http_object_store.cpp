#include "store/http_object_store.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "base/address.h"
#include "base/byte_budget.h"
#include "base/nested_json.h"
#include "base/percent_encoding.h"
#include "base/raw_json.h"
#include "base/response_sequence.h"

namespace bluebell::store {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using failure_code = bluebell::error_code;

// Limit of a response body; a list of all configuration rows stays below it.
constexpr std::uint64_t kMaxResponseBytes = 64'000'000;
// A response that keeps arriving gets a second more for each of these bytes: a
// new call would begin anew and end like the first. Far below what a link of a
// host carries.
constexpr std::size_t kMinBytesPerSecond = 64 * 1024;
// A response without end is given up after it.
constexpr std::chrono::milliseconds kMaxExtension{10000};
// Kept-alive connections for reads.
constexpr std::size_t kMaxIdleConnections = 4;

// Why a call got no response.
struct call_failure {
  bool sent = false;
  std::string detail;
};

struct response {
  int status = 0;
  std::string body;
};

using call_outcome = tl::expected<response, call_failure>;

// Names are paths.
std::string Encode(const std::string& name) { return PercentEncode(name, "/"); }

std::string ObjectTarget(const std::string& name,
                         std::optional<revision> expected) {
  std::string target = "/v1/objects/" + Encode(name);
  if (expected) target += "?if_version=" + std::to_string(expected->value());
  return target;
}

// The value that a writer stored, from its text; null if it cannot be read.
json ReadValue(std::string_view text) {
  auto value = ParseJson(text);
  return value.is_discarded() ? json() : value;
}

// Throws `json::exception` if the version cannot be read.
revision ReadVersion(std::string_view text) {
  return revision(ReadMember(text, "version").get<std::uint64_t>());
}

// Throws `json::exception` if the name or the version cannot be read, or there
// is no value.
object ReadObject(std::string_view text) {
  const auto value = RawMember(text, "value");
  if (value.empty()) throw json::other_error::create(501, "no value", nullptr);
  return {ReadMember(text, "name").get<std::string>(), ReadVersion(text),
          ReadValue(value)};
}

// One element of a list, by itself. An unreadable version is 0, below that of
// any object, since an object that is left out would count as removed.
std::optional<object> ReadElement(std::string_view text,
                                  const std::string& prefix) {
  const auto read = ReadMember(text, "name");
  if (!read.is_string()) return std::nullopt;
  auto name = read.get<std::string>();
  if (name.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  return object{std::move(name),
                revision(ReadUnsigned(text, "version").value_or(0)),
                ReadValue(RawMember(text, "value"))};
}

std::optional<listed_host> ReadHost(std::string_view text) {
  const auto id = ReadMember(text, "id");
  const auto state = ReadMember(text, "state");
  if (!id.is_string() || !state.is_string()) return std::nullopt;
  return listed_host{host_id(id.get<std::string>()), state == "leaving"};
}

// Reads the elements of the array `key` of a response; counts those that cannot
// be read. Throws `json::exception` if there is no such array.
template <class T, class Reader>
std::vector<T> ReadElements(std::string_view body, std::string_view key,
                            Reader read, std::size_t& unreadable) {
  const auto array = RawMember(body, key);
  if (array.empty() || array.front() != '[') {
    throw json::other_error::create(501, "no array " + std::string(key),
                                    nullptr);
  }
  std::vector<T> elements;
  for (const auto text : RawElements(array)) {
    if (auto element = read(text)) {
      elements.push_back(std::move(*element));
    } else {
      ++unreadable;
    }
  }
  return elements;
}

// Converts the outcome of a read; `read` parses the response body.
template <class T, class Reader>
result<T> ReadResult(const call_outcome& outcome, Reader read) {
  if (!outcome) return Fail(failure_code::kUnavailable, outcome.error().detail);
  if (outcome->status == 404) return Fail(failure_code::kNotFound, "not found");
  if (outcome->status != 200) {
    return Fail(failure_code::kUnavailable,
                "status " + std::to_string(outcome->status));
  }
  try {
    return read(outcome->body);
  } catch (const json::exception& invalid) {
    return Fail(failure_code::kUnavailable, invalid.what());
  }
}

tl::unexpected<write_error> FailWrite(
    failure_code code, std::string detail,
    std::optional<write_conflict> conflict = std::nullopt) {
  return tl::unexpected<write_error>(
      write_error{error{code, std::move(detail)}, std::move(conflict)});
}

// Converts the outcome of a write. A response that does not say whether the
// write took effect, such as a server error, leaves the outcome unknown.
write_result WriteResult(const call_outcome& outcome) {
  if (!outcome) {
    const auto& [sent, detail] = outcome.error();
    return FailWrite(
        sent ? failure_code::kOutcomeUnknown : failure_code::kUnavailable,
        detail);
  }
  try {
    switch (outcome->status) {
      case 200:
        return ReadVersion(outcome->body);
      case 400:
        return FailWrite(failure_code::kInvalidArgument, "request refused");
      case 404:
        return FailWrite(failure_code::kConflict, "no such object",
                         write_conflict{});
      case 409: {
        write_conflict conflict;
        if (!ParseJson(outcome->body).is_null()) {
          conflict.current = ReadObject(outcome->body);
        }
        return FailWrite(failure_code::kConflict, "version differs", conflict);
      }
      case 413:
        return FailWrite(failure_code::kTooLarge, "value above 1 MB");
      default:
        return FailWrite(failure_code::kOutcomeUnknown,
                         "status " + std::to_string(outcome->status));
    }
  } catch (const json::exception& invalid) {
    return FailWrite(failure_code::kOutcomeUnknown, invalid.what());
  }
}

// Determines whether a call may reuse a connection and keep it alive.
enum class call_kind { kRead, kWatch, kWrite };

struct call_request {
  call_kind kind = call_kind::kRead;
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  std::chrono::milliseconds limit{0};
};

struct idle_connection {
  std::unique_ptr<beast::tcp_stream> stream;
  steady::time_point since;
};

class call;

}  // namespace

// Idle connections and pending calls of one store.
struct http_object_store::client
    : std::enable_shared_from_this<http_object_store::client> {
  client(asio::io_context& io, http_store_options settings)
      : context(io), options(std::move(settings)), purge_timer(io) {}

  void Send(call_request request, std::function<void(call_outcome)> done);
  std::unique_ptr<beast::tcp_stream> TakeIdle();
  void AddIdle(std::unique_ptr<beast::tcp_stream> stream);
  void SchedulePurge();
  // Reports unreadable elements once for each change of their number.
  void OnElements(const std::string& target, std::size_t unreadable_count);
  // Sends a request for a list. `read` reads its body and counts the elements
  // that cannot be read.
  template <class T, class Reader>
  void SendList(call_request request, Reader read,
                std::function<void(result<T>)> done);
  // Reads the objects under `prefix`, or waits for changes of them.
  void List(call_request request, const std::string& prefix,
            std::function<void(result<object_list>)> done);

  asio::io_context& context;
  http_store_options options;
  std::vector<tcp::endpoint> endpoints;
  // Index of the endpoint that calls try first.
  std::size_t preferred_endpoint = 0;
  std::deque<idle_connection> idle;
  asio::steady_timer purge_timer;
  std::set<std::shared_ptr<call>> calls;
  // Unreadable elements in the last response to each target that had some.
  std::map<std::string, std::size_t> unreadable;
};

namespace {

using client_ptr = std::shared_ptr<http_object_store::client>;

// One call, which may try several connections.
class call : public std::enable_shared_from_this<call> {
 public:
  call(const client_ptr& owner, call_request request,
       std::function<void(call_outcome)> done)
      : client_(owner),
        request_(std::move(request)),
        done_(std::move(done)),
        deadline_(steady::now() + request_.limit) {}

  void Start();
  // Ends the call without running its callback.
  void Cancel();

 private:
  void Connect();
  void SendRequest();
  void ReadResponse();
  void ReadPart();
  // `bytes` of the response have arrived.
  void ExtendLimits(std::size_t bytes);
  void OnResponse();
  void OnConnectFailure(const error_code& failure);
  void OnExchangeFailure(const std::string& detail);
  void Finish(call_outcome outcome);
  // Sets the time limit of the next I/O steps, capped at the call's deadline.
  void LimitStep(std::chrono::milliseconds limit);

  std::weak_ptr<http_object_store::client> client_;
  call_request request_;
  std::function<void(call_outcome)> done_;
  steady::time_point deadline_;
  // Deadline of the present I/O steps.
  steady::time_point step_deadline_;
  // By which both have been extended.
  std::chrono::microseconds extension_{0};
  std::unique_ptr<beast::tcp_stream> stream_;
  http::request<http::string_body> http_request_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  response_sequence responses_;
  // Index of the first endpoint, failed connects, and index of the current one.
  std::size_t first_endpoint_ = 0;
  std::size_t failed_endpoints_ = 0;
  std::size_t endpoint_index_ = 0;
  bool reused_ = false;
  bool sent_ = false;
};

void call::Start() {
  const auto owner = client_.lock();
  http_request_.method(request_.method);
  http_request_.target(request_.target);
  http_request_.set(http::field::host, "platform");
  if (request_.kind == call_kind::kWrite) {
    http_request_.keep_alive(false);
    http_request_.set(http::field::content_type, "application/json");
  }
  http_request_.body() = std::move(request_.body);
  http_request_.prepare_payload();
  if (request_.kind == call_kind::kRead) stream_ = owner->TakeIdle();
  if (!stream_) return Connect();
  reused_ = true;
  LimitStep(request_.limit / 2);
  SendRequest();
}

void call::LimitStep(std::chrono::milliseconds limit) {
  step_deadline_ = std::min(deadline_, steady::now() + limit);
  stream_->expires_at(step_deadline_);
}

// Connects to the next endpoint. Each one gets an equal share of the call
// limit, so that an unresponsive one leaves time for the others.
void call::Connect() {
  const auto owner = client_.lock();
  if (!owner) return;
  reused_ = false;
  const auto count = owner->endpoints.size();
  if (failed_endpoints_ == 0) first_endpoint_ = owner->preferred_endpoint;
  endpoint_index_ = (first_endpoint_ + failed_endpoints_) % count;
  stream_ = std::make_unique<beast::tcp_stream>(owner->context);
  LimitStep(owner->options.call_limit / static_cast<int>(count));
  stream_->async_connect(
      owner->endpoints[endpoint_index_],
      [self = shared_from_this()](const error_code& failure) {
        const auto client = self->client_.lock();
        if (!client) return;
        if (failure) return self->OnConnectFailure(failure);
        client->preferred_endpoint = self->endpoint_index_;
        error_code ignored;
        self->stream_->socket().set_option(tcp::no_delay(true), ignored);
        self->step_deadline_ = self->deadline_;
        self->stream_->expires_at(self->deadline_);
        self->SendRequest();
      });
}

void call::OnConnectFailure(const error_code& failure) {
  const auto owner = client_.lock();
  if (!owner) return;
  ++failed_endpoints_;
  if (failed_endpoints_ < owner->endpoints.size() &&
      steady::now() < deadline_) {
    return Connect();
  }
  Finish(tl::unexpected<call_failure>(
      call_failure{sent_, "connect: " + failure.message()}));
}

void call::SendRequest() {
  sent_ = true;
  responses_ = {};
  http::async_write(
      *stream_, http_request_,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        if (failure) return self->OnExchangeFailure(failure.message());
        self->ReadResponse();
      });
}

void call::ReadResponse() {
  parser_.emplace();
  parser_->body_limit(kMaxResponseBytes);
  parser_->eager(true);
  buffer_.reserve(kLargeReadBytes);
  ReadPart();
}

void call::ReadPart() {
  http::async_read_some(*stream_, buffer_, *parser_,
                        [self = shared_from_this()](const error_code& failure,
                                                    std::size_t bytes) {
                          if (failure)
                            return self->OnExchangeFailure(failure.message());
                          if (self->parser_->is_done())
                            return self->OnResponse();
                          self->ExtendLimits(bytes);
                          self->ReadPart();
                        });
}

void call::ExtendLimits(std::size_t bytes) {
  using std::chrono::microseconds;
  const auto before = extension_;
  extension_ = std::min<microseconds>(
      before + microseconds(std::int64_t{1'000'000} *
                            static_cast<std::int64_t>(bytes) /
                            static_cast<std::int64_t>(kMinBytesPerSecond)),
      kMaxExtension);
  deadline_ += extension_ - before;
  step_deadline_ += extension_ - before;
  stream_->expires_at(step_deadline_);
}

// A reused connection may be closed or unresponsive, so a read is retried on a
// new one. Any other call fails; the next call starts with the next endpoint.
void call::OnExchangeFailure(const std::string& detail) {
  const auto owner = client_.lock();
  if (!owner) return;
  buffer_.clear();
  if (reused_ && steady::now() < deadline_) return Connect();
  if (owner->preferred_endpoint == endpoint_index_) {
    owner->preferred_endpoint = (endpoint_index_ + 1) % owner->endpoints.size();
  }
  Finish(
      tl::unexpected<call_failure>(call_failure{sent_, "exchange: " + detail}));
}

void call::OnResponse() {
  auto message = parser_->release();
  response received;
  received.status = static_cast<int>(message.result_int());
  const auto is_final = responses_.Add(received.status);
  if (!is_final) return OnExchangeFailure(is_final.error().detail);
  if (!*is_final) return ReadResponse();
  received.body = std::move(message.body());
  // Bytes after the response would be parsed as the response to the next call.
  const bool reusable = message.keep_alive() && buffer_.size() == 0;
  const auto owner = client_.lock();
  if (owner && reusable && request_.kind != call_kind::kWrite) {
    owner->AddIdle(std::move(stream_));
  }
  Finish(std::move(received));
}

void call::Finish(call_outcome outcome) {
  const auto owner = client_.lock();
  if (!owner || !done_) return;
  stream_.reset();
  owner->calls.erase(shared_from_this());
  const auto done = std::exchange(done_, nullptr);
  done(std::move(outcome));
}

void call::Cancel() {
  done_ = nullptr;
  if (stream_) stream_->close();
}

}  // namespace

void http_object_store::client::Send(call_request request,
                                     std::function<void(call_outcome)> done) {
  const auto started = std::make_shared<call>(
      shared_from_this(), std::move(request), std::move(done));
  calls.insert(started);
  started->Start();
}

// Returns an idle connection within the idle limit and without unread bytes,
// which would be parsed as the response to the next call.
std::unique_ptr<beast::tcp_stream> http_object_store::client::TakeIdle() {
  while (!idle.empty()) {
    idle_connection last = std::move(idle.back());
    idle.pop_back();
    error_code failure;
    const bool fresh = steady::now() - last.since < options.idle_limit;
    if (fresh && last.stream->socket().available(failure) == 0 && !failure) {
      return std::move(last.stream);
    }
  }
  return nullptr;
}

void http_object_store::client::AddIdle(
    std::unique_ptr<beast::tcp_stream> stream) {
  stream->expires_never();
  idle.push_back({std::move(stream), steady::now()});
  if (idle.size() > kMaxIdleConnections) idle.pop_front();
  if (idle.size() == 1) SchedulePurge();
}

// Closes connections that reach the idle limit.
void http_object_store::client::SchedulePurge() {
  purge_timer.expires_at(idle.front().since + options.idle_limit);
  purge_timer.async_wait([weak = weak_from_this()](const error_code& failure) {
    const auto self = weak.lock();
    if (failure || !self) return;
    const auto oldest = steady::now() - self->options.idle_limit;
    while (!self->idle.empty() && self->idle.front().since <= oldest) {
      self->idle.pop_front();
    }
    if (!self->idle.empty()) self->SchedulePurge();
  });
}

result<std::unique_ptr<http_object_store>> http_object_store::Create(
    asio::io_context& context, http_store_options options) {
  auto state = std::make_shared<client>(context, std::move(options));
  for (const auto& address : state->options.addresses) {
    auto endpoint = ParseAddress(address);
    if (!endpoint) return tl::unexpected<error>(endpoint.error());
    if (endpoint->port() == 0) {
      return Fail(failure_code::kInvalidArgument, address + " has no port");
    }
    state->endpoints.push_back(*endpoint);
  }
  if (state->endpoints.empty()) {
    return Fail(failure_code::kInvalidArgument, "no platform address");
  }
  return std::unique_ptr<http_object_store>(
      new http_object_store(std::move(state)));
}

http_object_store::http_object_store(std::shared_ptr<client> state)
    : client_(std::move(state)) {}

http_object_store::~http_object_store() {
  for (const auto& open : client_->calls) open->Cancel();
  client_->calls.clear();
}

void http_object_store::Get(const std::string& name,
                            std::function<void(result<object>)> done) {
  call_request request;
  request.target = ObjectTarget(name, std::nullopt);
  request.limit = client_->options.call_limit;
  client_->Send(std::move(request),
                [name, done = std::move(done)](const call_outcome& outcome) {
                  auto found = ReadResult<object>(outcome, ReadObject);
                  if (found && found->name != name) {
                    return done(Fail(failure_code::kUnavailable,
                                     "response names another object"));
                  }
                  done(std::move(found));
                });
}

void http_object_store::Put(const std::string& name, const json& value,
                            std::optional<revision> expected,
                            std::function<void(write_result)> done) {
  call_request request;
  request.kind = call_kind::kWrite;
  request.method = http::verb::put;
  request.target = ObjectTarget(name, expected);
  request.body = value.dump();
  request.limit = client_->options.call_limit;
  if (request.body.size() > kMaxValueBytes) {
    return asio::post(client_->context, [weak = std::weak_ptr<client>(client_),
                                         done = std::move(done)] {
      if (weak.expired()) return;
      done(FailWrite(failure_code::kTooLarge, "value above 1 MB"));
    });
  }
  client_->Send(std::move(request),
                [done = std::move(done)](const call_outcome& outcome) {
                  done(WriteResult(outcome));
                });
}

void http_object_store::Remove(const std::string& name, revision expected,
                               std::function<void(write_result)> done) {
  call_request request;
  request.kind = call_kind::kWrite;
  request.method = http::verb::delete_;
  request.target = ObjectTarget(name, expected);
  request.limit = client_->options.call_limit;
  client_->Send(std::move(request),
                [done = std::move(done)](const call_outcome& outcome) {
                  done(WriteResult(outcome));
                });
}

void http_object_store::client::OnElements(const std::string& target,
                                           std::size_t unreadable_count) {
  if (unreadable_count == 0) {
    unreadable.erase(target);
    return;
  }
  auto& reported = unreadable[target];
  if (reported == unreadable_count) return;
  reported = unreadable_count;
  if (options.report_unreadable) {
    options.report_unreadable(
        target, std::to_string(unreadable_count) + " unreadable elements");
  }
}

template <class T, class Reader>
void http_object_store::client::SendList(call_request request, Reader read,
                                         std::function<void(result<T>)> done) {
  const auto target = request.target;
  Send(std::move(request), [this, target, read, done = std::move(done)](
                               const call_outcome& outcome) {
    std::size_t unreadable_count = 0;
    auto list = ReadResult<T>(outcome, [&](const auto& body) {
      return read(body, unreadable_count);
    });
    if (list) OnElements(target, unreadable_count);
    done(std::move(list));
  });
}

void http_object_store::client::List(
    call_request request, const std::string& prefix,
    std::function<void(result<object_list>)> done) {
  const auto read = [prefix](const std::string& body,
                             std::size_t& unreadable_count) {
    const auto element = [&](auto text) { return ReadElement(text, prefix); };
    return object_list{
        ReadElements<object>(body, "items", element, unreadable_count),
        revision(ReadMember(body, "revision").get<std::uint64_t>())};
  };
  SendList<object_list>(std::move(request), read, std::move(done));
}

void http_object_store::List(const std::string& prefix,
                             std::function<void(result<object_list>)> done) {
  call_request request;
  request.target = "/v1/list?prefix=" + Encode(prefix);
  request.limit = client_->options.call_limit;
  client_->List(std::move(request), prefix, std::move(done));
}

void http_object_store::Watch(const std::string& prefix, revision after,
                              std::chrono::milliseconds wait,
                              std::function<void(result<object_list>)> done) {
  call_request request;
  request.kind = call_kind::kWatch;
  request.target = "/v1/watch?prefix=" + Encode(prefix) +
                   "&after=" + std::to_string(after.value()) +
                   "&wait_ms=" + std::to_string(wait.count());
  request.limit = wait + client_->options.watch_margin;
  client_->List(std::move(request), prefix, std::move(done));
}

void http_object_store::ListHosts(
    std::function<void(result<std::vector<listed_host>>)> done) {
  using hosts = std::vector<listed_host>;
  call_request request;
  request.target = "/v1/hosts";
  request.limit = client_->options.call_limit;
  const auto read = [](const std::string& body, std::size_t& unreadable_count) {
    return ReadElements<listed_host>(body, "hosts", ReadHost, unreadable_count);
  };
  client_->SendList<hosts>(std::move(request), read, std::move(done));
}

}  // namespace bluebell::store
