#include "placement/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace bluebell::placement {
namespace {

// Longest gap between reports that counts as responsive time. The poll interval
// of idle engines in a large fleet stays below it.
constexpr auto kMaxReportGap = std::chrono::seconds(30);
// Orders to an engine that checks fencing numbers expire after this multiple of
// their lifetime, in case the number cannot be raised for a long time.
constexpr int kFencedLifetimeFactor = 30;

}  // namespace

memory_ledger::memory_ledger(const clock& source,
                             clock::duration order_lifetime,
                             size_function size_of)
    : clock_(source),
      order_lifetime_(order_lifetime),
      size_of_(std::move(size_of)) {}

void memory_ledger::SetEngine(const endpoint_id& id, byte_count memory,
                              bool checks_fencing) {
  ledger_engine& engine = engines_[id];
  engine.memory = engine.reported_memory.value() > 0
                      ? std::min(memory, engine.reported_memory)
                      : memory;
  engine.checks_fencing = checks_fencing;
}

void memory_ledger::DisableEngine(const endpoint_id& id) {
  const auto found = engines_.find(id);
  if (found != engines_.end()) found->second.memory = byte_count(0);
}

void memory_ledger::OnReport(const endpoint_id& id,
                             const routing::endpoint_report& report,
                             clock::time_point polled_at) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  ledger_engine& engine = found->second;
  const auto sampled_at = polled_at - report.sampled_ago;
  const bool restarted = engine.incarnation != report.incarnation;
  if (engine.reported && !restarted && sampled_at < engine.sampled_at) return;
  if (engine.reported && sampled_at > engine.sampled_at) {
    const auto gap = sampled_at - engine.sampled_at;
    if (gap <= kMaxReportGap) engine.responsive_time += gap;
  }
  if (restarted || !engine.reported) {
    engine.incarnation = report.incarnation;
    engine.incarnation_since = clock_.now();
    engine.confirmed_fence = 0;
    engine.accepted_fence = 0;
    RecountLoads(engine);
  }
  engine.reported = true;
  engine.sampled_at = std::max(engine.sampled_at, sampled_at);
  if (engine.accepted_fence > 0 && sampled_at >= engine.accepted_at) {
    engine.confirmed_fence =
        std::max(engine.confirmed_fence, engine.accepted_fence);
    engine.accepted_fence = 0;
  }
  if (report.memory_total.value() > 0) {
    engine.reported_memory = report.memory_total;
    engine.memory = std::min(engine.memory, report.memory_total);
  }

  for (const auto& target : report.resident) {
    Observe(engine, target, residency_event::kReportedResident);
  }
  for (const auto& target : report.loading) {
    if (report.resident.count(target) > 0) continue;
    Observe(engine, target, residency_event::kReportedLoading);
  }
  byte_count attributed;
  bool all_known = true;
  for (auto& [target, entry] : engine.entries) {
    if (report.resident.count(target) > 0 || report.loading.count(target) > 0) {
      attributed += entry.size;
      all_known = all_known && entry.size.value() > 0;
    } else {
      entry.status.Process(residency_event::kReportedAbsent);
    }
  }
  engine.unattributed =
      all_known ? byte_count(0)
                : std::max(byte_count(0), report.memory_used - attributed);
  RemoveAbsent(engine);
}

void memory_ledger::Observe(ledger_engine& engine, const std::string& target,
                            residency_event event) {
  ledger_entry& entry = EntryOf(engine, target);
  const auto before = entry.status.state();
  entry.status.Process(event);
  if (entry.status.state() == residency_state::kResident &&
      before != residency_state::kResident) {
    entry.resident_since = clock_.now();
  }
}

// Returns the entry of the target. Its size is the largest size configured at
// any time the target was ordered or reported.
ledger_entry& memory_ledger::EntryOf(ledger_engine& engine,
                                     const std::string& target) {
  ledger_entry& entry = engine.entries[target];
  entry.size = std::max(entry.size, size_of_(target));
  return entry;
}

