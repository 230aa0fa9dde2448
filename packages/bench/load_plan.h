#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace bluebell::bench {

/// One client account of a load run.
struct account_plan {
  std::string account;
  std::string key;
  /// Mean arrivals a second outside and inside bursts.
  double arrivals_per_second = 1;
  double burst_arrivals_per_second = 0;
  /// Length of a cycle and of the burst at its beginning, in seconds.
  double cycle_s = 0;
  double burst_s = 0;
  /// The account's bought rate and burst, for the reference bucket.
  double rate = 0;
  double burst = 0;
  /// Targets with weights; demand moves to the second half of the list after
  /// half of the run if `shifts` is set.
  std::vector<std::string> targets;
  bool shifts = false;
  int prompt_bytes = 200;
  int min_tokens = 8;
  int max_tokens = 64;
};

/// What a load run sends.
struct load_plan {
  std::vector<std::string> hosts;
  std::vector<account_plan> accounts;
  double duration_s = 10;
  std::uint64_t seed = 1;
};

/// One request of the plan. Arrivals do not wait for answers (open loop).
struct planned_request {
  double at_s = 0;
  std::size_t account = 0;
  std::string target;
  int max_tokens = 0;
  std::size_t host = 0;
  std::uint64_t prompt_seed = 0;
};

/// Reads a plan from JSON; the error names the bad field.
result<load_plan> ParsePlan(const nlohmann::json& text);

/// All requests of the plan in order of their time, the same for equal seeds.
std::vector<planned_request> MakeRequests(const load_plan& plan);

}  // namespace bluebell::bench
