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

namespace bluebell::edge {

using gateway::http_request;
using gateway::http_response;
using std::chrono::milliseconds;

/// What the header fields of a caller's request say.
struct caller_request {
  /// Unique to one try of a caller.
  request_id id;
  /// Host name that selects the route.
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
};

/// What this host adds to a request that it passes on.
struct engine_call {
  endpoint_id engine;
  /// Empty on routes that are open to all.
  account_id account;
  milliseconds time_left{0};
  /// Urgency at a model engine, 0 is first; none for plain services.
  std::optional<int> urgency;
  /// Replaces the caller's event when this host resumes a stream.
  std::string last_event;
};

/// What the head of an endpoint's answer says.
struct engine_answer {
  /// The answer belongs to the request that was sent.
  bool belongs = true;
  /// The endpoint states that it did not run the request.
  bool not_run = false;
  /// The address belongs to another endpoint, or the engine lacks the model.
  bool misdirected = false;
  /// The endpoint that answered, if it says so.
  endpoint_id engine;
  /// How long the endpoint keeps the idle connection.
  std::optional<std::chrono::seconds> keep_alive;
};

/// A caller's question for addresses.
struct address_question {
  std::string host;
  zone_id zone;
};

/// An order as it is sent.
struct engine_order {
  serving::placement_order order;
  host_id holder;
  std::uint64_t fencing_number = 0;
  /// The order is refused if the engine has accepted another number of orders.
  std::int64_t expected_order_count = 0;
};

/// The names and forms of requests, answers and orders on the wire. The
/// product decides; an implementation only translates.
class request_dialect {
 public:
  virtual ~request_dialect() = default;

  virtual caller_request ReadRequest(const http_request& received) const = 0;
  /// The request for the engine: the caller's, without what concerns only one
  /// connection or is this system's to set.
  virtual http_request EngineRequest(const http_request& received,
                                     const engine_call& call) const = 0;
  virtual engine_answer ReadAnswer(const http_response& head,
                                   const request_id& expected) const = 0;
  /// Header fields of the engine's answer for the caller.
  virtual gateway::http_fields CallerFields(
      const http_response& head) const = 0;
  /// An answer of this host's own.
  virtual http_response OwnAnswer(
      int status, const request_id& id,
      std::optional<milliseconds> retry_after) const = 0;

  virtual std::optional<address_question> ReadAddressQuestion(
      const http_request& received) const = 0;
  virtual http_response AddressAnswer(const std::vector<std::string>& addresses,
                                      milliseconds lifetime) const = 0;

  virtual http_request OrderRequest(const engine_order& order) const = 0;
  virtual http_request ReportRequest(const endpoint_id& engine) const = 0;
  virtual result<serving::engine_report> ReadReport(
      const std::string& body) const = 0;
};

}  // namespace bluebell::edge
