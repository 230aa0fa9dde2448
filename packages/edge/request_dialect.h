#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "gateway/http_types.h"
#include "serving/copy_planner.h"
#include "serving/engine_record.h"
#include "serving/engine_statement.h"

namespace bluebell::edge {

using gateway::http_request;
using gateway::http_response;
using std::chrono::milliseconds;

/// Values parsed from the header fields of a caller's request.
struct caller_request {
  /// Names of models and adapters are UTF-8.
  bool readable = true;
  /// Unique to one attempt of a caller.
  request_id id;
  /// Host name used to select the route.
  std::string host;
  /// Empty if the caller sent none.
  std::string key;
  /// How long the caller waits.
  std::optional<milliseconds> deadline;
  model_id model;
  /// An adapter of `model`, or empty.
  adapter_id adapter;
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> output_tokens;
  /// A stream is taken up after this event; empty for a new request.
  std::string last_event;
  /// Attempt that brought the first event of the stream that is taken up; empty
  /// if the caller names none.
  request_id resumes;
  /// Parts of the prompt in order, without the last one, which belongs to the
  /// request or its session alone.
  std::vector<prompt_part_id> shared_parts;
};

/// Values that this host adds to a forwarded request.
struct engine_call {
  endpoint_id engine;
  /// Empty on routes that require no account.
  account_id account;
  milliseconds time_left{0};
  /// Scheduling urgency at a model engine, 0 is the most urgent; none for plain
  /// services.
  std::optional<int> urgency;
  /// Replaces the caller's last event id when this host resumes a stream.
  std::string last_event;
};

/// Values parsed from the status line and header fields of an endpoint's
/// answer.
struct engine_answer {
  /// The answer is to the request that was sent.
  bool matches_request = true;
  /// The endpoint states that it did not run the request.
  bool not_run = false;
  /// The address belongs to another endpoint, or the engine lacks the model.
  bool misdirected = false;
  /// The endpoint that answered, if stated.
  endpoint_id engine;
  /// How long the endpoint keeps an idle connection open.
  std::optional<std::chrono::seconds> keep_alive;
};

/// A caller's query for host addresses.
struct address_query {
  std::string host;
  zone_id zone;
};

/// A placement order with its fencing values.
struct engine_order {
  serving::placement_order order;
  host_id holder;
  std::uint64_t fencing_number = 0;
  /// The engine refuses the order if its count of accepted orders differs.
  std::int64_t expected_order_count = 0;
};

/// Wire format of requests, answers and orders. An implementation only encodes
/// and decodes; it makes no decisions.
class request_dialect {
 public:
  virtual ~request_dialect() = default;

  virtual caller_request ReadRequest(const http_request& received) const = 0;
  /// Builds the request for the engine from the caller's, without hop-by-hop
  /// fields and fields that only this system may set, and without its body,
  /// which may be large and is sent as received.
  virtual http_request EngineRequest(const http_request& received,
                                     const engine_call& call) const = 0;
  virtual engine_answer ReadAnswer(const http_response& head,
                                   const request_id& expected) const = 0;
  /// Parses what an endpoint states of itself in an answer to any request.
  virtual serving::engine_statement ReadStatement(
      const http_response& head) const = 0;
  /// Header fields of the engine's answer that are forwarded to the caller.
  virtual gateway::http_fields CallerFields(
      const http_response& head) const = 0;
  /// Builds an answer that this host generates itself.
  virtual http_response LocalAnswer(
      int status, const request_id& id,
      std::optional<milliseconds> retry_after) const = 0;

  virtual std::optional<address_query> ReadAddressQuery(
      const http_request& received) const = 0;
  virtual http_response AddressAnswer(const std::vector<std::string>& addresses,
                                      milliseconds lifetime) const = 0;

  virtual http_request OrderRequest(const engine_order& order) const = 0;
  virtual http_request ReportRequest(const endpoint_id& engine) const = 0;
  virtual result<serving::engine_report> ReadReport(
      const std::string& body) const = 0;
};

}  // namespace bluebell::edge
