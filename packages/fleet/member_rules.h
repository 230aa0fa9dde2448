#pragma once

#include <functional>
#include <optional>

#include "base/ids.h"
#include "fleet/host_record.h"
#include "fleet/record_tracker.h"

namespace bluebell::fleet {

/// What a host must know to change the member list.
struct member_situation {
  const member_list& list;
  const record_tracker& records;
  host_id self;
  /// Whether this host takes part in the fleet; a host that gave up its lease
  /// removes itself.
  bool stays = true;
  /// Whether the lease in the record of a host has expired or was given up.
  std::function<bool(const host_id&)> ended;
  /// Whether a host is heard at present.
  std::function<bool(const host_id&)> live;
};

/// Returns the list that this host should write next, or nothing.
///
/// The list changes by one host at a time, and only when the record of every
/// host names the present list or its lease has ended. Lists in use therefore
/// differ by at most one host, and their majorities overlap.
std::optional<member_list> ProposeMembers(const member_situation& now);

}  // namespace bluebell::fleet
