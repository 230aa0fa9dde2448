#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "idempotency/deduplicator.h"

namespace bluebell::idempotency {

enum class record_state { kPending, kNotRun, kCompleted };

/// The platform's record of a non-idempotent request. An attempt id occurs only
/// in records written by one host, so attempt and state identify a write.
struct record {
  std::string digest;
  host_id host;
  incarnation_id incarnation;
  std::string attempt;
  record_state state = record_state::kPending;
  /// Set only in state `kCompleted`; empty there if no response arrived.
  std::optional<recorded_response> response;
  /// Wall clock time of the write in milliseconds since the Unix epoch.
  std::int64_t stored_at_ms = 0;
};

/// Bodies are base64-encoded, because they need not be valid UTF-8.
nlohmann::json ToJson(const record& value);
/// Fails with `kInvalidArgument` if a field is missing or of the wrong type.
result<record> ParseRecord(const nlohmann::json& value);

/// Returns `idempotency/<account>/<SHA-256 of key>`.
std::string RecordName(const account_id& account, const std::string& key);

/// Peer message `record_query`: asks a host whether one of its attempts was
/// dispatched and whether its outcome is still to be stored.
struct record_query {
  static constexpr const char* kType = "record_query";
  incarnation_id incarnation;
  std::string attempt;
  /// Name of the record; empty in queries of hosts that do not send it.
  std::string record_name;
};

nlohmann::json ToJson(const record_query& value);
result<record_query> ParseRecordQuery(const nlohmann::json& value);

/// Response to `record_query`.
struct record_query_response {
  /// The attempt was not and will never be dispatched. `false` means
  /// "dispatched" or "unknown".
  bool never_dispatched = false;
  /// The attempt is running, or its outcome is known but not stored yet.
  /// `false` in responses of hosts that do not send it.
  bool outcome_pending = false;
};

nlohmann::json ToJson(const record_query_response& value);
result<record_query_response> ParseRecordQueryResponse(
    const nlohmann::json& value);

}  // namespace bluebell::idempotency
