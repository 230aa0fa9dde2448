#pragma once

#include <map>
#include <string>

#include "bench/load_plan.h"
#include "bench/load_result.h"

namespace bluebell::bench {

/// Sends the plan's requests, waits at most `drain_s` for the last answers,
/// and returns the figures by account, split into phases of `phase_s` seconds
/// by the time of arrival.
std::vector<std::map<std::string, account_result>> RunLoad(
    const load_plan& plan, double phase_s, double drain_s);

}  // namespace bluebell::bench
