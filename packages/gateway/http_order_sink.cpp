#include "gateway/http_order_sink.h"

#include <nlohmann/json.hpp>

#include "gateway/json_client.h"

namespace bluebell::gateway {
namespace {

constexpr std::chrono::milliseconds kOrderTimeout{2'000};
constexpr int kAccepted = 202;
constexpr int kStaleFence = 409;

placement::order_result ToResult(const result<json_answer>& answer) {
  if (!answer) return tl::unexpected(answer.error());
  if (answer->status == kAccepted) return {};
  const error_code code = answer->status == kStaleFence
                              ? error_code::kRefused
                              : error_code::kOutcomeUnknown;
  return Fail(code, "status " + std::to_string(answer->status));
}

}  // namespace

void http_order_sink::Send(const config::endpoint_row& engine,
                           const placement::order& what,
                           std::function<void(placement::order_result)> done) {
  const nlohmann::json body = {{"order_id", what.id},
                               {"fence", what.fence},
                               {"operation", ToString(what.operation)},
                               {"target", what.target},
                               {"memory_bytes", what.memory.value()}};
  CallJson(context_, "POST", engine.address, "/v1/orders", body, kOrderTimeout,
           [done = std::move(done)](const result<json_answer>& answer) {
             done(ToResult(answer));
           });
}

}  // namespace bluebell::gateway
