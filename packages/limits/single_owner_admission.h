#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "limits/admission.h"
#include "limits/token_bucket.h"
#include "peer/peer_network.h"

namespace bluebell::limits {

/// Baseline: one owner per account, chosen by rendezvous hashing over the entry
/// hosts, admits all its requests. Other hosts send it the peer messages
/// `owner_reserve` and `owner_settle`. A new owner starts with an empty bucket.
/// Two hosts may briefly act as owner during a change.
class single_owner_admission final : public admission {
 public:
  single_owner_admission(config::snapshot& rows, peer::peer_network& peers,
                         const fleet::fleet_view& fleet, clock& time);

  void Reserve(const account_id& account, token_count tokens,
               std::function<void(reserve_result)> done) override;
  void Settle(const reservation& ended, token_count used) override;

 private:
  struct charge {
    account_id account;
    token_bucket::charge_id id = 0;
    double tokens = 0;
  };
  /// A request of this host: its owner, and its key in the owner's `charges_`.
  struct grant {
    host_id owner;
    std::string key;
  };

  void Tick();
  host_id OwnerOf(const account_id& account) const;
  bool Charge(const std::string& key, const account_id& account,
              std::int64_t tokens);
  void Refund(const std::string& key, std::int64_t used);
  void SendSettle(const grant& granted, std::int64_t used);

  config::snapshot& rows_;
  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
  clock& clock_;
  /// Buckets of the accounts owned by this host.
  std::map<account_id, token_bucket> buckets_;
  std::unordered_map<std::string, charge> charges_;
  std::unordered_map<std::uint64_t, grant> open_grants_;
  std::uint64_t next_id_ = 1;
  timer_handle tick_;
  /// Expires with this object; message handlers and callbacks check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::limits