bool memory_ledger::CanLoad(const endpoint_id& id,
                            const std::string& target) const {
  const auto found = engines_.find(id);
  if (found == engines_.end() || !found->second.reported) return false;
  const auto& entries = found->second.entries;
  const auto entry = entries.find(target);
  const byte_count size = size_of_(target);
  if (size.value() <= 0) return false;
  if (entry != entries.end()) {
    return Free(id) + entry->second.size >= std::max(size, entry->second.size);
  }
  return Free(id) >= size;
}

void memory_ledger::OnLoadOrdered(const endpoint_id& id,
                                  const std::string& target,
                                  std::uint64_t fence) {
  ledger_engine& engine = engines_.at(id);
  ledger_entry& entry = EntryOf(engine, target);
  entry.status.Process(residency_event::kLoadOrdered);
  open_order& order = engine.loads[target];
  order.size = std::max(order.size, entry.size);
  order.fence = std::max(order.fence, fence);
  order.responsive_at_order = engine.responsive_time;
}

void memory_ledger::OnLoadSent(const endpoint_id& id, const std::string& target,
                               std::uint64_t fence) {
  OnLoadOrdered(id, target, fence);
  ledger_entry& entry = engines_.at(id).entries.at(target);
  entry.load_sent = true;
  entry.last_order = clock_.now();
}

void memory_ledger::Abandon(const endpoint_id& id, const std::string& target) {
  const auto engine = engines_.find(id);
  if (engine == engines_.end()) return;
  const auto entry = engine->second.entries.find(target);
  if (entry == engine->second.entries.end()) return;
  if (entry->second.status.state() != residency_state::kOrdered) return;
  if (entry->second.load_sent) {
    entry->second.status.Process(residency_event::kAbandoned);
    return;
  }
  engine->second.entries.erase(entry);
  engine->second.loads.erase(target);
}

void memory_ledger::AbandonAll() {
  for (const auto& [id, engine] : engines_) {
    std::vector<std::string> targets;
    for (const auto& [target, entry] : engine.entries) {
      targets.push_back(target);
    }
    for (const auto& target : targets) Abandon(id, target);
  }
}

void memory_ledger::OnUnloadSent(const endpoint_id& id,
                                 const std::string& target,
                                 std::uint64_t fence) {
  ledger_engine& engine = engines_.at(id);
  ledger_entry& entry = EntryOf(engine, target);
  entry.status.Process(residency_event::kUnloadOrdered);
  entry.last_order = clock_.now();
  open_order& order = engine.unloads[target];
  order.fence = std::max(order.fence, fence);
  order.responsive_at_order = engine.responsive_time;
}

void memory_ledger::OnIntent(const endpoint_id& id, const std::string& target,
                             byte_count size) {
  // The engine's row may be applied later than the intent is read.
  ledger_engine& engine = engines_[id];
  ledger_entry& entry = EntryOf(engine, target);
  entry.size = std::max(entry.size, size);
  entry.load_sent = true;
  open_order& order = engine.loads[target];
  order.size = std::max(order.size, entry.size);
  order.responsive_at_order = engine.responsive_time;
  if (entry.status.state() != residency_state::kAbsent) return;
  entry.status.Process(residency_event::kLoadOrdered);
  entry.status.Process(residency_event::kAbandoned);
}

// Counts all recent loads again after a restart: the engine's new process does
// not know the fencing number by which the old one rejected delayed orders.
void memory_ledger::RecountLoads(ledger_engine& engine) {
  PruneOrders(engine, engine.loads);
  for (const auto& [target, order] : engine.loads) {
    if (engine.entries.count(target) > 0) continue;
    ledger_entry& entry = EntryOf(engine, target);
    entry.size = std::max(entry.size, order.size);
    entry.load_sent = true;
    entry.status.Process(residency_event::kLoadOrdered);
    entry.status.Process(residency_event::kAbandoned);
  }
}

