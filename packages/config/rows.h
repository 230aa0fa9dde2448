#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::config {

/// Weight, rate limit and priority of a client account.
struct account_row {
  account_id id;
  /// Weight in fair queueing relative to other accounts, at least 1.
  std::int64_t weight = 1;
  /// Tokens per second across the whole fleet.
  token_count rate;
  /// Burst size in tokens across the whole fleet.
  token_count burst;
  /// 0 (highest) to 9 (lowest).
  int priority = 5;
};

/// An API key. Only its SHA-256 digest is stored, which is also the row's name.
struct key_row {
  std::string digest;
  account_id account;
  bool withdrawn = false;
};

struct model_row {
  model_id id;
  byte_count memory;
  int min_copies = 1;
};

struct adapter_row {
  adapter_id id;
  model_id model;
  byte_count memory;
};

enum class endpoint_kind { kEngine, kService };

struct endpoint_row {
  endpoint_id id;
  /// `IPv4:port`.
  std::string address;
  zone_id zone;
  endpoint_kind kind = endpoint_kind::kEngine;
  /// Group of plain services that routes refer to.
  std::string group;
  byte_count memory;
  /// Whether the engine rejects orders with an outdated fencing number.
  bool checks_fencing = false;
  /// Number of concurrent requests that the endpoint runs without slowing down.
  int max_concurrency = 1;
};

struct route_row {
  std::string id;
  /// Path prefix, starting with '/'.
  std::string prefix;
  /// Group of plain services that serve the route.
  std::string group;
  /// Whether the route needs no key.
  bool open = false;
  /// Whether a request may be sent to an endpoint more than once.
  bool repeatable = true;
};

/// Conversion between rows and platform object values. `ParseRow` validates
/// ranges and required fields and fails with `kInvalidArgument`; the detail
/// names the field and the allowed values.
template <class Row>
result<Row> ParseRow(const nlohmann::json& value);

template <>
result<account_row> ParseRow(const nlohmann::json& value);
template <>
result<key_row> ParseRow(const nlohmann::json& value);
template <>
result<model_row> ParseRow(const nlohmann::json& value);
template <>
result<adapter_row> ParseRow(const nlohmann::json& value);
template <>
result<endpoint_row> ParseRow(const nlohmann::json& value);
template <>
result<route_row> ParseRow(const nlohmann::json& value);

nlohmann::json ToJson(const account_row& row);
nlohmann::json ToJson(const key_row& row);
nlohmann::json ToJson(const model_row& row);
nlohmann::json ToJson(const adapter_row& row);
nlohmann::json ToJson(const endpoint_row& row);
nlohmann::json ToJson(const route_row& row);

}  // namespace bluebell::config
