#include "placement/demand_tracker.h"

#include <algorithm>
#include <cmath>

namespace bluebell::placement {
namespace {

// Half-life of recent demand; demand can change tenfold within an hour.
constexpr double kHalfLifeSeconds = 300;
// Time for which an account's purchased value counts after its last request, so
// that an account that calls once a day finds its model resident.
constexpr auto kPurchaseRetention = std::chrono::hours(48);
// Reports of waiting requests older than this no longer count.
constexpr auto kWaitingRetention = std::chrono::seconds(10);

double PurchasedValue(const routing::target_demand& demand) {
  const double priority = std::clamp(demand.priority, 0, 9);
  return static_cast<double>(std::max<std::int64_t>(1, demand.weight)) *
         (10.0 - priority) / 10.0;
}

}  // namespace

void demand_tracker::OnDemand(
    const host_id& host, const std::vector<routing::target_demand>& demand,
    const std::vector<routing::waiting_target>& waiting) {
  for (const auto& entry : demand) {
    if (entry.is_service) continue;
    Add(entry.target, entry);
    const auto* adapter = rows_.FindAdapter(adapter_id(entry.target));
    if (adapter != nullptr) Add(adapter->model.value(), entry);
  }
  host_waiting& report = waiting_[host];
  CountWaiting(report, -1);
  report = {clock_.now(), waiting};
  CountWaiting(report, 1);
}

// Adds (`sign` 1) or subtracts (`sign` -1) the waiting requests of one host.
void demand_tracker::CountWaiting(const host_waiting& report, int sign) {
  for (const auto& entry : report.targets) {
    if (entry.is_service) continue;
    waiting_totals_[entry.target] += sign * entry.waiting;
    const auto* adapter = rows_.FindAdapter(adapter_id(entry.target));
    if (adapter == nullptr) continue;
    waiting_totals_[adapter->model.value()] += sign * entry.waiting;
  }
}

void demand_tracker::Add(const std::string& target,
                         const routing::target_demand& demand) {
  record& target_record = records_[target];
  const auto now = clock_.now();
  target_record.recent =
      Decayed(target_record) + static_cast<double>(demand.tokens.value());
  target_record.updated = now;
  target_record.last_use = now;
  target_record.accounts[demand.account] = {PurchasedValue(demand), now};
}

double demand_tracker::Decayed(const record& target_record) const {
  if (target_record.recent == 0) return 0;
  const double seconds =
      std::chrono::duration<double>(clock_.now() - target_record.updated)
          .count();
  return target_record.recent * std::exp2(-seconds / kHalfLifeSeconds);
}

demand_value demand_tracker::ValueOf(const std::string& target) const {
  demand_value value;
  const auto now = clock_.now();
  const auto found = records_.find(target);
  if (found != records_.end()) {
    value.recent = Decayed(found->second);
    value.last_use = found->second.last_use;
    for (const auto& [account, purchase] : found->second.accounts) {
      if (now - purchase.second < kPurchaseRetention) {
        value.purchased += purchase.first;
      }
    }
  }
  const auto waiting = waiting_totals_.find(target);
  if (waiting != waiting_totals_.end()) {
    value.waiting = std::max(0, waiting->second);
  }
  return value;
}

clock::time_point demand_tracker::LastUse(const std::string& target) const {
  const auto found = records_.find(target);
  return found == records_.end() ? clock::time_point() : found->second.last_use;
}

void demand_tracker::Expire() {
  const auto now = clock_.now();
  for (auto it = records_.begin(); it != records_.end();) {
    it = now - it->second.last_use > kPurchaseRetention ? records_.erase(it)
                                                        : std::next(it);
  }
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now - it->second.reported <= kWaitingRetention) {
      ++it;
      continue;
    }
    CountWaiting(it->second, -1);
    it = waiting_.erase(it);
  }
  // If an adapter's row changed between addition and subtraction, the totals
  // are wrong; they are reset once no host reports waiting requests.
  if (waiting_.empty()) waiting_totals_.clear();
}

}  // namespace bluebell::placement
