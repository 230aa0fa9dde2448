#include "limits/fleet_admission.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "limits/request_check.h"

namespace bluebell::limits {
namespace {

// Well below `lease_monitor::kMaxCheckInterval`, so that an idle host does not
// report a lapse.
constexpr auto kTickInterval = std::chrono::milliseconds(200);
// Time after a refusal during which requests that need more tokens than the
// fleet can have are refused without another query to the holders. Bounds the
// message rate of an account that sends several times its rate.
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
      lease_monitor_(fleet, time, events),
      shares_(
          store, fleet, lease_monitor_, time, events,
          [this](const account_id& account, int parts) {
            FindOrCreateBudget(account).parts = parts;
            Configure(account);
          },
          [this](const account_id& account, int) {
            const token_bucket& bucket = FindOrCreateBudget(account).bucket;
            return bucket.set_aside() <= bucket.burst();
          }),
      lender_(peers, time,
              [this](const account_id& account, bool spend) -> token_bucket* {
                if (spend && !shares_.MaySpend(account)) return nullptr;
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
  lease_monitor_.Check();
  lender_.Expire();
  for (const auto& [account, row] : rows_.accounts())
    shares_.Reconcile(account);
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
  budget& local = FindOrCreateBudget(account);
  const double available =
      shares_.MaySpend(account) ? local.bucket.Available(clock_.now()) : 0;
  if (available >= static_cast<double>(wanted)) {
    done(Admit(account, wanted, wanted, {}));
  } else if (ExceedsRecentShortage(local, **checked, wanted)) {
    done(tl::make_unexpected(admission_refusal::kRateExceeded));
  } else {
    Borrow(account, wanted, available, std::move(done));
  }
}

bool fleet_admission::ExceedsRecentShortage(const budget& local,
                                            const config::account_row& row,
                                            std::int64_t tokens) const {
  const auto age = clock_.now() - local.shortage_at;
  if (age >= kShortagePeriod) return false;
  const double refill = static_cast<double>(row.rate.value()) *
                        std::chrono::duration<double>(age).count();
  return static_cast<double>(tokens) > local.shortage_tokens + refill;
}

void fleet_admission::Borrow(const account_id& account, std::int64_t tokens,
                             double available,
                             std::function<void(reserve_result)> done) {
  const auto local_tokens =
      static_cast<std::int64_t>(std::floor(std::max(0.0, available)));
  FindOrCreateBudget(account).bucket.SetAside(
      static_cast<double>(local_tokens));
  borrower_.Collect(
      account, tokens - local_tokens,
      [this, request = pending_request{account, tokens, local_tokens,
                                       std::move(done)}](
          collected_loans found) { OnLoans(request, std::move(found)); });
}

// Rechecks the lease and the expiry of the loans, either of which may have
// ended during the wait, and admits the request if the remaining tokens
// suffice.
void fleet_admission::OnLoans(const pending_request& request,
                              collected_loans found) {
  budget& local = FindOrCreateBudget(request.account);
  local.bucket.Release(static_cast<double>(request.local_tokens));
  const auto now = clock_.now();
  const bool may_spend = shares_.MaySpend(request.account);
  const std::int64_t usable_local = may_spend ? request.local_tokens : 0;
  auto& loans = found.loans;
  loans.erase(
      std::remove_if(loans.begin(), loans.end(),
                     [&](const loan& each) { return now >= each.expires; }),
      loans.end());
  std::int64_t total = usable_local;
  for (const loan& each : loans) total += each.tokens;
  if (total >= request.tokens) {
    request.done(
        Admit(request.account, request.tokens, usable_local, std::move(loans)));
    return;
  }
  ReturnLoans(loans);
  if (found.responded == found.queried) {
    local.shortage_tokens = static_cast<double>(total) + 1;
    local.shortage_at = now;
  }
  const bool no_budget = !may_spend && found.responded == 0;
  request.done(tl::make_unexpected(no_budget
                                       ? admission_refusal::kBudgetUnavailable
                                       : admission_refusal::kRateExceeded));
}

reservation fleet_admission::Admit(const account_id& account,
                                   std::int64_t tokens,
                                   std::int64_t local_tokens,
                                   std::vector<loan> loans) {
  const std::uint64_t id = next_id_++;
  open_reservation& created = open_reservations_[id];
  created.account = account;
  created.local_tokens = std::min(local_tokens, tokens);
  if (created.local_tokens > 0) {
    created.charge = FindOrCreateBudget(account).bucket.Charge(
        clock_.now(), static_cast<double>(created.local_tokens));
  }
  std::int64_t missing = tokens - created.local_tokens;
  for (loan& each : loans) {
    const std::int64_t used = std::min(missing, each.tokens);
    missing -= used;
    borrower_.Settle(each, used);
    if (used > 0) created.loans.push_back({std::move(each), used});
  }
  return reservation{id, account, token_count(tokens)};
}

void fleet_admission::ReturnLoans(const std::vector<loan>& loans) {
  for (const loan& each : loans) borrower_.Settle(each, 0);
}

void fleet_admission::Settle(const reservation& ended, token_count used) {
  const auto node = open_reservations_.extract(ended.id);
  if (node.empty()) return;
  const open_reservation& open = node.mapped();
  const std::int64_t charged =
      std::clamp<std::int64_t>(used.value(), 0, ended.tokens.value());
  std::int64_t unused = ended.tokens.value() - charged;
  const std::int64_t local_unused = std::min(unused, open.local_tokens);
  if (open.local_tokens > 0) {
    FindOrCreateBudget(open.account)
        .bucket.Refund(open.charge, static_cast<double>(local_unused));
  }
  unused -= local_unused;
  for (const used_loan& each : open.loans) {
    const std::int64_t refunded = std::min(unused, each.used);
    if (refunded > 0) borrower_.Settle(each.source, each.used - refunded);
    unused -= refunded;
  }
}

int fleet_admission::UsableParts(const account_id& account) {
  return shares_.MaySpend(account) ? FindOrCreateBudget(account).parts : 0;
}

fleet_admission::budget& fleet_admission::FindOrCreateBudget(
    const account_id& account) {
  auto& found = budgets_[account];
  if (!found) found = std::make_unique<budget>(clock_.now());
  return *found;
}

// Sets the bucket to this host's fraction of the configured rate and burst, or
// to zero if the account was removed.
void fleet_admission::Configure(const account_id& account) {
  budget& local = FindOrCreateBudget(account);
  const config::account_row* row = rows_.FindAccount(account);
  const double fraction =
      row ? static_cast<double>(local.parts) / kWholeBudget : 0;
  const double rate = row ? static_cast<double>(row->rate.value()) : 0;
  const double burst = row ? static_cast<double>(row->burst.value()) : 0;
  local.bucket.Configure(clock_.now(), rate * fraction, burst * fraction);
}

}  // namespace bluebell::limits
