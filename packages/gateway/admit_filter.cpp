#include "gateway/admit_filter.h"

#include <functional>

#include "gateway/await.h"

namespace bluebell::gateway {
namespace {

void RefuseAdmission(exchange& current, limits::admission_refusal reason,
                     token_count tokens) {
  const std::string need =
      "the request needs " + std::to_string(tokens.value()) + " tokens";
  switch (reason) {
    case limits::admission_refusal::kUnknownAccount:
      current.Refuse(problem_code::kKeyInvalid, "the account was removed");
      return;
    case limits::admission_refusal::kExceedsBurst:
      current.Refuse(problem_code::kRequestExceedsBurst, need);
      return;
    case limits::admission_refusal::kRateExceeded:
      current.Refuse(problem_code::kRateExceeded, need);
      return;
    case limits::admission_refusal::kBudgetUnavailable:
      current.Refuse(problem_code::kNotReady,
                     "this host holds no part of the account's budget");
      return;
  }
}

// Tokens charged to the budget: none if the request was not dispatched. A
// plain service call is charged in full, also if its outcome is unknown.
token_count UsedTokens(const exchange& current, token_count reserved) {
  if (!current.dispatched) return token_count(0);
  if (current.kind == request_kind::kService) return reserved;
  return std::min(reserved, current.prompt_tokens + current.generated);
}

}  // namespace

void admit_filter::Process(exchange& current, next_filter& next,
                           boost::asio::yield_context yield) {
  if (!current.account) {
    next.Process(current, yield);
    return;
  }
  const token_count tokens = current.prompt_tokens + current.max_tokens;
  auto outcome =
      Await<limits::admission::reserve_result>(context_, yield, [&](auto done) {
        admission_.Reserve(current.account->id, tokens, std::move(done));
      });
  if (!outcome) {
    RefuseAdmission(current, outcome.error(), tokens);
    return;
  }
  next.Process(current, yield);
  admission_.Settle(*outcome, UsedTokens(current, tokens));
}

}  // namespace bluebell::gateway
