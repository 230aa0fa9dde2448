#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "config/snapshot.h"
#include "routing/queue_scheduler.h"

namespace bluebell::placement {

/// Demand for one model or adapter.
struct demand_value {
  /// Recent tokens with exponential decay.
  double recent = 0;
  /// Sum over the accounts that used the target of weight times priority
  /// factor, 1 for priority 0 and 0.1 for priority 9.
  double purchased = 0;
  /// Requests that wait because no usable endpoint holds the target.
  int waiting = 0;
  clock::time_point last_use;
};

/// Collects the demand reports of all entry hosts.
class demand_tracker {
 public:
  demand_tracker(const clock& source, const config::snapshot& rows)
      : clock_(source), rows_(rows) {}

  /// Records the demand that `host` saw since its last report, and the requests
  /// waiting there now.
  void OnDemand(const host_id& host,
                const std::vector<routing::target_demand>& demand,
                const std::vector<routing::waiting_target>& waiting);
  /// Demand for a model, including its adapters, or for a single adapter.
  demand_value ValueOf(const std::string& target) const;
  /// Returns the epoch if the target was never used.
  clock::time_point LastUse(const std::string& target) const;
  /// Removes hosts that stopped reporting and targets that are no longer used.
  void Expire();

 private:
  struct record {
    double recent = 0;
    clock::time_point updated;
    clock::time_point last_use;
    /// Purchased value per account, and when it last used the target.
    std::map<account_id, std::pair<double, clock::time_point>> accounts;
  };
  struct host_waiting {
    clock::time_point reported;
    std::vector<routing::waiting_target> targets;
  };

  void CountWaiting(const host_waiting& report, int sign);
  void Add(const std::string& target, const routing::target_demand& demand);
  double Decayed(const record& target_record) const;

  const clock& clock_;
  const config::snapshot& rows_;
  std::unordered_map<std::string, record> records_;
  std::map<host_id, host_waiting> waiting_;
  /// Requests waiting at all hosts, by target and by model of the target.
  std::unordered_map<std::string, int> waiting_totals_;
};

}  // namespace bluebell::placement
