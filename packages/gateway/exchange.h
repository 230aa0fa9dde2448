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
#include "gateway/answer_sink.h"
#include "gateway/http_types.h"
#include "routing/scheduler.h"

namespace bluebell::gateway {

/// What the path of a request asks for.
enum class request_kind { kCompletion, kChatCompletion, kService };

/// How the work on a request ended, before the caller is told.
enum class ending {
  kOpen,
  /// `whole` is the endpoint's complete answer.
  kWhole,
  /// `failure` tells why there is no answer.
  kProblem,
  /// The whole stream was sent to the caller.
  kStreamed,
  /// The stream broke off after its beginning was sent; `failure` tells why.
  kStreamBroken,
};

/// Progress of a token stream over one or more endpoints.
struct stream_progress {
  /// Index of the next token that the caller has not got.
  std::int64_t next_index = 0;
  /// Whether the stream's events carry indexes, so that it can be resumed.
  bool resumable = false;
  clock::time_point last_token{};
};

/// One request on its way through the pipeline.
struct exchange {
  exchange(http_request received, answer_sink& sink)
      : request(std::move(received)), answer(sink) {}

  request_id id;
  http_request request;
  answer_sink& answer;
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

  ending end = ending::kOpen;
  http_answer whole;
  problem failure;

  /// Ends the exchange without an answer from an endpoint.
  void Refuse(problem_code code, std::string detail,
              executed run = executed::kNo) {
    end = ending::kProblem;
    failure = {code, std::move(detail), run};
  }
};

}  // namespace bluebell::gateway
