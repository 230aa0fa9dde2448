#include "gateway/deduplicate_filter.h"

#include "gateway/await.h"

namespace bluebell::gateway {
namespace {

idempotency::recorded_response ToRecord(const http_response& response) {
  return {response.status, response.fields.Find("Content-Type"), response.body,
          false};
}

http_response FromRecord(const idempotency::recorded_response& record) {
  http_response response;
  response.status = record.http_status;
  response.fields.Add("Content-Type", record.content_type);
  response.fields.Add("Idempotent-Replayed", "true");
  response.body = record.body;
  return response;
}

}  // namespace

void deduplicate_filter::Process(exchange& current, next_filter& next,
                                 boost::asio::yield_context yield) {
  if (current.repeatable) {
    next.Process(current, yield);
    return;
  }
  const idempotency::idempotent_request request{
      current.account->id, current.request.fields.Find("Idempotency-Key"),
      current.digest};
  const auto outcome = Await<idempotency::begin_outcome>(
      context_, yield,
      [&](auto done) { records_.Begin(request, std::move(done)); });
  if (const auto* refusal = std::get_if<problem>(&outcome)) {
    current.Refuse(refusal->code, refusal->detail, refusal->run);
  } else if (const auto* record =
                 std::get_if<idempotency::recorded_response>(&outcome)) {
    if (record->body_omitted) {
      current.Refuse(problem_code::kOutcomeUnknown,
                     "the request ran; its answer was too large to be kept",
                     executed::kYes);
      return;
    }
    current.response = FromRecord(*record);
    current.outcome = exchange_outcome::kResponse;
  } else {
    Run(current, std::get<idempotency::attempt>(outcome), next, yield);
  }
}

void deduplicate_filter::Run(exchange& current,
                             const idempotency::attempt& attempt,
                             next_filter& next,
                             boost::asio::yield_context yield) {
  current.may_dispatch = [this, attempt] {
    return records_.MarkDispatched(attempt);
  };
  next.Process(current, yield);
  if (!current.dispatched) {
    records_.MarkNotRun(attempt);
  } else if (current.outcome == exchange_outcome::kResponse) {
    records_.Complete(attempt, ToRecord(current.response));
  } else {
    records_.Abandon(attempt);
  }
}

}  // namespace bluebell::gateway
