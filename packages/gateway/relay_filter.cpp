#include "gateway/relay_filter.h"

#include "gateway/event_stream.h"

namespace bluebell::gateway {
namespace {

constexpr char kRequestIdField[] = "x-request-id";
/// `Retry-After` value, in seconds.
constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

http_response ToResponse(const problem& reason, const request_id& id) {
  http_response response;
  response.status = Describe(reason.code).http_status;
  response.fields.Add("Content-Type", "application/problem+json");
  response.fields.Add(kRequestIdField, id.value());
  if (response.status == 429 || response.status == 503) {
    response.fields.Add("Retry-After", kRetryAfterSeconds);
  }
  if (response.status == 401) response.fields.Add("WWW-Authenticate", "Bearer");
  response.body = ToProblemJson(reason, id.value());
  return response;
}

void relay_filter::Process(exchange& current, next_filter& next,
                           boost::asio::yield_context yield) {
  current.received_at = time_.now();
  next.Process(current, yield);
  switch (current.outcome) {
    case exchange_outcome::kPending:
      current.Refuse(problem_code::kInternalError, "no answer was produced",
                     current.dispatched ? executed::kUnknown : executed::kNo);
      [[fallthrough]];
    case exchange_outcome::kProblem:
      current.response = ToResponse(current.failure, current.id);
      current.writer.SendResponse(current.response, yield);
      break;
    case exchange_outcome::kResponse:
      SendResponse(current, yield);
      break;
    case exchange_outcome::kStreamed:
      break;
    case exchange_outcome::kStreamFailed:
      AbortStream(current, yield);
      break;
  }
  Record(current);
}

void relay_filter::SendResponse(exchange& current,
                                boost::asio::yield_context yield) {
  current.response.fields.Add(kRequestIdField, current.id.value());
  current.writer.SendResponse(current.response, yield);
}

// Sends the problem as a final event and closes without the last chunk.
void relay_filter::AbortStream(exchange& current,
                               boost::asio::yield_context yield) {
  current.writer.SendChunk(
      "event: error\n" +
          ToEvent(ToProblemJson(current.failure, current.id.value())),
      yield);
  current.writer.AbortStream();
}

void relay_filter::Record(const exchange& current) {
  const account_id account =
      current.account ? current.account->id : account_id("open");
  const bool failed = current.outcome == exchange_outcome::kProblem ||
                      current.outcome == exchange_outcome::kStreamFailed;
  const std::string outcome =
      failed ? Describe(current.failure.code).code : "ok";
  metrics_.RecordRequest(account, outcome);
  std::vector<event_field> fields = {
      {"request", current.id.value()},
      {"account", account.value()},
      {"target", current.target},
      {"tokens", std::to_string(current.generated.value())}};
  if (current.assignment) {
    fields.emplace_back("endpoint", current.assignment->endpoint.value());
  }
  if (failed) {
    fields.emplace_back("code", outcome);
    fields.emplace_back("executed", ToString(current.failure.run));
  }
  events_.Record(
      failed ? event_id::kRequestRefused : event_id::kRequestFinished,
      std::move(fields));
}

}  // namespace bluebell::gateway
