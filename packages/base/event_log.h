#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/events.h"
#include "base/hybrid_clock.h"
#include "base/ids.h"

namespace bluebell {

/// Name and value of one attribute of an event. Values never hold keys.
using event_field = std::pair<std::string, std::string>;

/// One entry of the time line.
struct event {
  std::uint64_t sequence = 0;
  hybrid_time time;
  event_id id{};
  std::vector<event_field> fields;
};

/// Records numbered events to the structured log and to a bounded ring in
/// memory, from which the admin listener serves the time line.
class event_log {
 public:
  /// Number of entries kept; older ones are dropped first.
  static constexpr std::size_t kCapacity = 4096;

  event_log(const clock& source, host_id host);

  void Record(event_id id, std::vector<event_field> fields = {});

  /// Entries with a sequence number above `after`, oldest first.
  std::vector<event> After(std::uint64_t after) const;

  hybrid_clock& time() { return time_; }
  const host_id& host() const { return host_; }

 private:
  host_id host_;
  hybrid_clock time_;
  std::uint64_t next_sequence_ = 1;
  std::deque<event> ring_;
};

}  // namespace bluebell
