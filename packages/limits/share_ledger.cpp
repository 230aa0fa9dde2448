#include "limits/share_ledger.h"

#include <algorithm>

#include "base/digest.h"

namespace bluebell::limits {
namespace {

// A holder reads the record this often to see expired holders and free parts.
constexpr auto kReadInterval = std::chrono::seconds(5);
// The same while its fraction is below its target.
constexpr auto kShortReadInterval = std::chrono::seconds(1);
constexpr auto kStepInterval = std::chrono::seconds(1);
constexpr auto kRetryDelay = std::chrono::milliseconds(200);
// Between reading a record and reclaiming from it. Covers the delay until the
// fleet view of this host shows that the holder renewed its lease.
constexpr auto kReclaimDelay = std::chrono::seconds(2);

// Age at which the list of hosts is read again; below the interval of steps.
constexpr auto kHostsLifetime = std::chrono::milliseconds(100);

const revision kAbsent{store::object_store::kAbsent};

}  // namespace

share_ledger::share_ledger(store::object_store& store,
                           const fleet::fleet_view& fleet, lease_guard& guard,
                           clock& time, event_log& events,
                           parts_listener on_parts, lower_check may_lower)
    : store_(store),
      fleet_(fleet),
      guard_(guard),
      clock_(time),
      events_(events),
      on_parts_(std::move(on_parts)),
      may_lower_(std::move(may_lower)) {}

bool share_ledger::MaySpend(const account_id& account) {
  if (!guard_.Check()) return false;
  const auto found = budgets_.find(account);
  return found != budgets_.end() &&
         found->second.confirmed_span == guard_.span();
}

void share_ledger::Step(const account_id& account) {
  if (!guard_.Check()) return;
  const auto now = clock_.now();
  const auto known = budgets_.find(account);
  if (known != budgets_.end() &&
      (known->second.busy || now < known->second.next_step)) {
    return;
  }
  const bool holder = known != budgets_.end() && HoldsAny(known->second);
  if (!holder && TargetParts(account) == 0) return;
  budget& own = budgets_[account];
  own.next_step = now + kStepInterval;
  if (!own.record || own.unresolved || now >= own.next_read) {
    Read(account, own);
  } else {
    Decide(account, own);
  }
}

void share_ledger::Read(const account_id& account, budget& own) {
  own.busy = true;
  store_.Get(BudgetName(account),
             [this, account, alive = std::weak_ptr<char>(alive_)](
                 const result<store::object>& found) {
               if (!alive.expired()) OnRead(account, found);
             });
}

void share_ledger::OnRead(const account_id& account,
                          const result<store::object>& found) {
  budget& own = budgets_[account];
  own.busy = false;
  if (found) {
    Adopt(account, own, *found);
  } else if (found.error().code == error_code::kNotFound) {
    Adopt(account, own, std::nullopt);
  } else {
    own.next_step = clock_.now() + kRetryDelay;
    return;
  }
  Decide(account, own);
}

// Takes over the record as the platform holds it, and settles a write with an
// unknown outcome.
void share_ledger::Adopt(const account_id& account, budget& own,
                         const std::optional<store::object>& found) {
  const auto parsed = found ? ParseShareRecord(found->value) : share_record{};
  if (!parsed) {
    // Without a readable record no fraction is certain.
    own.record.reset();
    own.next_step = clock_.now() + kReadInterval;
    SetParts(account, own, 0);
    return;
  }
  own.record = *parsed;
  own.version = found ? found->version : kAbsent;
  const bool short_of_target = RecordedParts(own) < TargetParts(account);
  own.next_read =
      clock_.now() + (short_of_target ? kShortReadInterval : kReadInterval);
  const share* mine = own.record->Find(fleet_.self(), fleet_.incarnation());
  if (own.unresolved && mine && mine->stamp == own.unresolved->stamp) {
    const open_write landed = *own.unresolved;
    own.unresolved.reset();
    Confirm(account, own, landed.parts, landed.span);
  } else if (own.unresolved && own.version != own.unresolved->expected) {
    // Another write took the version that the lost one expected, so the lost
    // one can no longer take effect.
    own.unresolved.reset();
  }
  SetParts(account, own, std::min(own.parts, RecordedParts(own)));
}

void share_ledger::Decide(const account_id& account, budget& own) {
  if (own.busy || !own.record || !guard_.Check()) return;
  share_record next = *own.record;
  const int recorded = RecordedParts(own);
  const int target = TargetParts(account);
  Reclaim(own, next);
  const int parts = recorded > target ? target
                                      : recorded + std::min(target - recorded,
                                                            next.FreeParts());
  const bool confirmed = own.confirmed_span == guard_.span() &&
                         own.parts == recorded && !own.unresolved;
  const bool reclaimed = next.shares.size() != own.record->shares.size();
  if (parts == recorded && !reclaimed && (confirmed || recorded == 0)) return;
  SetParts(account, own, std::min(own.parts, parts));
  if (parts < recorded && !may_lower_(account, parts)) {
    own.next_step = clock_.now() + kRetryDelay;
    return;
  }
  share mine{fleet_.self(), fleet_.incarnation(), parts, MakeUniqueId()};
  next.Set(mine);
  Write(account, own, std::move(next), mine);
}

// Removes the shares whose holders were seen expired, with the same stamp, for
// the whole delay.
void share_ledger::Reclaim(budget& own, share_record& next) {
  const auto now = clock_.now();
  std::map<holder, reclaim_candidate> candidates;
  for (const share& each : own.record->shares) {
    const holder id{each.host, each.incarnation};
    const bool self =
        each.host == fleet_.self() && each.incarnation == fleet_.incarnation();
    if (self || !fleet_.MayReclaim(each.host, each.incarnation)) continue;
    const auto known = own.candidates.find(id);
    const bool same =
        known != own.candidates.end() && known->second.stamp == each.stamp;
    const auto since = same ? known->second.since : now;
    candidates[id] = {each.stamp, since};
    if (now - since < kReclaimDelay) continue;
    next.Remove(each.host, each.incarnation);
  }
  own.candidates = std::move(candidates);
}

void share_ledger::Write(const account_id& account, budget& own,
                         share_record next, const share& mine) {
  own.busy = true;
  const open_write sent{mine.stamp, mine.parts, guard_.span(), own.version};
  store_.Put(BudgetName(account), ToJson(next), own.version,
             [this, account, sent, next, alive = std::weak_ptr<char>(alive_)](
                 const store::write_result& outcome) {
               if (!alive.expired()) OnWritten(account, sent, next, outcome);
             });
}

void share_ledger::OnWritten(const account_id& account, const open_write& sent,
                             const share_record& next,
                             const store::write_result& outcome) {
  budget& own = budgets_[account];
  own.busy = false;
  // Hosts that collide on one record try again at different times.
  const auto jitter = std::chrono::milliseconds(
      Hash64(fleet_.self().value(), sent.expected.value()) %
      static_cast<std::uint64_t>(kRetryDelay.count()));
  own.next_step = clock_.now() + jitter;
  if (outcome) {
    LogReclaimed(account, *own.record, next);
    own.record = next;
    own.version = *outcome;
    own.unresolved.reset();
    Confirm(account, own, sent.parts, sent.span);
    return;
  }
  const auto& lost = outcome.error();
  if (lost.cause.code == error_code::kConflict && lost.conflict) {
    Adopt(account, own, lost.conflict->current);
    return;
  }
  own.next_step += kRetryDelay;
  if (lost.cause.code == error_code::kOutcomeUnknown) own.unresolved = sent;
}

void share_ledger::LogReclaimed(const account_id& account,
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

void share_ledger::Confirm(const account_id& account, budget& own, int parts,
                           std::uint64_t span) {
  own.confirmed_span = span;
  SetParts(account, own, parts);
}

void share_ledger::SetParts(const account_id& account, budget& own, int parts) {
  if (own.parts == parts) return;
  own.parts = parts;
  events_.Record(event_id::kShareChanged, {{"account", account.value()},
                                           {"parts", std::to_string(parts)}});
  on_parts_(account, parts);
}

// An equal fraction for each chosen host. A leaving host is not among the
// hosts that callers may use, so its target is 0.
int share_ledger::TargetParts(const account_id& account) {
  ReadHosts();
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

// Ranking all hosts for each account at each step would take a third of a core
// with 340 hosts and 1,000 accounts, so targets are kept while the hosts stay
// the same.
void share_ledger::ReadHosts() {
  const auto now = clock_.now();
  if (hosts_read_ && now - *hosts_read_ < kHostsLifetime) return;
  hosts_read_ = now;
  std::vector<host_id> hosts;
  for (const auto& each : fleet_.EntryHosts(zone_id())) {
    hosts.push_back(each.id);
  }
  std::sort(hosts.begin(), hosts.end());
  if (hosts == hosts_) return;
  hosts_ = std::move(hosts);
  targets_.clear();
}

// Whether the record may name a share of this incarnation.
bool share_ledger::HoldsAny(const budget& own) const {
  return !own.record || own.unresolved || RecordedParts(own) > 0;
}

int share_ledger::RecordedParts(const budget& own) const {
  const share* mine = own.record->Find(fleet_.self(), fleet_.incarnation());
  return mine ? mine->parts : 0;
}

}  // namespace bluebell::limits
