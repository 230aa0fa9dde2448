#include "gateway/schedule_filter.h"

#include <memory>

#include "gateway/await.h"

namespace bluebell::gateway {
namespace {

constexpr int kMaxAttempts = 4;
/// Priority and weight of requests on open routes, which have no account.
constexpr int kOpenRoutePriority = 9;
constexpr std::int64_t kOpenRouteWeight = 1;

routing::routing_request ToRoutingRequest(const exchange& current) {
  routing::routing_request request;
  request.account = current.account ? current.account->id : account_id();
  request.weight = current.account ? current.account->weight : kOpenRouteWeight;
  request.priority =
      current.account ? current.account->priority : kOpenRoutePriority;
  request.target = current.target;
  request.is_service = current.kind == request_kind::kService;
  request.prefix_hash = current.prefix_hash;
  request.estimated_tokens = current.prompt_tokens + current.max_tokens;
  request.fingerprint = request.account.value() + ":" + current.digest;
  return request;
}

bool IsFailure(routing::dispatch_outcome outcome) {
  return outcome == routing::dispatch_outcome::kConnectFailed ||
         outcome == routing::dispatch_outcome::kBroken ||
         outcome == routing::dispatch_outcome::kEndpointError;
}

}  // namespace

void schedule_filter::Process(exchange& current, next_filter& next,
                              boost::asio::yield_context yield) {
  routing::routing_request request = ToRoutingRequest(current);
  while (true) {
    auto outcome = Acquire(current, request, yield);
    if (!outcome) {
      // A failed attempt's problem is more specific than the queue's.
      if (current.attempts == 0) {
        current.Refuse(outcome.error().code, outcome.error().detail,
                       outcome.error().run);
      }
      return;
    }
    ++current.attempts;
    current.assignment = *outcome;
    current.last_outcome.reset();
    next.Process(current, yield);
    const auto ended =
        current.last_outcome.value_or(routing::dispatch_outcome::kCancelled);
    scheduler_.Release(*outcome, ended, current.generated);
    if (!IsFailure(ended) || !MayRetry(current)) return;
    request.excluded.push_back(outcome->endpoint);
  }
}

// After a refused connection no byte reached the endpoint, so even a
// non-repeatable request may be sent to another one.
bool schedule_filter::MayRetry(const exchange& current) {
  if (current.attempts >= kMaxAttempts) return false;
  if (current.writer.caller_disconnected()) return false;
  if (current.dispatched && !current.repeatable) return false;
  if (current.writer.started() && !current.progress.resumable) return false;
  return scheduler_.TakeRetry(current.account ? current.account->id
                                              : account_id());
}

routing::scheduler::acquire_result schedule_filter::Acquire(
    exchange& current, const routing::routing_request& request,
    boost::asio::yield_context yield) {
  using acquired = routing::scheduler::acquire_result;
  auto outcome = Await<acquired>(context_, yield, [&](auto done) {
    auto finished = std::make_shared<bool>(false);
    const std::uint64_t ticket =
        scheduler_.Acquire(request, [finished, done](acquired granted) {
          *finished = true;
          done(std::move(granted));
        });
    if (*finished) return;
    current.writer.OnCallerDisconnect([this, ticket, finished, done] {
      if (*finished) return;
      *finished = true;
      scheduler_.Cancel(ticket);
      done(tl::unexpected(problem{problem_code::kQueueTimeout,
                                  "the caller closed the connection",
                                  executed::kNo}));
    });
  });
  current.writer.OnCallerDisconnect(nullptr);
  return outcome;
}

}  // namespace bluebell::gateway
