#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "limits/loan_messages.h"
#include "limits/token_bucket.h"
#include "peer/peer_network.h"

namespace bluebell::limits {

/// Lends tokens of this host's buckets to other hosts.
///
/// A loan is set aside in the bucket before it is offered, so a lost message
/// loses tokens and never creates any. It stays set aside, and so counts
/// against the burst, until the borrower settles it or can no longer use it.
class lender {
 public:
  /// The account's bucket, or null if there is none. With `spend`, null also
  /// if this host may not spend from it now.
  using bucket_lookup =
      std::function<token_bucket*(const account_id&, bool spend)>;

  lender(peer::peer_network& peers, const clock& time, bucket_lookup find);

  /// Counts loans that were not settled in time as used. Called several times
  /// a second; a late call only keeps tokens set aside for longer.
  void Expire();

 private:
  struct loan {
    account_id account;
    double tokens = 0;
    /// Tokens charged; only settled loans have a charge.
    double used = 0;
    bool settled = false;
    token_bucket::charge_id charge = 0;
    /// When an open loan counts as used, and a settled one is forgotten.
    clock::time_point deadline;
  };

  loan_offer Lend(const loan_request& asked);
  void Settle(const loan_settle& settled);
  void Charge(loan& open, double used);
  void Forget(const std::string& id);
  void ForgetOldest();

  const clock& clock_;
  bucket_lookup find_;
  std::unordered_map<std::string, loan> loans_;
  std::multimap<clock::time_point, std::string> deadlines_;
  /// Expires with this object; late messages check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
