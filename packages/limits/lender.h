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
/// The tokens of a loan are set aside in the bucket before the offer is sent,
/// so a lost message loses tokens but never creates any. They count against the
/// burst until the borrower settles the loan or it has expired.
class lender {
 public:
  /// Returns the account's bucket, or null if there is none. With `spend`, also
  /// null if this host may not spend from it now.
  using bucket_lookup =
      std::function<token_bucket*(const account_id&, bool spend)>;

  lender(peer::peer_network& peers, const clock& time, bucket_lookup find);

  /// Charges loans that were not settled before their deadline in full. Called
  /// several times a second; a late call only keeps tokens set aside for
  /// longer.
  void Expire();

 private:
  struct loan {
    account_id account;
    double tokens = 0;
    /// Tokens charged once the loan is settled.
    double used = 0;
    bool settled = false;
    token_bucket::charge_id charge = 0;
    /// Time at which an open loan counts as used or a settled one is discarded.
    clock::time_point deadline;
  };

  loan_offer Lend(const loan_request& request);
  void Settle(const loan_settle& message);
  void Charge(loan& open, double used);
  void Discard(const std::string& id);
  void EvictOldestSettled();

  const clock& clock_;
  bucket_lookup find_bucket_;
  std::unordered_map<std::string, loan> loans_;
  std::multimap<clock::time_point, std::string> deadlines_;
  /// Expires with this object; the message handlers check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
