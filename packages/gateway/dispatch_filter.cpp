#include "gateway/dispatch_filter.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gateway/event_stream.h"
#include "gateway/network.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;
using routing::dispatch_outcome;

constexpr char kRequestIdField[] = "x-request-id";

/// Header fields of the caller that a plain service may see. All others stay
/// here, above all Authorization.
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

// Sets what the engine needs; `max_tokens` is always given, because the
// reservation covers no more.
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

// Records a failed attempt; `run` is told to the caller unless a further
// attempt succeeds.
void EndAttempt(exchange& current, dispatch_outcome outcome,
                const std::string& detail) {
  current.last_outcome = outcome;
  if (current.answer.started()) {
    current.end = ending::kStreamBroken;
    current.failure = {problem_code::kAnswerIncomplete, detail, executed::kYes};
    return;
  }
  current.Refuse(problem_code::kEndpointFailed, detail,
                 current.dispatched ? executed::kUnknown : executed::kNo);
}

std::int64_t CompletionTokens(const http_answer& answer,
                              const exchange& current) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
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
                                             limits_.connect_time, yield);
  if (!opened) {
    EndAttempt(current, dispatch_outcome::kConnectFailed,
               opened.error().detail);
    return;
  }
  if (current.answer.caller_gone() && current.repeatable) {
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
  // A caller that left needs no tokens; a call that may not be repeated goes
  // on, so that its answer can be recorded.
  if (current.repeatable) {
    current.answer.OnCallerGone([shared] { shared->Close(); });
  }
  const auto sent = shared->Send(request, limits_.send_time, yield);
  if (sent) {
    TakeAnswer(current, shared, attempt_id, yield);
  } else {
    EndAttempt(current, dispatch_outcome::kBroken, sent.error().detail);
  }
  current.answer.OnCallerGone(nullptr);
  if (current.answer.caller_gone() && current.repeatable) {
    current.last_outcome = dispatch_outcome::kCancelled;
  }
}

void dispatch_filter::TakeAnswer(exchange& current, const connection& opened,
                                 const std::string& attempt_id,
                                 asio::yield_context yield) {
  auto head = opened->ReadHead(limits_.head_time, yield);
  if (!head) {
    EndAttempt(current, dispatch_outcome::kBroken, head.error().detail);
    return;
  }
  const std::string echoed = head->fields.Find(kRequestIdField);
  const bool may_omit = current.kind == request_kind::kService;
  if (echoed != attempt_id && !(may_omit && echoed.empty())) {
    EndAttempt(current, dispatch_outcome::kBroken,
               "the endpoint answered another request");
    return;
  }
  const bool streams = current.stream && head->status == 200 &&
                       current.kind != request_kind::kService;
  if (streams) {
    TakeStream(current, opened, *head, yield);
  } else {
    TakeWhole(current, opened, std::move(*head), yield);
  }
}

void dispatch_filter::TakeWhole(exchange& current, const connection& opened,
                                http_answer head, asio::yield_context yield) {
  const auto limit = limits_.answer_time +
                     limits_.answer_time_per_token * current.max_tokens.value();
  auto body = opened->ReadRest(limits_.answer_bytes, limit, yield);
  if (!body) {
    EndAttempt(current, dispatch_outcome::kBroken,
               "the answer was cut off: " + body.error().detail);
    return;
  }
  const bool engine = current.kind != request_kind::kService;
  if (engine && head.status >= 500) {
    EndAttempt(
        current, dispatch_outcome::kEndpointError,
        "the engine answered with status " + std::to_string(head.status));
    return;
  }
  if (current.answer.started()) {
    EndAttempt(current, dispatch_outcome::kEndpointError,
               "the engine did not resume the stream");
    return;
  }
  current.whole = {};
  current.whole.status = head.status;
  current.whole.fields.Add("Content-Type", head.fields.Find("Content-Type"));
  current.whole.body = std::move(*body);
  current.end = ending::kWhole;
  current.last_outcome = dispatch_outcome::kSucceeded;
  if (engine && head.status == 200) {
    current.generated = token_count(CompletionTokens(current.whole, current));
    metrics_.RecordTokens(current.generated);
  }
}

void dispatch_filter::TakeStream(exchange& current, const connection& opened,
                                 const http_answer& /*head*/,
                                 asio::yield_context yield) {
  event_stream_parser parser;
  while (true) {
    const auto part = opened->ReadPart(limits_.stream_silence, yield);
    if (!part || part->empty()) {
      EndAttempt(current, dispatch_outcome::kBroken,
                 part ? "the stream ended early" : part.error().detail);
      return;
    }
    for (const std::string& data : parser.Feed(*part)) {
      if (data == kStreamEnd) {
        FinishStream(current, yield);
        return;
      }
      if (!RelayEvent(current, data, yield)) {
        EndAttempt(current, dispatch_outcome::kBroken,
                   "the stream skipped tokens");
        return;
      }
    }
  }
}

// Relays one event unless the caller has it already. Returns false if tokens
// before it are missing.
bool dispatch_filter::RelayEvent(exchange& current, const std::string& data,
                                 asio::yield_context yield) {
  const auto content = nlohmann::json::parse(data, nullptr, false);
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
  if (!current.answer.started()) {
    http_answer head;
    head.fields.Add("Content-Type", "text/event-stream");
    head.fields.Add("Cache-Control", "no-store");
    head.fields.Add(kRequestIdField, current.id.value());
    current.answer.StartStream(head, yield);
  }
  NoteToken(current);
  current.answer.SendPart(ToEvent(data), yield);
  return true;
}

void dispatch_filter::FinishStream(exchange& current,
                                   asio::yield_context yield) {
  if (!current.answer.started()) {
    http_answer head;
    head.fields.Add("Content-Type", "text/event-stream");
    head.fields.Add(kRequestIdField, current.id.value());
    current.answer.StartStream(head, yield);
  }
  current.answer.SendPart(ToEvent(kStreamEnd), yield);
  current.answer.FinishStream(yield);
  current.end = ending::kStreamed;
  current.last_outcome = dispatch_outcome::kSucceeded;
}

// Counts a token and measures the time since the request or the last token.
void dispatch_filter::NoteToken(exchange& current) {
  const auto now = time_.now();
  if (current.generated.value() == 0) {
    metrics_.RecordFirstToken(now - current.received_at);
  } else {
    metrics_.RecordTokenGap(now - current.progress.last_token);
  }
  current.progress.last_token = now;
  current.generated += token_count(1);
  metrics_.RecordTokens(token_count(1));
}

}  // namespace bluebell::gateway
