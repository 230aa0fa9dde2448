#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_view.h"
#include "limits/loan_messages.h"
#include "peer/peer_network.h"

namespace bluebell::limits {

/// Tokens lent by another host for one request.
struct loan {
  host_id lender;
  std::string id;
  std::int64_t tokens = 0;
  /// Counted from the sending of the request; check before use.
  clock::time_point expires;
};

/// What the holders of a budget lent for one request.
struct loan_collection {
  std::vector<loan> loans;
  std::int64_t total = 0;
  /// Lenders that answered, and lenders asked.
  std::size_t answered = 0;
  std::size_t asked = 0;
};

/// Collects loans from the holders of a budget.
class borrower {
 public:
  /// Time a lender has to answer; two rounds fit into the ttl.
  static constexpr clock::duration kAnswerTimeout =
      std::chrono::milliseconds(50);
  static constexpr std::chrono::milliseconds kLoanTtl{200};

  borrower(peer::peer_network& peers, const fleet::fleet_view& fleet,
           clock& time);

  /// Asks first the holder that is known to have `need` tokens, if any, then
  /// all others at once. Calls `done` when `need` is collected or every holder
  /// has answered or timed out. Loans that arrive later are given back.
  void Collect(const account_id& account, std::int64_t need,
               std::function<void(loan_collection)> done);
  /// Tells the lender how much of a loan is used.
  void Settle(const loan& settled, std::int64_t used);

 private:
  struct collection;
  using collection_ptr = std::shared_ptr<collection>;

  void AskFirst(const collection_ptr& current);
  void AskAll(const collection_ptr& current);
  void Ask(const collection_ptr& current, const host_id& holder);
  void OnAnswer(const collection_ptr& current, const host_id& holder,
                clock::time_point sent, const result<nlohmann::json>& answer);
  void Finish(const collection_ptr& current);

  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
  clock& clock_;
  /// Tokens that a holder had left at its last answer.
  std::map<std::pair<account_id, host_id>, std::int64_t> left_;
  /// Expires with this object; late answers check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
