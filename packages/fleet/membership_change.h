#pragma once

#include <functional>
#include <optional>

#include "base/ids.h"
#include "fleet/host_record.h"
#include "fleet/record_tracker.h"

namespace bluebell::fleet {

/// Input for a decision on the next member list.
struct membership_state {
  const member_list& list;
  const record_tracker& records;
  host_id self;
  /// False once this host has released its lease; it then removes itself.
  bool participates = true;
  /// Whether the lease in a host's record has expired or was released.
  std::function<bool(const host_id&)> lease_ended;
  /// Whether a host is currently reachable.
  std::function<bool(const host_id&)> is_live;
};

/// Returns the member list that this host should write next, if any.
///
/// The list changes by one host at a time, and only when the record of every
/// host names the current list or its lease has ended. Lists in use therefore
/// differ by at most one host, and their majorities overlap.
std::optional<member_list> ProposeMemberList(const membership_state& state);

}  // namespace bluebell::fleet
