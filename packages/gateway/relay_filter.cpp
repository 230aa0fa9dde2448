#include "gateway/relay_filter.h"

#include "gateway/event_stream.h"

namespace bluebell::gateway {
namespace {

constexpr char kRequestIdField[] = "x-request-id";
/// Wait that a refused caller is asked to keep, in seconds.
constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

http_answer ToAnswer(const problem& what, const request_id& id) {
  http_answer answer;
  answer.status = Describe(what.code).http_status;
  answer.fields.Add("Content-Type", "application/problem+json");
  answer.fields.Add(kRequestIdField, id.value());
  if (answer.status == 429 || answer.status == 503) {
    answer.fields.Add("Retry-After", kRetryAfterSeconds);
  }
  if (answer.status == 401) answer.fields.Add("WWW-Authenticate", "Bearer");
  answer.body = ToProblemJson(what, id.value());
  return answer;
}

void relay_filter::Process(exchange& current, next_filter& next,
                           boost::asio::yield_context yield) {
  current.received_at = time_.now();
  next.Process(current, yield);
  switch (current.end) {
    case ending::kOpen:
      current.Refuse(problem_code::kInternalError, "no answer was produced",
                     current.dispatched ? executed::kUnknown : executed::kNo);
      [[fallthrough]];
    case ending::kProblem:
      current.whole = ToAnswer(current.failure, current.id);
      current.answer.SendWhole(current.whole, yield);
      break;
    case ending::kWhole:
      SendWhole(current, yield);
      break;
    case ending::kStreamed:
      break;
    case ending::kStreamBroken:
      BreakStream(current, yield);
      break;
  }
  Record(current);
}

void relay_filter::SendWhole(exchange& current,
                             boost::asio::yield_context yield) {
  current.whole.fields.Add(kRequestIdField, current.id.value());
  current.answer.SendWhole(current.whole, yield);
}

// Sends the reason as a last event and closes without the end mark.
void relay_filter::BreakStream(exchange& current,
                               boost::asio::yield_context yield) {
  current.answer.SendPart(
      "event: error\n" +
          ToEvent(ToProblemJson(current.failure, current.id.value())),
      yield);
  current.answer.BreakStream();
}

void relay_filter::Record(const exchange& current) {
  const account_id account =
      current.account ? current.account->id : account_id("open");
  const bool failed =
      current.end == ending::kProblem || current.end == ending::kStreamBroken;
  const std::string outcome =
      failed ? Describe(current.failure.code).code : "ok";
  metrics_.RecordEnd(account, outcome);
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
