#pragma once

#include <unordered_map>

#include "base/ids.h"

namespace bluebell::routing {

struct retry_options {
  /// Retries per request in the long run.
  double fraction = 0.1;
  /// Retries that can be saved up.
  double capacity = 10;
  /// Retries that a new account has, so that a rare caller has one.
  double initial = 1;
};

/// Keeps the retries of each client account below a fraction of its requests,
/// so that retries do not multiply the load while endpoints fail.
class retry_budget {
 public:
  explicit retry_budget(retry_options options = {}) : options_(options) {}

  void OnRequest(const account_id& account);
  /// Takes one retry if there is one.
  bool Take(const account_id& account);

 private:
  double& BalanceOf(const account_id& account);

  retry_options options_;
  std::unordered_map<account_id, double> balances_;
};

}  // namespace bluebell::routing
