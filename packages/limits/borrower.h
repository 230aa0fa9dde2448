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
  /// The time to live starts when the request is sent; check before use.
  clock::time_point expires;
};

/// Loans that the holders of a budget granted for one request.
struct collected_loans {
  std::vector<loan> loans;
  std::int64_t total = 0;
  /// Number of lenders that responded, and of lenders queried.
  std::size_t responded = 0;
  std::size_t queried = 0;
};

/// Requests loans from the hosts that hold shares of a budget.
class borrower {
 public:
  /// Response timeout per lender; two rounds fit into `kLoanTtl`.
  static constexpr clock::duration kResponseTimeout =
      std::chrono::milliseconds(50);
  static constexpr std::chrono::milliseconds kLoanTtl{200};

  borrower(peer::peer_network& peers, const fleet::fleet_view& fleet,
           clock& time);

  /// Queries the holder last known to have `needed` tokens, if any, then all
  /// others in parallel. Calls `done` when `needed` tokens are collected or
  /// every holder has responded or timed out. Loans that arrive later are
  /// returned.
  void Collect(const account_id& account, std::int64_t needed,
               std::function<void(collected_loans)> done);
  /// Reports to the lender how many tokens of a loan are used.
  void Settle(const loan& settled, std::int64_t used);

 private:
  struct collect_operation;
  using collect_operation_ptr = std::shared_ptr<collect_operation>;

  void RequestFromOne(const collect_operation_ptr& operation);
  void RequestFromAll(const collect_operation_ptr& operation);
  void RequestLoan(const collect_operation_ptr& operation,
                   const host_id& holder);
  void OnResponse(const collect_operation_ptr& operation, const host_id& holder,
                  clock::time_point sent,
                  const result<nlohmann::json>& response);
  void Finish(const collect_operation_ptr& operation);

  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
  clock& clock_;
  /// Tokens that each holder had left in its last response.
  std::map<std::pair<account_id, host_id>, std::int64_t> known_available_;
  /// Expires with this object; callbacks of late responses check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
