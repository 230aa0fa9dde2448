#include "fleet/membership_change.h"

#include <algorithm>
#include <utility>

namespace bluebell::fleet {
namespace {

// Whether no lease can be held by a host that uses an older list.
bool NoLeaseUsesOlderList(const membership_state& state) {
  for (const auto& [host, entry] : state.records.entries()) {
    if (host == state.self || state.lease_ended(host)) continue;
    if (!entry.record || entry.record->list_version != state.list.version) {
      return false;
    }
  }
  return std::all_of(state.list.members.begin(), state.list.members.end(),
                     [&state](const host_id& member) {
                       return member == state.self ||
                              state.records.Find(member) ||
                              state.lease_ended(member);
                     });
}

// Only one host proposes removals, so that conditional writes rarely conflict.
bool IsLowestLiveMember(const membership_state& state) {
  return std::none_of(state.list.members.begin(), state.list.members.end(),
                      [&state](const host_id& member) {
                        return member < state.self && state.is_live(member) &&
                               !state.lease_ended(member);
                      });
}

std::optional<host_id> ChooseRemoval(const membership_state& state) {
  if (!state.participates) return state.self;
  if (!IsLowestLiveMember(state)) return std::nullopt;
  for (const auto& member : state.list.members) {
    if (member != state.self && state.lease_ended(member)) return member;
  }
  return std::nullopt;
}

}  // namespace

std::optional<member_list> ProposeMemberList(const membership_state& state) {
  if (!state.records.last_update_sent()) return std::nullopt;
  const bool is_member = state.list.Contains(state.self);
  member_list next = state.list;
  next.previous = state.list.members;
  if (!is_member) {
    if (!state.participates) return std::nullopt;
    next.members.push_back(state.self);
    std::sort(next.members.begin(), next.members.end());
  } else {
    const auto removed = ChooseRemoval(state);
    if (!removed) return std::nullopt;
    next.members.erase(
        std::find(next.members.begin(), next.members.end(), *removed));
  }
  if (!NoLeaseUsesOlderList(state)) return std::nullopt;
  return next;
}

}  // namespace bluebell::fleet
