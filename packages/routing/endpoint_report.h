#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::routing {

/// An endpoint's own report of its load, from `GET /v1/load`.
struct endpoint_report {
  /// Changes whenever the endpoint restarts.
  std::string incarnation;
  bool leaving = false;
  int running = 0;
  int queued = 0;
  double tokens_per_second = 0;
  std::chrono::milliseconds sampled_ago{0};
  byte_count memory_total;
  byte_count memory_used;
  /// Models and adapters that serve requests now.
  std::set<std::string> resident;
  /// Models and adapters that are being loaded.
  std::set<std::string> loading;
};

/// Parses the JSON body of a load report; the error names the bad field.
result<endpoint_report> ParseReport(const nlohmann::json& body);

}  // namespace bluebell::routing
