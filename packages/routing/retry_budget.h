#pragma once

#include <unordered_map>

#include "base/ids.h"

namespace bluebell::routing {

struct retry_options {
  /// Retries earned per request.
  double fraction = 0.1;
  /// Maximum balance, in retries.
  double capacity = 10;
  /// Initial balance in retries, so that an account with few requests can retry
  /// once.
  double initial = 1;
};

/// Keeps the retries of each client account below a fraction of its requests,
/// so that retries do not amplify the load while endpoints fail.
class retry_budget {
 public:
  explicit retry_budget(retry_options options = {}) : options_(options) {}

  void OnRequest(const account_id& account);
  /// Takes one retry from the balance; false if less than one is left.
  bool Take(const account_id& account);

 private:
  double& BalanceOf(const account_id& account);

  retry_options options_;
  std::unordered_map<account_id, double> balances_;
};

}  // namespace bluebell::routing
