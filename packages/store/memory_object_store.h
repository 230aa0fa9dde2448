#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "store/object_store.h"

namespace bluebell::store {

/// Faults that tests switch on and off, for the whole platform or for one
/// client. Counters fall by one with each call they affect.
struct memory_faults {
  /// Nothing gets through: new calls fail with `kUnavailable` after the
  /// latency; the answers of open calls and watches are lost.
  bool outage = false;
  /// Added before a request takes effect. A call whose answer would come after
  /// the call limit ends at the limit, and a write still takes effect later.
  clock::duration delay{0};
  /// Number of following writes that take effect and end in `kOutcomeUnknown`.
  int lose_answers = 0;
  /// Number of following calls that end in `kUnavailable` without effect.
  int drop_requests = 0;
  /// Watches get no answer and end in `kUnavailable` at their time limit.
  bool silent_watches = false;
};

/// Number of calls by operation; a watch counts once.
struct call_counts {
  std::int64_t gets = 0;
  std::int64_t puts = 0;
  std::int64_t removes = 0;
  std::int64_t lists = 0;
  std::int64_t watches = 0;
  std::int64_t host_lists = 0;

  std::int64_t total() const {
    return gets + puts + removes + lists + watches + host_lists;
  }
};

/// The contents of an in-memory platform, shared by several clients. A request
/// takes effect half the latency after the call, and its answer arrives after
/// the other half. The clock must outlive the platform.
class memory_platform {
 public:
  static constexpr std::chrono::milliseconds kDefaultLatency{2};

  explicit memory_platform(clock& time,
                           clock::duration latency = kDefaultLatency);
  ~memory_platform();

  memory_faults& faults();
  void SetLatency(clock::duration latency);
  /// Sets the lagging list that `ListHosts` answers with.
  void SetHosts(std::vector<listed_host> hosts);

  /// Reads or writes an object at once, without a call.
  std::optional<object> Peek(const std::string& name) const;
  revision Seed(const std::string& name, nlohmann::json value);
  revision current() const;

  /// Calls that arrived at the platform, of all clients.
  const call_counts& counts() const;

  struct contents;

 private:
  friend class memory_object_store;
  std::shared_ptr<contents> contents_;
};

/// One client of an in-memory platform. Its own faults add to those of the
/// platform, so a test can cut off a single host. Destroying the client drops
/// its open callbacks; writes that are under way still take effect.
class memory_object_store final : public object_store {
 public:
  static constexpr std::chrono::milliseconds kDefaultCallLimit{2000};

  /// A call lasts at most `call_limit`, a watch its wait and `call_limit`.
  explicit memory_object_store(memory_platform& shared,
                               clock::duration call_limit = kDefaultCallLimit);
  ~memory_object_store() override;

  memory_faults& faults();
  /// Calls that this client made.
  const call_counts& counts() const;

  void Get(const std::string& name,
           std::function<void(result<object>)> done) override;
  void Put(const std::string& name, const nlohmann::json& value,
           std::optional<revision> expected,
           std::function<void(write_result)> done) override;
  void Remove(const std::string& name, revision expected,
              std::function<void(write_result)> done) override;
  void List(const std::string& prefix,
            std::function<void(result<object_list>)> done) override;
  void Watch(const std::string& prefix, revision after,
             std::chrono::milliseconds wait,
             std::function<void(result<object_list>)> done) override;
  void ListHosts(
      std::function<void(result<std::vector<listed_host>>)> done) override;

  struct client;

 private:
  std::shared_ptr<client> client_;
};

}  // namespace bluebell::store
