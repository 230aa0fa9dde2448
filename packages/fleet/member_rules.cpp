#include "fleet/member_rules.h"

#include <algorithm>
#include <utility>

namespace bluebell::fleet {
namespace {

// Whether no lease can be held with an older list than the present one.
bool OlderListsAreOutOfUse(const member_situation& now) {
  for (const auto& [host, entry] : now.records.entries()) {
    if (host == now.self || now.ended(host)) continue;
    if (!entry.record || entry.record->list_version != now.list.version) {
      return false;
    }
  }
  return std::all_of(now.list.members.begin(), now.list.members.end(),
                     [&now](const host_id& member) {
                       return member == now.self || now.records.Find(member) ||
                              now.ended(member);
                     });
}

// One host proposes removals, so that writes rarely conflict.
bool IsLowestLiveMember(const member_situation& now) {
  return std::none_of(now.list.members.begin(), now.list.members.end(),
                      [&now](const host_id& member) {
                        return member < now.self && now.live(member) &&
                               !now.ended(member);
                      });
}

std::optional<host_id> ChooseRemoval(const member_situation& now) {
  if (!now.stays) return now.self;
  if (!IsLowestLiveMember(now)) return std::nullopt;
  for (const auto& member : now.list.members) {
    if (member != now.self && now.ended(member)) return member;
  }
  return std::nullopt;
}

}  // namespace

std::optional<member_list> ProposeMembers(const member_situation& now) {
  if (!now.records.updated()) return std::nullopt;
  const bool is_member = now.list.Contains(now.self);
  member_list next = now.list;
  next.previous = now.list.members;
  if (!is_member) {
    if (!now.stays) return std::nullopt;
    next.members.push_back(now.self);
    std::sort(next.members.begin(), next.members.end());
  } else {
    const auto leaver = ChooseRemoval(now);
    if (!leaver) return std::nullopt;
    next.members.erase(
        std::find(next.members.begin(), next.members.end(), *leaver));
  }
  if (!OlderListsAreOutOfUse(now)) return std::nullopt;
  return next;
}

}  // namespace bluebell::fleet
