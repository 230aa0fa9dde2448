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
#include "limits/lease_guard.h"
#include "limits/lender.h"
#include "limits/share_ledger.h"
#include "limits/token_bucket.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::limits {

/// Admission on fractions of each budget and loans between their holders
/// (docs/design.md, section 4.2).
class fleet_admission final : public admission {
 public:
  /// The references must outlive this object, which serves the peer messages
  /// `loan_request` and `loan_settle`.
  fleet_admission(config::snapshot& rows, store::object_store& store,
                  peer::peer_network& peers, const fleet::fleet_view& fleet,
                  clock& time, event_log& events);

  void Reserve(const account_id& account, token_count tokens,
               std::function<void(reserve_result)> done) override;
  void Settle(const reservation& ended, token_count used) override;

  /// Parts (of `kWholeBudget`) that this host may spend from now, for status
  /// and metrics. Over all hosts they never exceed a whole budget.
  int UsableParts(const account_id& account);

 private:
  struct budget {
    explicit budget(clock::time_point now) : bucket(now) {}
    token_bucket bucket;
    int parts = 0;
    /// Tokens that the fleet had when a request was last refused, and when.
    double shortage_tokens = 0;
    clock::time_point shortage_at;
  };
  struct used_loan {
    loan source;
    std::int64_t used = 0;
  };
  /// An admitted request and where its tokens came from.
  struct open_reservation {
    account_id account;
    std::int64_t own = 0;
    token_bucket::charge_id charge = 0;
    std::vector<used_loan> loans;
  };
  /// A request that waits for loans. Its own tokens are set aside meanwhile.
  struct waiting {
    account_id account;
    std::int64_t tokens = 0;
    std::int64_t own = 0;
    std::function<void(reserve_result)> done;
  };

  void Tick();
  budget& Find(const account_id& account);
  void Configure(const account_id& account);
  bool IsShort(const budget& own, const config::account_row& row,
               std::int64_t tokens) const;
  void Borrow(const account_id& account, std::int64_t tokens, double available,
              std::function<void(reserve_result)> done);
  void OnLoans(const waiting& request, loan_collection found);
  reservation Admit(const account_id& account, std::int64_t tokens,
                    std::int64_t own, std::vector<loan> loans);
  void GiveBack(const std::vector<loan>& loans);

  config::snapshot& rows_;
  clock& clock_;
  std::map<account_id, std::unique_ptr<budget>> budgets_;
  lease_guard guard_;
  share_ledger ledger_;
  lender lender_;
  borrower borrower_;
  std::unordered_map<std::uint64_t, open_reservation> open_;
  std::uint64_t next_id_ = 1;
  timer_handle tick_;
  /// Expires with this object; the snapshot's listener checks it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
