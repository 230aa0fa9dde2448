#include "base/problem.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>

namespace bluebell {
namespace {

const std::unordered_map<problem_code, problem_kind>& Kinds() {
  using code = problem_code;
  static const std::unordered_map<problem_code, problem_kind> kKinds = {
      {code::kMalformedRequest,
       {"malformed_request", 400, "The request is malformed"}},
      {code::kHeadersTooLarge,
       {"headers_too_large", 431, "The header fields are too large"}},
      {code::kBodyTooLarge, {"body_too_large", 413, "The body is too large"}},
      {code::kRequestTimeout,
       {"request_timeout", 408, "The request did not arrive in time"}},
      {code::kUnsupportedMediaType,
       {"unsupported_media_type", 415, "The content type is not supported"}},
      {code::kMethodNotAllowed,
       {"method_not_allowed", 405, "The method is not allowed here"}},
      {code::kRouteNotFound,
       {"route_not_found", 404, "No route has this path"}},
      {code::kUnknownModel,
       {"unknown_model", 404, "The model or adapter does not exist"}},
      {code::kKeyMissing, {"key_missing", 401, "A key is required"}},
      {code::kKeyInvalid, {"key_invalid", 401, "The key is not valid"}},
      {code::kRateExceeded,
       {"rate_exceeded", 429, "The client account exceeds its rate"}},
      {code::kRequestExceedsBurst,
       {"request_exceeds_burst", 400,
        "The request needs more tokens than the account's burst"}},
      {code::kIdempotencyKeyMissing,
       {"idempotency_key_missing", 400,
        "This route requires an Idempotency-Key header"}},
      {code::kIdempotencyConflict,
       {"idempotency_conflict", 422,
        "The idempotency key was used for a different request"}},
      {code::kOutcomeUnknown,
       {"outcome_unknown", 409,
        "An earlier attempt may have run and left no answer"}},
      {code::kRequestQuarantined,
       {"request_quarantined", 422,
        "The request stopped endpoints that ran it"}},
      {code::kQueueFull, {"queue_full", 503, "The queue is full"}},
      {code::kQueueTimeout,
       {"queue_timeout", 503, "No endpoint became free in time"}},
      {code::kNoEndpoint,
       {"no_endpoint", 503, "No endpoint can serve the request now"}},
      {code::kEndpointFailed,
       {"endpoint_failed", 502, "The endpoint failed during the request"}},
      {code::kAnswerIncomplete,
       {"answer_incomplete", 502, "The endpoint's answer was cut off"}},
      {code::kPlatformUnavailable,
       {"platform_unavailable", 503, "The platform did not confirm in time"}},
      {code::kHostIsolated,
       {"host_isolated", 503, "This host is cut off from the fleet"}},
      {code::kNotReady, {"not_ready", 503, "This host is not ready yet"}},
      {code::kRevisionConflict,
       {"revision_conflict", 409, "The row was changed by another edit"}},
      {code::kInvalidRow, {"invalid_row", 400, "The row is not valid"}},
      {code::kRowNotFound, {"row_not_found", 404, "The row does not exist"}},
      {code::kInternalError, {"internal_error", 500, "Internal error"}},
  };
  return kKinds;
}

}  // namespace

const problem_kind& Describe(problem_code code) { return Kinds().at(code); }

const char* ToString(executed value) {
  switch (value) {
    case executed::kNo:
      return "no";
    case executed::kUnknown:
      return "unknown";
    case executed::kYes:
      return "yes";
  }
  throw std::logic_error("invalid value of executed");
}

std::string ToProblemJson(const problem& what, const std::string& request_id) {
  const problem_kind& kind = Describe(what.code);
  const nlohmann::json body = {{"code", kind.code},
                               {"title", kind.title},
                               {"status", kind.http_status},
                               {"detail", what.detail},
                               {"executed", ToString(what.run)},
                               {"request_id", request_id}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace bluebell
