#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/problem.h"
#include "config/rows.h"
#include "gateway/http_types.h"
#include "gateway/response_writer.h"
#include "routing/scheduler.h"

namespace bluebell::gateway {

/// Kind of a request, derived from its path.
enum class request_kind { kCompletion, kChatCompletion, kService };

/// Outcome of a request.
enum class exchange_outcome {
  kPending,
  /// `response` holds the endpoint's complete response.
  kResponse,
  /// `failure` holds the reason why there is no response.
  kProblem,
  /// The complete stream was sent to the caller.
  kStreamed,
  /// The stream failed after its beginning was sent; `failure` holds the
  /// reason.
  kStreamFailed,
};

/// Progress of a token stream over one or more endpoints.
struct stream_progress {
  /// Index of the next token to send to the caller.
  std::int64_t next_index = 0;
  /// Whether the stream's events carry indexes, so that it can be resumed.
  bool resumable = false;
  clock::time_point last_token_at{};
};

/// State of one request in the pipeline.
struct exchange {
  exchange(http_request received, response_writer& target_writer)
      : request(std::move(received)), writer(target_writer) {}

  request_id id;
  http_request request;
  response_writer& writer;
  clock::time_point received_at{};

  request_kind kind = request_kind::kCompletion;
  std::optional<config::route_row> route;
  /// Empty on open routes.
  std::optional<config::account_row> account;
  bool repeatable = true;

  /// Model or adapter id, or group of plain services.
  std::string target;
  nlohmann::json body;
  bool stream = false;
  token_count prompt_tokens;
  token_count max_tokens;
  std::string digest;
  std::uint64_t prefix_hash = 0;

  /// Called immediately before the first byte goes to an endpoint; `false`
  /// forbids sending.
  std::function<bool()> may_dispatch = [] { return true; };

  std::optional<routing::assignment> assignment;
  std::optional<routing::dispatch_outcome> last_outcome;
  int attempts = 0;
  stream_progress progress;
  token_count generated;
  /// Whether a byte of the request may have reached an endpoint.
  bool dispatched = false;

  exchange_outcome outcome = exchange_outcome::kPending;
  http_response response;
  problem failure;

  /// Ends the exchange with a problem instead of an endpoint's response.
  void Refuse(problem_code code, std::string detail,
              executed run = executed::kNo) {
    outcome = exchange_outcome::kProblem;
    failure = {code, std::move(detail), run};
  }
};

}  // namespace bluebell::gateway
