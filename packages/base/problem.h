#pragma once

#include <string>

namespace bluebell {

/// Whether a refused or failed request may have run at an endpoint.
enum class executed { kNo, kUnknown, kYes };

/// Reasons for which a caller gets a problem document in place of an answer.
enum class problem_code {
  kMalformedRequest,
  kHeadersTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kUnsupportedMediaType,
  kMethodNotAllowed,
  kRouteNotFound,
  kUnknownModel,
  kKeyMissing,
  kKeyInvalid,
  kRateExceeded,
  kRequestExceedsBurst,
  kIdempotencyKeyMissing,
  kIdempotencyConflict,
  kOutcomeUnknown,
  kRequestQuarantined,
  kQueueFull,
  kQueueTimeout,
  kNoEndpoint,
  kEndpointFailed,
  kAnswerIncomplete,
  kPlatformUnavailable,
  kHostIsolated,
  kNotReady,
  kRevisionConflict,
  kInvalidRow,
  kRowNotFound,
  kInternalError,
};

/// Fixed properties of a problem code.
struct problem_kind {
  const char* code;
  int http_status;
  const char* title;
};

/// Returns the properties of `code`.
const problem_kind& Describe(problem_code code);

/// Returns "no", "unknown" or "yes".
const char* ToString(executed value);

/// A refusal or failure as told to the caller.
struct problem {
  problem_code code = problem_code::kInternalError;
  std::string detail;
  executed run = executed::kNo;
};

/// Returns the body of type `application/problem+json`.
std::string ToProblemJson(const problem& what, const std::string& request_id);

}  // namespace bluebell
