#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::limits {

/// Maximum number of hosts that hold a share of one account's budget.
constexpr std::size_t kMaxHolders = 8;
/// Parts in a whole budget. 840 is divisible by 1 to 8, so equal shares of up
/// to `kMaxHolders` hosts are exact.
constexpr int kWholeBudget = 840;

/// Share of one account's budget held by one incarnation of a host.
struct share {
  host_id host;
  incarnation_id incarnation;
  int parts = 0;
  /// Unique id of the holder's last write. A holder whose lease lapsed writes a
  /// new stamp, which cancels a reclaim that started before.
  std::string stamp;
};

/// Value of the stored object `budgets/<account>`.
struct share_record {
  std::vector<share> shares;

  /// Returns the share of that incarnation, or null.
  const share* Find(const host_id& host,
                    const incarnation_id& incarnation) const;
  /// Sets the share of `changed`'s incarnation; 0 parts remove it.
  void Set(const share& changed);
  void Remove(const host_id& host, const incarnation_id& incarnation);
  /// Parts that no host holds.
  int FreeParts() const;
};

std::string BudgetName(const account_id& account);
nlohmann::json ToJson(const share_record& value);
/// Fails with `kInvalidArgument` on a missing field, a share without positive
/// parts, or more than `kWholeBudget` parts in total.
result<share_record> ParseShareRecord(const nlohmann::json& value);

/// Rendezvous hashing: returns the `count` hosts with the highest hash of
/// account and host, in descending order. Hosts with the same list get the same
/// result, and adding or removing one host replaces at most one holder.
std::vector<host_id> ChooseHolders(const account_id& account,
                                   std::vector<host_id> hosts,
                                   std::size_t count = kMaxHolders);

}  // namespace bluebell::limits
