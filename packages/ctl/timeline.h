#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/session.h"

namespace bluebell::ctl {

/// Merges the timeline answers of several hosts into one list, ordered by
/// hybrid time; each event gets the field `host`.
nlohmann::json MergeTimelines(const std::vector<nlohmann::json>& answers);

/// Turns a merged timeline into the Chrome trace-event format, with one process
/// per host.
nlohmann::json ToTraceEvents(const nlohmann::json& events);

/// Prints the events of all given addresses, or writes them to `trace_file` if
/// that is not empty.
exit_code ShowTimeline(session& current, const std::string& trace_file);

}  // namespace bluebell::ctl
