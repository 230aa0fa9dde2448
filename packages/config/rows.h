#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::config {

/// What a client account bought.
struct account_row {
  account_id id;
  /// Share of a contended queue relative to other accounts, at least 1.
  std::int64_t weight = 1;
  /// Tokens per second over the whole fleet.
  token_count rate;
  /// Tokens that may be used at once over the whole fleet.
  token_count burst;
  /// 0 is served first, 9 last.
  int priority = 5;
};

/// A granted key. Only the SHA-256 digest is stored, as the row's name.
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
  /// Name by which a route addresses a set of plain services.
  std::string group;
  byte_count memory;
  /// Whether the engine refuses orders with an old fencing number.
  bool checks_fencing = false;
  /// Requests that the endpoint runs at once without slowing down.
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

/// Conversion from and to the value of a platform object. `ParseRow` checks
/// ranges and required fields; the error names the field and what is allowed.
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
