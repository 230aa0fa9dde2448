#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::limits {

/// Hosts that hold a fraction of one account's budget at most.
constexpr std::size_t kMaxHolders = 8;
/// A whole budget in parts. 840 is divisible by 1 to 8, so equal fractions of
/// up to `kMaxHolders` hosts are exact.
constexpr int kWholeBudget = 840;

/// Fraction of one incarnation of a host.
struct share {
  host_id host;
  incarnation_id incarnation;
  int parts = 0;
  /// Id of the holder's last own write. A holder whose lease had lapsed writes
  /// a new one, which defeats a reclaim that started before.
  std::string stamp;
};

/// Value of the object `budgets/<account>`.
struct share_record {
  std::vector<share> shares;

  /// The share of that incarnation, or null.
  const share* Find(const host_id& host,
                    const incarnation_id& incarnation) const;
  /// Sets or, with 0 parts, removes the share of that incarnation.
  void Set(const share& changed);
  void Remove(const host_id& host, const incarnation_id& incarnation);
  /// Parts that no host holds.
  int FreeParts() const;
};

std::string BudgetName(const account_id& account);
nlohmann::json ToJson(const share_record& value);
/// Fails with `kInvalidArgument` on a missing field or more than
/// `kWholeBudget` parts in total.
result<share_record> ParseShareRecord(const nlohmann::json& value);

/// The `count` hosts with the highest hash of account and host, in this order.
/// All hosts with the same list choose the same, and a change of one host
/// changes the choice by at most one.
std::vector<host_id> ChooseHolders(const account_id& account,
                                   std::vector<host_id> hosts,
                                   std::size_t count = kMaxHolders);

}  // namespace bluebell::limits
