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

/// The platform's record of a non-repeatable request. An attempt id occurs in
/// the records of one host only, so attempt and state identify a write.
struct record {
  std::string digest;
  host_id host;
  incarnation_id incarnation;
  std::string attempt;
  record_state state = record_state::kPending;
  /// Set only in state `kCompleted`; empty there if no answer came.
  std::optional<recorded_answer> answer;
  /// Calendar time of the write in milliseconds since the epoch.
  std::int64_t stored_at_ms = 0;
};

/// Bodies travel in base64, because they need not be valid UTF-8.
nlohmann::json ToJson(const record& value);
/// Fails with `kInvalidArgument` if a field is absent or of the wrong type.
result<record> ParseRecord(const nlohmann::json& value);

/// Returns `idempotency/<account>/<SHA-256 of key>`.
std::string RecordName(const account_id& account, const std::string& key);

/// Peer message `record_query`: did this attempt of yours reach an endpoint?
struct record_query {
  static constexpr const char* kType = "record_query";
  incarnation_id incarnation;
  std::string attempt;
};

nlohmann::json ToJson(const record_query& value);
result<record_query> ParseRecordQuery(const nlohmann::json& value);

/// Answer to `record_query`.
struct record_query_answer {
  /// The attempt was not and will never be dispatched. `false` stands for
  /// "dispatched" and for "not known".
  bool never_dispatched = false;
};

nlohmann::json ToJson(const record_query_answer& value);
result<record_query_answer> ParseRecordQueryAnswer(const nlohmann::json& value);

}  // namespace bluebell::idempotency
