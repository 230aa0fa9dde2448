#include "limits/fleet_admission.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "limits/request_check.h"

namespace bluebell::limits {
namespace {

// Well below `lease_guard::kLongestGap`, so that an idle host notices no gap.
constexpr auto kTickInterval = std::chrono::milliseconds(200);
// For this long after a refusal, requests that the fleet cannot have tokens for
// are refused without asking the holders again. Bounds the messages that an
// account causes which sends several times its rate.
constexpr auto kShortagePeriod = std::chrono::milliseconds(20);

const std::string kAccountPrefix = "accounts/";

}  // namespace

fleet_admission::fleet_admission(config::snapshot& rows,
                                 store::object_store& store,
                                 peer::peer_network& peers,
                                 const fleet::fleet_view& fleet, clock& time,
                                 event_log& events)
    : rows_(rows),
      clock_(time),
      guard_(fleet, time, events),
      ledger_(
          store, fleet, guard_, time, events,
          [this](const account_id& account, int parts) {
            Find(account).parts = parts;
            Configure(account);
          },
          [this](const account_id& account, int) {
            const token_bucket& bucket = Find(account).bucket;
            return bucket.set_aside() <= bucket.burst();
          }),
      lender_(peers, time,
              [this](const account_id& account, bool spend) -> token_bucket* {
                if (spend && !ledger_.MaySpend(account)) return nullptr;
                const auto found = budgets_.find(account);
                return found == budgets_.end() ? nullptr
                                               : &found->second->bucket;
              }),
      borrower_(peers, fleet, time) {
  rows_.Subscribe([this, alive = std::weak_ptr<char>(alive_)](
                      const config::stored_row& changed) {
    if (alive.expired()) return;
    if (changed.name.rfind(kAccountPrefix, 0) != 0) return;
    Configure(account_id(changed.name.substr(kAccountPrefix.size())));
  });
  Tick();
}

void fleet_admission::Tick() {
  guard_.Check();
  lender_.Expire();
  for (const auto& [account, row] : rows_.accounts()) ledger_.Step(account);
  tick_ = clock_.CallAfter(kTickInterval, [this] { Tick(); });
}

void fleet_admission::Reserve(const account_id& account, token_count tokens,
                              std::function<void(reserve_result)> done) {
  const auto checked = CheckRequest(rows_, account, tokens);
  if (!checked) {
    done(tl::make_unexpected(checked.error()));
    return;
  }
  const std::int64_t wanted = std::max<std::int64_t>(0, tokens.value());
  budget& own = Find(account);
  const double available =
      ledger_.MaySpend(account) ? own.bucket.Available(clock_.now()) : 0;
  if (available >= static_cast<double>(wanted)) {
    done(Admit(account, wanted, wanted, {}));
  } else if (IsShort(own, **checked, wanted)) {
    done(tl::make_unexpected(admission_refusal::kRateExceeded));
  } else {
    Borrow(account, wanted, available, std::move(done));
  }
}

bool fleet_admission::IsShort(const budget& own, const config::account_row& row,
                              std::int64_t tokens) const {
  const auto age = clock_.now() - own.shortage_at;
  if (age >= kShortagePeriod) return false;
  const double refill = static_cast<double>(row.rate.value()) *
                        std::chrono::duration<double>(age).count();
  return static_cast<double>(tokens) > own.shortage_tokens + refill;
}

void fleet_admission::Borrow(const account_id& account, std::int64_t tokens,
                             double available,
                             std::function<void(reserve_result)> done) {
  const auto own =
      static_cast<std::int64_t>(std::floor(std::max(0.0, available)));
  Find(account).bucket.SetAside(static_cast<double>(own));
  borrower_.Collect(
      account, tokens - own,
      [this, request = waiting{account, tokens, own, std::move(done)}](
          loan_collection found) { OnLoans(request, std::move(found)); });
}

// Admits the request if the lease, where own tokens are needed, and the loans
// are still valid after the wait.
void fleet_admission::OnLoans(const waiting& request, loan_collection found) {
  budget& own = Find(request.account);
  own.bucket.Release(static_cast<double>(request.own));
  const auto now = clock_.now();
  const bool may_spend = ledger_.MaySpend(request.account);
  const std::int64_t usable_own = may_spend ? request.own : 0;
  auto& loans = found.loans;
  loans.erase(
      std::remove_if(loans.begin(), loans.end(),
                     [&](const loan& each) { return now >= each.expires; }),
      loans.end());
  std::int64_t total = usable_own;
  for (const loan& each : loans) total += each.tokens;
  if (total >= request.tokens) {
    request.done(
        Admit(request.account, request.tokens, usable_own, std::move(loans)));
    return;
  }
  GiveBack(loans);
  if (found.answered == found.asked) {
    own.shortage_tokens = static_cast<double>(total) + 1;
    own.shortage_at = now;
  }
  const bool no_budget = !may_spend && found.answered == 0;
  request.done(tl::make_unexpected(no_budget
                                       ? admission_refusal::kNoBudgetHere
                                       : admission_refusal::kRateExceeded));
}

reservation fleet_admission::Admit(const account_id& account,
                                   std::int64_t tokens, std::int64_t own,
                                   std::vector<loan> loans) {
  const std::uint64_t id = next_id_++;
  open_reservation& made = open_[id];
  made.account = account;
  made.own = std::min(own, tokens);
  if (made.own > 0) {
    made.charge = Find(account).bucket.Charge(clock_.now(),
                                              static_cast<double>(made.own));
  }
  std::int64_t missing = tokens - made.own;
  for (loan& each : loans) {
    const std::int64_t used = std::min(missing, each.tokens);
    missing -= used;
    borrower_.Settle(each, used);
    if (used > 0) made.loans.push_back({std::move(each), used});
  }
  return reservation{id, account, token_count(tokens)};
}

void fleet_admission::GiveBack(const std::vector<loan>& loans) {
  for (const loan& each : loans) borrower_.Settle(each, 0);
}

void fleet_admission::Settle(const reservation& ended, token_count used) {
  const auto node = open_.extract(ended.id);
  if (node.empty()) return;
  const open_reservation& open = node.mapped();
  const std::int64_t kept =
      std::clamp<std::int64_t>(used.value(), 0, ended.tokens.value());
  std::int64_t unused = ended.tokens.value() - kept;
  const std::int64_t own_unused = std::min(unused, open.own);
  if (open.own > 0) {
    Find(open.account)
        .bucket.Refund(open.charge, static_cast<double>(own_unused));
  }
  unused -= own_unused;
  for (const used_loan& each : open.loans) {
    const std::int64_t back = std::min(unused, each.used);
    if (back > 0) borrower_.Settle(each.source, each.used - back);
    unused -= back;
  }
}

int fleet_admission::UsableParts(const account_id& account) {
  return ledger_.MaySpend(account) ? Find(account).parts : 0;
}

fleet_admission::budget& fleet_admission::Find(const account_id& account) {
  auto& found = budgets_[account];
  if (!found) found = std::make_unique<budget>(clock_.now());
  return *found;
}

// Applies the account's row to this host's fraction. A removed row leaves an
// empty bucket.
void fleet_admission::Configure(const account_id& account) {
  budget& own = Find(account);
  const config::account_row* row = rows_.FindAccount(account);
  const double fraction =
      row ? static_cast<double>(own.parts) / kWholeBudget : 0;
  const double rate = row ? static_cast<double>(row->rate.value()) : 0;
  const double burst = row ? static_cast<double>(row->burst.value()) : 0;
  own.bucket.Configure(clock_.now(), rate * fraction, burst * fraction);
}

}  // namespace bluebell::limits
