#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "routing/request_queue.h"

namespace bluebell::routing {

/// Weighted fair queueing over client accounts within each priority.
///
/// Each endpoint has its own virtual time, so that accounts share every
/// endpoint by weight, whatever they wait for elsewhere. An account's start
/// tag at an endpoint is the larger of its last finish tag there and the
/// endpoint's virtual time. The request with the smallest start tag is served
/// first, so the finish tag of a backlogged account never falls behind the
/// virtual time. The virtual time therefore applies only to accounts that
/// return, and an idle account neither gains credit nor is penalised.
class fair_queue final : public request_queue {
 public:
  void Push(const queue_entry& entry) override;
  std::optional<queue_entry> Pop(const endpoint_id& endpoint,
                                 const target_filter& serves,
                                 const entry_filter& accepts) override;
  void Remove(const queue_entry& entry) override;
  std::size_t size() const override { return size_; }
  std::optional<std::uint64_t> EvictionCandidate() const override;

 private:
  /// Requests of one account for one target, in order of arrival.
  using account_queue = std::map<std::uint64_t, queue_entry>;

  struct priority_class {
    std::map<std::string, std::map<account_id, account_queue>> targets;
    /// Cost per weight of the waiting requests of each account.
    std::map<account_id, double> backlog;
  };

  /// Virtual time of one endpoint and priority, with the finish tag of each
  /// account.
  struct virtual_clock {
    double now = 0;
    std::unordered_map<account_id, double> finish;
  };

  void Erase(const queue_entry& entry);
  static void Charge(virtual_clock& virtual_time, const queue_entry& entry,
                     double start);

  std::map<int, priority_class> classes_;
  std::map<std::pair<endpoint_id, int>, virtual_clock> virtual_clocks_;
  std::size_t size_ = 0;
};

/// Baseline: one queue in order of arrival for all accounts and priorities.
class fifo_queue final : public request_queue {
 public:
  void Push(const queue_entry& entry) override;
  std::optional<queue_entry> Pop(const endpoint_id& endpoint,
                                 const target_filter& serves,
                                 const entry_filter& accepts) override;
  void Remove(const queue_entry& entry) override;
  std::size_t size() const override { return entries_.size(); }
  std::optional<std::uint64_t> EvictionCandidate() const override;

 private:
  std::map<std::uint64_t, queue_entry> entries_;
};

}  // namespace bluebell::routing
