#include "gateway/dispatch_filter.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/nested_json.h"
#include "gateway/event_stream.h"
#include "gateway/listener_probe.h"
#include "gateway/network.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
using routing::dispatch_outcome;

constexpr char kRequestIdField[] = "x-request-id";

/// Request header fields that are forwarded to a plain service. All others,
/// Authorization in particular, are dropped.
constexpr std::array<std::string_view, 4> kForwardedFields = {
    "Content-Type", "Accept", "Accept-Language", "Idempotency-Key"};

http_request ToServiceRequest(const exchange& current) {
  http_request request;
  request.method = current.request.method;
  request.path = current.request.path;
  request.query = current.request.query;
  request.body = current.request.body;
  for (const std::string_view name : kForwardedFields) {
    const std::string value = current.request.fields.Find(name);
    if (!value.empty()) request.fields.Add(std::string(name), value);
  }
  return request;
}

// Adds the fields that an engine needs. `max_tokens` is always set, because
// the reservation covers no more tokens.
http_request ToEngineRequest(const exchange& current) {
  nlohmann::json body = current.body;
  body["max_tokens"] = current.max_tokens.value();
  body["priority"] = current.account ? current.account->priority : 9;
  body["stream_id"] = current.id.value();
  body.erase("resume_from");
  if (current.progress.next_index > 0) {
    body["resume_from"] = current.progress.next_index;
  }
  http_request request;
  request.method = "POST";
  request.path = current.request.path;
  request.fields.Add("Content-Type", "application/json");
  request.body = body.dump();
  return request;
}

// Records a failed attempt. The caller gets this failure unless a later
// attempt succeeds.
void RecordFailedAttempt(exchange& current, dispatch_outcome outcome,
                         const std::string& detail) {
  current.last_outcome = outcome;
  if (current.writer.started()) {
    current.outcome = exchange_outcome::kStreamFailed;
    current.failure = {problem_code::kAnswerIncomplete, detail, executed::kYes};
    return;
  }
  current.Refuse(problem_code::kEndpointFailed, detail,
                 current.dispatched ? executed::kUnknown : executed::kNo);
}

std::int64_t CompletionTokens(const http_response& response,
                              const exchange& current) {
  const auto body = ParseJson(response.body);
  if (body.is_object() && body.contains("usage") && body["usage"].is_object()) {
    const auto& usage = body["usage"];
    const auto tokens = usage.find("completion_tokens");
    if (tokens != usage.end() && tokens->is_number_integer()) {
      return std::clamp<std::int64_t>(tokens->get<std::int64_t>(), 0,
                                      current.max_tokens.value());
    }
  }
  return current.max_tokens.value();
}

}  // namespace

void dispatch_filter::Process(exchange& current, next_filter& /*next*/,
                              asio::yield_context yield) {
  const auto& target = *current.assignment;
  auto opened = endpoint_connection::Connect(context_, target.address,
                                             limits_.connect_timeout, yield);
  if (!opened) {
    RecordFailedAttempt(current, dispatch_outcome::kConnectFailed,
                        opened.error().detail);
    return;
  }
  if (current.writer.caller_disconnected() && current.repeatable) {
    current.last_outcome = dispatch_outcome::kCancelled;
    return;
  }
  const connection shared(std::move(*opened));
  const std::string attempt_id =
      current.id.value() + "-" + std::to_string(current.attempts);
  http_request request = current.kind == request_kind::kService
                             ? ToServiceRequest(current)
                             : ToEngineRequest(current);
  request.fields.Add("Host", target.address);
  request.fields.Add(kRequestIdField, attempt_id);

  if (!current.may_dispatch()) {
    current.last_outcome = dispatch_outcome::kCancelled;
    current.Refuse(problem_code::kPlatformUnavailable,
                   "the attempt was given up before it was sent");
    return;
  }
  current.dispatched = true;
  // A disconnected caller cancels a repeatable request. A non-repeatable call
  // goes on, so that its response can be recorded.
  if (current.repeatable) {
    current.writer.OnCallerDisconnect([shared] { shared->Close(); });
  }
  const auto sent = shared->Send(request, limits_.send_timeout, yield);
  if (sent) {
    ReadResponse(current, shared, attempt_id, yield);
  } else {
    RecordFailedAttempt(current, dispatch_outcome::kBroken,
                        sent.error().detail);
  }
  current.writer.OnCallerDisconnect(nullptr);
  if (current.writer.caller_disconnected() && current.repeatable) {
    current.last_outcome = dispatch_outcome::kCancelled;
  }
}

void dispatch_filter::ReadResponse(exchange& current, const connection& opened,
                                   const std::string& attempt_id,
                                   asio::yield_context yield) {
  auto head = opened->ReadHead(limits_.head_timeout, yield);
  if (!head) {
    RecordFailedAttempt(current, dispatch_outcome::kBroken,
                        head.error().detail);
    return;
  }
  const std::string echoed = head->fields.Find(kRequestIdField);
  const bool may_omit = current.kind == request_kind::kService;
  if (echoed != attempt_id && !(may_omit && echoed.empty())) {
    RecordFailedAttempt(current, dispatch_outcome::kBroken,
                        "the endpoint answered another request");
    return;
  }
  const bool streams = current.stream && head->status == 200 &&
                       current.kind != request_kind::kService;
  if (streams) {
    ReadStream(current, opened, *head, yield);
  } else {
    ReadFullResponse(current, opened, std::move(*head), yield);
  }
}

