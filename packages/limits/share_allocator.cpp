#include "limits/share_allocator.h"

#include <algorithm>

#include "base/digest.h"

namespace bluebell::limits {
namespace {

// Interval at which a holder reads the record to find expired holders and free
// parts.
constexpr auto kReadInterval = std::chrono::seconds(5);
// The same while the local share is below its target.
constexpr auto kReadIntervalBelowTarget = std::chrono::seconds(1);
constexpr auto kReconcileInterval = std::chrono::seconds(1);
constexpr auto kRetryDelay = std::chrono::milliseconds(200);
// Time for which a holder must be seen as expired before its share is
// reclaimed. Covers the delay until this host's fleet view shows a renewed
// lease.
constexpr auto kReclaimDelay = std::chrono::seconds(2);

// Maximum age of the cached host list; below the interval at which `Reconcile`
// is called.
constexpr auto kHostListMaxAge = std::chrono::milliseconds(100);

const revision kAbsent{store::object_store::kAbsent};

}  // namespace

share_allocator::share_allocator(store::object_store& store,
                                 const fleet::fleet_view& fleet,
                                 lease_monitor& monitor, clock& time,
                                 event_log& events, parts_listener on_parts,
                                 lower_predicate may_lower)
    : store_(store),
      fleet_(fleet),
      lease_monitor_(monitor),
      clock_(time),
      events_(events),
      on_parts_(std::move(on_parts)),
      may_lower_(std::move(may_lower)) {}

bool share_allocator::MaySpend(const account_id& account) {
  if (!lease_monitor_.Check()) return false;
  const auto found = accounts_.find(account);
  return found != accounts_.end() &&
         found->second.confirmed_epoch == lease_monitor_.epoch();
}

void share_allocator::Reconcile(const account_id& account) {
  if (!lease_monitor_.Check()) return;
  const auto now = clock_.now();
  const auto known = accounts_.find(account);
  if (known != accounts_.end() &&
      (known->second.call_in_flight || now < known->second.next_reconcile)) {
    return;
  }
  const bool holds_share =
      known != accounts_.end() && MayHoldShare(known->second);
  if (!holds_share && TargetParts(account) == 0) return;
  account_state& state = accounts_[account];
  state.next_reconcile = now + kReconcileInterval;
  if (!state.record || state.unresolved_write || now >= state.next_read) {
    Read(account, state);
  } else {
    UpdateRecord(account, state);
  }
}

void share_allocator::Read(const account_id& account, account_state& state) {
  state.call_in_flight = true;
  store_.Get(BudgetName(account),
             [this, account, alive = std::weak_ptr<char>(alive_)](
                 const result<store::object>& found) {
               if (!alive.expired()) OnRead(account, found);
             });
}

void share_allocator::OnRead(const account_id& account,
                             const result<store::object>& found) {
  account_state& state = accounts_[account];
  state.call_in_flight = false;
  if (found) {
    ApplyRecord(account, state, *found);
  } else if (found.error().code == error_code::kNotFound) {
    ApplyRecord(account, state, std::nullopt);
  } else {
    state.next_reconcile = clock_.now() + kRetryDelay;
    return;
  }
  UpdateRecord(account, state);
}

// Updates the cached record from the store and resolves a write with an unknown
// outcome.
void share_allocator::ApplyRecord(const account_id& account,
                                  account_state& state,
                                  const std::optional<store::object>& found) {
  const auto parsed = found ? ParseShareRecord(found->value) : share_record{};
  if (!parsed) {
    // If the record cannot be parsed, the local share is unknown.
    state.record.reset();
    state.next_reconcile = clock_.now() + kReadInterval;
    SetParts(account, state, 0);
    return;
  }
  state.record = *parsed;
  state.version = found ? found->version : kAbsent;
  const bool below_target = RecordedParts(state) < TargetParts(account);
  state.next_read =
      clock_.now() + (below_target ? kReadIntervalBelowTarget : kReadInterval);
  const share* own_share =
      state.record->Find(fleet_.self(), fleet_.incarnation());
  if (state.unresolved_write && own_share &&
      own_share->stamp == state.unresolved_write->stamp) {
    const pending_write completed = *state.unresolved_write;
    state.unresolved_write.reset();
    Confirm(account, state, completed.parts, completed.epoch);
  } else if (state.unresolved_write &&
             state.version != state.unresolved_write->expected) {
    // Another write replaced the version that the unresolved one expects, so
    // the unresolved one can no longer succeed.
    state.unresolved_write.reset();
  }
  SetParts(account, state, std::min(state.parts, RecordedParts(state)));
}

void share_allocator::UpdateRecord(const account_id& account,
                                   account_state& state) {
  if (state.call_in_flight || !state.record || !lease_monitor_.Check()) return;
  share_record next = *state.record;
  const int recorded = RecordedParts(state);
  const int target = TargetParts(account);
  Reclaim(state, next);
  const int parts = recorded > target ? target
                                      : recorded + std::min(target - recorded,
                                                            next.FreeParts());
  const bool confirmed = state.confirmed_epoch == lease_monitor_.epoch() &&
                         state.parts == recorded && !state.unresolved_write;
  const bool reclaimed = next.shares.size() != state.record->shares.size();
  if (parts == recorded && !reclaimed && (confirmed || recorded == 0)) return;
  SetParts(account, state, std::min(state.parts, parts));
  if (parts < recorded && !may_lower_(account, parts)) {
    state.next_reconcile = clock_.now() + kRetryDelay;
    return;
  }
  share own_share{fleet_.self(), fleet_.incarnation(), parts, MakeUniqueId()};
  next.Set(own_share);
  Write(account, state, std::move(next), own_share);
}

// Removes shares whose holders were seen as expired with an unchanged stamp for
// `kReclaimDelay`.
void share_allocator::Reclaim(account_state& state, share_record& next) {
  const auto now = clock_.now();
  std::map<holder_key, reclaim_candidate> candidates;
  for (const share& each : state.record->shares) {
    const holder_key id{each.host, each.incarnation};
    const bool self =
        each.host == fleet_.self() && each.incarnation == fleet_.incarnation();
    if (self || !fleet_.MayReclaim(each.host, each.incarnation)) continue;
    const auto known = state.candidates.find(id);
    const bool same =
        known != state.candidates.end() && known->second.stamp == each.stamp;
    const auto since = same ? known->second.since : now;
    candidates[id] = {each.stamp, since};
    if (now - since < kReclaimDelay) continue;
    next.Remove(each.host, each.incarnation);
  }
  state.candidates = std::move(candidates);
}

void share_allocator::Write(const account_id& account, account_state& state,
                            share_record next, const share& own_share) {
  state.call_in_flight = true;
  const pending_write sent{own_share.stamp, own_share.parts,
                           lease_monitor_.epoch(), state.version};
  store_.Put(BudgetName(account), ToJson(next), state.version,
             [this, account, sent, next, alive = std::weak_ptr<char>(alive_)](
                 const store::write_result& outcome) {
               if (!alive.expired()) OnWritten(account, sent, next, outcome);
             });
}

void share_allocator::OnWritten(const account_id& account,
                                const pending_write& sent,
                                const share_record& next,
                                const store::write_result& outcome) {
  account_state& state = accounts_[account];
  state.call_in_flight = false;
  // Host-specific jitter prevents repeated conflicts on the same record.
  const auto jitter = std::chrono::milliseconds(
      Hash64(fleet_.self().value(), sent.expected.value()) %
      static_cast<std::uint64_t>(kRetryDelay.count()));
  state.next_reconcile = clock_.now() + jitter;
  if (outcome) {
    LogReclaimed(account, *state.record, next);
    state.record = next;
    state.version = *outcome;
    state.unresolved_write.reset();
    Confirm(account, state, sent.parts, sent.epoch);
    return;
  }
  const auto& failure = outcome.error();
  if (failure.cause.code == error_code::kConflict && failure.conflict) {
    ApplyRecord(account, state, failure.conflict->current);
    return;
  }
  state.next_reconcile += kRetryDelay;
  if (failure.cause.code == error_code::kOutcomeUnknown)
    state.unresolved_write = sent;
}

void share_allocator::LogReclaimed(const account_id& account,
                                   const share_record& before,
                                   const share_record& after) {
  for (const share& each : before.shares) {
    if (each.host == fleet_.self() || after.Find(each.host, each.incarnation)) {
      continue;
    }
    events_.Record(event_id::kShareReclaimed,
                   {{"account", account.value()},
                    {"holder", each.host.value()},
                    {"parts", std::to_string(each.parts)}});
  }
}

void share_allocator::Confirm(const account_id& account, account_state& state,
                              int parts, std::uint64_t epoch) {
  state.confirmed_epoch = epoch;
  SetParts(account, state, parts);
}

void share_allocator::SetParts(const account_id& account, account_state& state,
                               int parts) {
  if (state.parts == parts) return;
  state.parts = parts;
  events_.Record(event_id::kShareChanged, {{"account", account.value()},
                                           {"parts", std::to_string(parts)}});
  on_parts_(account, parts);
}

// Equal shares for the chosen hosts. A leaving host is not an entry host, so
// its target is 0.
int share_allocator::TargetParts(const account_id& account) {
  RefreshHosts();
  const auto known = targets_.find(account);
  if (known != targets_.end()) return known->second;
  const auto holders = ChooseHolders(account, hosts_);
  const bool chosen =
      std::find(holders.begin(), holders.end(), fleet_.self()) != holders.end();
  const int parts =
      chosen ? kWholeBudget / static_cast<int>(holders.size()) : 0;
  targets_[account] = parts;
  return parts;
}

// Targets are cached until the host list changes: ranking all hosts for each
// account on every call would take a third of a core with 340 hosts and 1,000
// accounts.
void share_allocator::RefreshHosts() {
  const auto now = clock_.now();
  if (hosts_read_at_ && now - *hosts_read_at_ < kHostListMaxAge) return;
  hosts_read_at_ = now;
  std::vector<host_id> hosts;
  for (const auto& each : fleet_.EntryHosts(zone_id())) {
    hosts.push_back(each.id);
  }
  std::sort(hosts.begin(), hosts.end());
  if (hosts == hosts_) return;
  hosts_ = std::move(hosts);
  targets_.clear();
}

// Returns whether the record may contain a share of this incarnation.
bool share_allocator::MayHoldShare(const account_state& state) const {
  return !state.record || state.unresolved_write || RecordedParts(state) > 0;
}

int share_allocator::RecordedParts(const account_state& state) const {
  const share* own_share =
      state.record->Find(fleet_.self(), fleet_.incarnation());
  return own_share ? own_share->parts : 0;
}

}  // namespace bluebell::limits
