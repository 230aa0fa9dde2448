#include "routing/fair_queue.h"

#include <algorithm>

namespace bluebell::routing {
namespace {

// Number of finish times above which those in the past are erased.
constexpr std::size_t kFinishTimesCleanupSize = 256;

double VirtualCost(const queue_entry& entry) {
  const auto weight = std::max<std::int64_t>(1, entry.weight);
  const auto cost = std::max<std::int64_t>(1, entry.cost);
  return static_cast<double>(cost) / static_cast<double>(weight);
}

}  // namespace

void fair_queue::Push(const queue_entry& entry) {
  auto& class_queue = classes_[entry.priority];
  class_queue.targets[entry.target][entry.account].emplace(entry.ticket, entry);
  class_queue.backlog[entry.account] += VirtualCost(entry);
  ++size_;
}

std::optional<queue_entry> fair_queue::Pop(const endpoint_id& endpoint,
                                           const target_filter& serves,
                                           const entry_filter& accepts) {
  for (auto& [priority, class_queue] : classes_) {
    virtual_clock& virtual_time = virtual_clocks_[{endpoint, priority}];
    const queue_entry* best = nullptr;
    double best_start = 0;
    for (const auto& [target, accounts] : class_queue.targets) {
      if (!serves(target)) continue;
      for (const auto& [account, waiting] : accounts) {
        const auto finish = virtual_time.finish.find(account);
        const double start = finish == virtual_time.finish.end()
                                 ? virtual_time.now
                                 : std::max(virtual_time.now, finish->second);
        if (best != nullptr && start > best_start) continue;
        const auto first = std::find_if(
            waiting.begin(), waiting.end(),
            [&](const auto& entry) { return accepts(entry.first); });
        if (first == waiting.end()) continue;
        if (best != nullptr && start == best_start &&
            best->ticket < first->first) {
          continue;
        }
        best = &first->second;
        best_start = start;
      }
    }
    if (best == nullptr) continue;
    const queue_entry chosen = *best;
    Charge(virtual_time, chosen, best_start);
    Erase(chosen);
    return chosen;
  }
  return std::nullopt;
}

// Advances the virtual time to the start tag of the served request.
void fair_queue::Charge(virtual_clock& virtual_time, const queue_entry& entry,
                        double start) {
  virtual_time.now = start;
  virtual_time.finish[entry.account] = start + VirtualCost(entry);
  if (virtual_time.finish.size() <= kFinishTimesCleanupSize) return;
  for (auto it = virtual_time.finish.begin();
       it != virtual_time.finish.end();) {
    it = it->second <= virtual_time.now ? virtual_time.finish.erase(it)
                                        : std::next(it);
  }
}

void fair_queue::Remove(const queue_entry& entry) { Erase(entry); }

void fair_queue::Erase(const queue_entry& entry) {
  const auto class_queue = classes_.find(entry.priority);
  if (class_queue == classes_.end()) return;
  auto& targets = class_queue->second.targets;
  const auto target = targets.find(entry.target);
  if (target == targets.end()) return;
  const auto account = target->second.find(entry.account);
  if (account == target->second.end()) return;
  if (account->second.erase(entry.ticket) == 0) return;
  --size_;
  class_queue->second.backlog[entry.account] -= VirtualCost(entry);
  if (!account->second.empty()) return;
  target->second.erase(account);
  if (target->second.empty()) targets.erase(target);
  if (targets.empty()) classes_.erase(class_queue);
}

std::optional<std::uint64_t> fair_queue::EvictionCandidate() const {
  if (classes_.empty()) return std::nullopt;
  const auto& class_queue = classes_.rbegin()->second;
  const auto largest = std::max_element(
      class_queue.backlog.begin(), class_queue.backlog.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  std::optional<std::uint64_t> newest;
  for (const auto& [target, accounts] : class_queue.targets) {
    const auto found = accounts.find(largest->first);
    if (found == accounts.end()) continue;
    newest = std::max(newest, {found->second.rbegin()->first});
  }
  return newest;
}

void fifo_queue::Push(const queue_entry& entry) {
  entries_.emplace(entry.ticket, entry);
}

std::optional<queue_entry> fifo_queue::Pop(const endpoint_id&,
                                           const target_filter& serves,
                                           const entry_filter& accepts) {
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (!serves(it->second.target) || !accepts(it->first)) continue;
    const queue_entry chosen = it->second;
    entries_.erase(it);
    return chosen;
  }
  return std::nullopt;
}

void fifo_queue::Remove(const queue_entry& entry) {
  entries_.erase(entry.ticket);
}

std::optional<std::uint64_t> fifo_queue::EvictionCandidate() const {
  if (entries_.empty()) return std::nullopt;
  return entries_.rbegin()->first;
}

}  // namespace bluebell::routing
