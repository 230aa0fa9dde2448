#pragma once

#include <cstdint>
#include <functional>
#include <tl/expected.hpp>

#include "base/ids.h"

namespace bluebell::limits {

/// Tokens taken from an account's budget for one request.
struct reservation {
  std::uint64_t id = 0;
  account_id account;
  token_count tokens;
};

enum class admission_refusal {
  kUnknownAccount,
  /// No bucket can ever hold that many tokens.
  kExceedsBurst,
  /// The budget of the whole fleet has too few tokens now.
  kRateExceeded,
  /// This host holds no right to spend tokens and could not borrow any.
  kNoBudgetHere,
};

/// Keeps each client account within its rate and burst across all hosts.
class admission {
 public:
  using reserve_result = tl::expected<reservation, admission_refusal>;

  virtual ~admission() = default;

  /// Reserves `tokens`, from this host's share or a loan from other hosts.
  /// Calls `done` exactly once, immediately or within the loan timeout.
  virtual void Reserve(const account_id& account, token_count tokens,
                       std::function<void(reserve_result)> done) = 0;
  /// Ends a reservation of which `used` tokens were used and refunds the rest.
  virtual void Settle(const reservation& ended, token_count used) = 0;
};

}  // namespace bluebell::limits
