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
/// endpoint by weight whatever they wait for elsewhere. An account's virtual
/// start at an endpoint is its virtual finish there, or the endpoint's virtual
/// time if that is later. Accounts that stay backlogged never fall behind the
/// virtual time, because the earliest start is served first; the maximum
/// therefore lifts exactly the accounts that return, and idleness neither
/// gains credit nor costs anything.
class fair_queue final : public request_queue {
 public:
  void Push(const queue_entry& entry) override;
  std::optional<queue_entry> Pop(const endpoint_id& endpoint,
                                 const target_filter& serves,
                                 const entry_filter& accepts) override;
  void Remove(const queue_entry& entry) override;
  std::size_t size() const override { return size_; }
  std::optional<std::uint64_t> Victim() const override;

 private:
  /// Requests of one account for one target, in order of arrival.
  using account_queue = std::map<std::uint64_t, queue_entry>;

  struct priority_class {
    std::map<std::string, std::map<account_id, account_queue>> targets;
    /// Waiting cost per account.
    std::map<account_id, double> backlog;
  };

  /// Virtual time of one endpoint and priority.
  struct lane {
    double now = 0;
    std::unordered_map<account_id, double> finish;
  };

  void Erase(const queue_entry& entry);
  static void Charge(lane& at, const queue_entry& entry, double start);

  std::map<int, priority_class> classes_;
  std::map<std::pair<endpoint_id, int>, lane> lanes_;
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
  std::optional<std::uint64_t> Victim() const override;

 private:
  std::map<std::uint64_t, queue_entry> entries_;
};

}  // namespace bluebell::routing
