#include "gateway/http_order_sink.h"

#include <nlohmann/json.hpp>

#include "gateway/json_client.h"

namespace bluebell::gateway {
namespace {

constexpr std::chrono::milliseconds kOrderTimeout{2'000};
constexpr int kAccepted = 202;
constexpr int kStaleFence = 409;

placement::order_result ToResult(const result<json_response>& response) {
  if (!response) return tl::unexpected(response.error());
  if (response->status == kAccepted) return {};
  const error_code code = response->status == kStaleFence
                              ? error_code::kRefused
                              : error_code::kOutcomeUnknown;
  return Fail(code, "status " + std::to_string(response->status));
}

}  // namespace

void http_order_sink::Send(const config::endpoint_row& engine,
                           const placement::order& order,
                           std::function<void(placement::order_result)> done) {
  const nlohmann::json body = {{"order_id", order.id},
                               {"fence", order.fence},
                               {"operation", ToString(order.operation)},
                               {"target", order.target},
                               {"memory_bytes", order.memory.value()}};
  CallJson(context_, "POST", engine.address, "/v1/orders", body, kOrderTimeout,
           [done = std::move(done)](const result<json_response>& response) {
             done(ToResult(response));
           });
}

}  // namespace bluebell::gateway