void dispatch_filter::ReadFullResponse(exchange& current,
                                       const connection& opened,
                                       http_response head,
                                       asio::yield_context yield) {
  const auto limit =
      limits_.response_timeout +
      limits_.response_timeout_per_token * current.max_tokens.value();
  auto body = opened->ReadBody(limits_.max_response_bytes, limit, yield);
  if (!body) {
    RecordFailedAttempt(current, dispatch_outcome::kBroken,
                        "the answer was cut off: " + body.error().detail);
    return;
  }
  // A crash closes the connection as the end of such an answer does.
  if (opened->framing() == body_framing::kConnection) {
    const auto listener = ProbeListener(context_, current.assignment->address,
                                        limits_.connect_timeout, yield);
    if (listener != listener_state::kAccepting) {
      RecordFailedAttempt(
          current, dispatch_outcome::kBroken,
          std::string("the answer ended with its connection, endpoint ") +
              ToString(listener));
      return;
    }
  }
  const bool engine = current.kind != request_kind::kService;
  if (engine && head.status >= 500) {
    RecordFailedAttempt(
        current, dispatch_outcome::kEndpointError,
        "the engine answered with status " + std::to_string(head.status));
    return;
  }
  if (current.writer.started()) {
    RecordFailedAttempt(current, dispatch_outcome::kEndpointError,
                        "the engine did not resume the stream");
    return;
  }
  current.response = {};
  current.response.status = head.status;
  current.response.fields.Add("Content-Type", head.fields.Find("Content-Type"));
  current.response.body = std::move(*body);
  current.outcome = exchange_outcome::kResponse;
  current.last_outcome = dispatch_outcome::kSucceeded;
  if (engine && head.status == 200) {
    current.generated =
        token_count(CompletionTokens(current.response, current));
    metrics_.RecordTokens(current.generated);
  }
}

void dispatch_filter::ReadStream(exchange& current, const connection& opened,
                                 const http_response& /*head*/,
                                 asio::yield_context yield) {
  event_stream_parser parser;
  while (true) {
    const auto part = opened->ReadSome(limits_.stream_idle_timeout, yield);
    if (!part || part->empty()) {
      RecordFailedAttempt(
          current, dispatch_outcome::kBroken,
          part ? "the stream ended early" : part.error().detail);
      return;
    }
    for (const std::string& data : parser.Feed(*part)) {
      if (data == kStreamEnd) {
        FinishStream(current, yield);
        return;
      }
      if (!RelayEvent(current, data, yield)) {
        RecordFailedAttempt(current, dispatch_outcome::kBroken,
                            "the stream skipped tokens");
        return;
      }
    }
  }
}

// Relays one event unless it was sent before. Returns false if the event is
// malformed or its index skips tokens.
bool dispatch_filter::RelayEvent(exchange& current, const std::string& data,
                                 asio::yield_context yield) {
  const auto content = ParseJson(data);
  if (!content.is_object()) return false;
  const auto index = content.find("index");
  const bool indexed = index != content.end() && index->is_number_integer();
  stream_progress& progress = current.progress;
  if (indexed) {
    const auto number = index->get<std::int64_t>();
    if (number < progress.next_index) return true;
    if (number > progress.next_index) return false;
    progress.resumable = true;
  }
  ++progress.next_index;
  if (!current.writer.started()) {
    http_response head;
    head.fields.Add("Content-Type", "text/event-stream");
    head.fields.Add("Cache-Control", "no-store");
    head.fields.Add(kRequestIdField, current.id.value());
    current.writer.StartStream(head, yield);
  }
  RecordToken(current);
  current.writer.SendChunk(ToEvent(data), yield);
  return true;
}

void dispatch_filter::FinishStream(exchange& current,
                                   asio::yield_context yield) {
  if (!current.writer.started()) {
    http_response head;
    head.fields.Add("Content-Type", "text/event-stream");
    head.fields.Add(kRequestIdField, current.id.value());
    current.writer.StartStream(head, yield);
  }
  current.writer.SendChunk(ToEvent(kStreamEnd), yield);
  current.writer.FinishStream(yield);
  current.outcome = exchange_outcome::kStreamed;
  current.last_outcome = dispatch_outcome::kSucceeded;
}

// Counts a token and records the time since the request or the previous token.
void dispatch_filter::RecordToken(exchange& current) {
  const auto now = time_.now();
  if (current.generated.value() == 0) {
    metrics_.RecordFirstToken(now - current.received_at);
  } else {
    metrics_.RecordTokenGap(now - current.progress.last_token_at);
  }
  current.progress.last_token_at = now;
  current.generated += token_count(1);
  metrics_.RecordTokens(token_count(1));
}

}  // namespace bluebell::gateway
