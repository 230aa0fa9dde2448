#include "routing/fair_queue.h"

#include <algorithm>

namespace bluebell::routing {
namespace {

// Number of accounts in a lane above which finished ones are forgotten.
constexpr std::size_t kLaneCleanup = 256;

double VirtualCost(const queue_entry& entry) {
  const auto weight = std::max<std::int64_t>(1, entry.weight);
  const auto cost = std::max<std::int64_t>(1, entry.cost);
  return static_cast<double>(cost) / static_cast<double>(weight);
}

}  // namespace

void fair_queue::Push(const queue_entry& entry) {
  auto& of_class = classes_[entry.priority];
  of_class.targets[entry.target][entry.account].emplace(entry.ticket, entry);
  of_class.backlog[entry.account] += VirtualCost(entry);
  ++size_;
}

std::optional<queue_entry> fair_queue::Pop(const endpoint_id& endpoint,
                                           const target_filter& serves,
                                           const entry_filter& accepts) {
  for (auto& [priority, of_class] : classes_) {
    lane& at = lanes_[{endpoint, priority}];
    const queue_entry* best = nullptr;
    double best_start = 0;
    for (const auto& [target, accounts] : of_class.targets) {
      if (!serves(target)) continue;
      for (const auto& [account, waiting] : accounts) {
        const auto finish = at.finish.find(account);
        const double start = finish == at.finish.end()
                                 ? at.now
                                 : std::max(at.now, finish->second);
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
    Charge(at, chosen, best_start);
    Erase(chosen);
    return chosen;
  }
  return std::nullopt;
}

// Advances the virtual time to the start of the served request.
void fair_queue::Charge(lane& at, const queue_entry& entry, double start) {
  at.now = start;
  at.finish[entry.account] = start + VirtualCost(entry);
  if (at.finish.size() <= kLaneCleanup) return;
  for (auto it = at.finish.begin(); it != at.finish.end();) {
    it = it->second <= at.now ? at.finish.erase(it) : std::next(it);
  }
}

void fair_queue::Remove(const queue_entry& entry) { Erase(entry); }

void fair_queue::Erase(const queue_entry& entry) {
  const auto of_class = classes_.find(entry.priority);
  if (of_class == classes_.end()) return;
  auto& targets = of_class->second.targets;
  const auto target = targets.find(entry.target);
  if (target == targets.end()) return;
  const auto account = target->second.find(entry.account);
  if (account == target->second.end()) return;
  if (account->second.erase(entry.ticket) == 0) return;
  --size_;
  of_class->second.backlog[entry.account] -= VirtualCost(entry);
  if (!account->second.empty()) return;
  target->second.erase(account);
  if (target->second.empty()) targets.erase(target);
  if (targets.empty()) classes_.erase(of_class);
}

std::optional<std::uint64_t> fair_queue::Victim() const {
  if (classes_.empty()) return std::nullopt;
  const auto& of_class = classes_.rbegin()->second;
  const auto largest = std::max_element(
      of_class.backlog.begin(), of_class.backlog.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  std::optional<std::uint64_t> newest;
  for (const auto& [target, accounts] : of_class.targets) {
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

std::optional<std::uint64_t> fifo_queue::Victim() const {
  if (entries_.empty()) return std::nullopt;
  return entries_.rbegin()->first;
}

}  // namespace bluebell::routing
