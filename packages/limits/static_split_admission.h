#pragma once

#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "limits/admission.h"
#include "limits/token_bucket.h"

namespace bluebell::limits {

/// Baseline: every member, dead ones included, has an equal share of each
/// budget. Sends no messages; refuses requests beyond this host's share.
class static_split_admission final : public admission {
 public:
  static_split_admission(config::snapshot& rows, const fleet::fleet_view& fleet,
                         clock& time);

  void Reserve(const account_id& account, token_count tokens,
               std::function<void(reserve_result)> done) override;
  void Settle(const reservation& ended, token_count used) override;

 private:
  void Tick();
  void Configure(const account_id& account, const config::account_row& row);

  config::snapshot& rows_;
  const fleet::fleet_view& fleet_;
  clock& clock_;
  std::map<account_id, token_bucket> buckets_;
  std::unordered_map<std::uint64_t, token_bucket::charge_id> open_charges_;
  std::uint64_t next_id_ = 1;
  timer_handle tick_;
};

}  // namespace bluebell::limits