// Drops orders that can no longer take effect, even after an engine restart.
void memory_ledger::PruneOrders(
    const ledger_engine& engine,
    std::map<std::string, open_order>& orders) const {
  for (auto it = orders.begin(); it != orders.end();) {
    const bool old = engine.responsive_time - it->second.responsive_at_order >=
                     order_lifetime_;
    it = old && IsObsolete(engine, it->second) ? orders.erase(it)
                                               : std::next(it);
  }
}

void memory_ledger::OnFenceAccepted(const endpoint_id& id, std::uint64_t fence,
                                    clock::time_point sent_at) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  ledger_engine& engine = found->second;
  // Only a process that was reported before the order was sent and again after
  // the answer is certain to be the one that accepted the order.
  if (!engine.reported || sent_at < engine.incarnation_since) return;
  if (fence <= engine.accepted_fence) return;
  engine.accepted_fence = fence;
  engine.accepted_at = clock_.now();
}

byte_count memory_ledger::Committed(const endpoint_id& id) const {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return byte_count(0);
  byte_count committed = found->second.unattributed;
  for (const auto& [target, entry] : found->second.entries) {
    committed += entry.size;
  }
  return committed;
}

byte_count memory_ledger::Free(const endpoint_id& id) const {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return byte_count(0);
  return found->second.memory - Committed(id);
}

std::vector<std::pair<std::string, byte_count>> memory_ledger::OpenLoads(
    const endpoint_id& id) const {
  std::vector<std::pair<std::string, byte_count>> open;
  const auto found = engines_.find(id);
  if (found == engines_.end()) return open;
  for (const auto& [target, order] : found->second.loads) {
    if (IsObsolete(found->second, order)) continue;
    open.emplace_back(target, order.size);
  }
  return open;
}

std::uint64_t memory_ledger::FenceToExceed(const endpoint_id& id) const {
  const auto found = engines_.find(id);
  if (found == engines_.end() || !found->second.checks_fencing) return 0;
  std::uint64_t fence = 0;
  for (const auto& [target, entry] : found->second.entries) {
    if (entry.status.state() != residency_state::kUnconfirmedAbsent) continue;
    const auto order = found->second.loads.find(target);
    if (order == found->second.loads.end()) continue;
    fence = std::max({fence, order->second.fence, std::uint64_t{1}});
  }
  return fence;
}

bool memory_ledger::MayBeUnloaded(const endpoint_id& id,
                                  const std::string& target) const {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return false;
  const auto order = found->second.unloads.find(target);
  return order != found->second.unloads.end() &&
         !IsObsolete(found->second, order->second);
}

const ledger_engine* memory_ledger::Find(const endpoint_id& id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

ledger_entry* memory_ledger::FindEntry(const endpoint_id& id,
                                       const std::string& target) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return nullptr;
  const auto entry = found->second.entries.find(target);
  return entry == found->second.entries.end() ? nullptr : &entry->second;
}

// Whether the order can no longer take effect in the current process.
bool memory_ledger::IsObsolete(const ledger_engine& engine,
                               const open_order& order) const {
  const auto elapsed = engine.responsive_time - order.responsive_at_order;
  if (!engine.checks_fencing) return elapsed >= order_lifetime_;
  return order.fence < engine.confirmed_fence ||
         elapsed >= order_lifetime_ * kFencedLifetimeFactor;
}

bool memory_ledger::IsAbsenceConfirmed(const ledger_engine& engine,
                                       const std::string& target) const {
  const auto order = engine.loads.find(target);
  return order == engine.loads.end() || IsObsolete(engine, order->second);
}

void memory_ledger::RemoveAbsent(ledger_engine& engine) {
  for (auto it = engine.entries.begin(); it != engine.entries.end();) {
    auto& status = it->second.status;
    if (status.state() == residency_state::kUnconfirmedAbsent &&
        IsAbsenceConfirmed(engine, it->first)) {
      status.Process(residency_event::kAbsenceConfirmed);
    }
    it = status.state() == residency_state::kAbsent ? engine.entries.erase(it)
                                                    : std::next(it);
  }
  PruneOrders(engine, engine.loads);
  PruneOrders(engine, engine.unloads);
}

}  // namespace bluebell::placement
