#pragma once

#include <cstdint>
#include <functional>
#include <tl/expected.hpp>

#include "base/ids.h"

namespace bluebell::limits {

/// Tokens charged to an account's budget for one request.
struct reservation {
  std::uint64_t id = 0;
  account_id account;
  token_count tokens;
};

enum class admission_refusal {
  kUnknownAccount,
  /// The request needs more tokens than the account's burst.
  kExceedsBurst,
  /// The fleet has too few tokens available for the account now.
  kRateExceeded,
  /// This host holds no usable share of the budget and could not borrow tokens.
  kBudgetUnavailable,
};

/// Enforces the rate and burst of each client account across all hosts.
class admission {
 public:
  using reserve_result = tl::expected<reservation, admission_refusal>;

  virtual ~admission() = default;

  /// Reserves `tokens` from this host's share or from loans of other hosts.
  /// Calls `done` exactly once, synchronously or within the loan timeout.
  virtual void Reserve(const account_id& account, token_count tokens,
                       std::function<void(reserve_result)> done) = 0;
  /// Ends a reservation and refunds all but the `used` tokens.
  virtual void Settle(const reservation& ended, token_count used) = 0;
};

}  // namespace bluebell::limits
