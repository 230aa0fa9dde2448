#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "limits/admission.h"
#include "limits/borrower.h"
#include "limits/lease_monitor.h"
#include "limits/lender.h"
#include "limits/share_allocator.h"
#include "limits/token_bucket.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::limits {

/// Admission control with a share of each budget per host and token loans
/// between the holders (docs/design.md, section 4.2).
class fleet_admission final : public admission {
 public:
  /// The references must outlive this object. Registers the handlers of the
  /// peer messages `loan_request` and `loan_settle`.
  fleet_admission(config::snapshot& rows, store::object_store& store,
                  peer::peer_network& peers, const fleet::fleet_view& fleet,
                  clock& time, event_log& events);

  void Reserve(const account_id& account, token_count tokens,
               std::function<void(reserve_result)> done) override;
  void Settle(const reservation& ended, token_count used) override;

  /// Parts (of `kWholeBudget`) that this host may currently spend from, for
  /// status and metrics. The sum over all hosts never exceeds `kWholeBudget`.
  int UsableParts(const account_id& account);

 private:
  struct budget {
    explicit budget(clock::time_point now) : bucket(now) {}
    token_bucket bucket;
    int parts = 0;
    /// Tokens that the fleet had at the last refusal for lack of tokens, and
    /// the time of that refusal.
    double shortage_tokens = 0;
    clock::time_point shortage_at;
  };
  struct used_loan {
    loan source;
    std::int64_t used = 0;
  };
  /// An admitted request and the sources of its tokens.
  struct open_reservation {
    account_id account;
    std::int64_t local_tokens = 0;
    token_bucket::charge_id charge = 0;
    std::vector<used_loan> loans;
  };
  /// A request that waits for loans. Its local tokens are set aside until then.
  struct pending_request {
    account_id account;
    std::int64_t tokens = 0;
    std::int64_t local_tokens = 0;
    std::function<void(reserve_result)> done;
  };

  void Tick();
  budget& FindOrCreateBudget(const account_id& account);
  void Configure(const account_id& account);
  bool ExceedsRecentShortage(const budget& local,
                             const config::account_row& row,
                             std::int64_t tokens) const;
  void Borrow(const account_id& account, std::int64_t tokens, double available,
              std::function<void(reserve_result)> done);
  void OnLoans(const pending_request& request, collected_loans found);
  reservation Admit(const account_id& account, std::int64_t tokens,
                    std::int64_t local_tokens, std::vector<loan> loans);
  void ReturnLoans(const std::vector<loan>& loans);

  config::snapshot& rows_;
  clock& clock_;
  std::map<account_id, std::unique_ptr<budget>> budgets_;
  lease_monitor lease_monitor_;
  share_allocator shares_;
  lender lender_;
  borrower borrower_;
  std::unordered_map<std::uint64_t, open_reservation> open_reservations_;
  std::uint64_t next_id_ = 1;
  timer_handle tick_;
  /// Expires with this object; the configuration listener checks it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
