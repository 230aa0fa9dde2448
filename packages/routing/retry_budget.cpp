#include "routing/retry_budget.h"

#include <algorithm>

namespace bluebell::routing {

void retry_budget::OnRequest(const account_id& account) {
  double& balance = BalanceOf(account);
  balance = std::min(options_.capacity, balance + options_.fraction);
}

bool retry_budget::Take(const account_id& account) {
  // Ten additions of 0.1 yield slightly less than 1 in floating point.
  constexpr double kRounding = 1e-9;
  double& balance = BalanceOf(account);
  if (balance < 1 - kRounding) return false;
  balance -= 1;
  return true;
}

double& retry_budget::BalanceOf(const account_id& account) {
  return balances_.emplace(account, options_.initial).first->second;
}

}  // namespace bluebell::routing
