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

/// Faults that tests inject for the whole platform or for one client. Each
/// affected call decrements its counter.
struct memory_faults {
  /// New calls fail with `kUnavailable` after the latency; the responses of
  /// pending calls and watches are lost.
  bool outage = false;
  /// Added before a request takes effect. A call whose response would arrive
  /// after the call limit ends at the limit; a write still takes effect later.
  clock::duration delay{0};
  /// Number of next writes that take effect but end in `kOutcomeUnknown`.
  int lose_answers = 0;
  /// Number of next calls that end in `kUnavailable` without effect.
  int drop_requests = 0;
  /// Watches get no response and end in `kUnavailable` at their time limit.
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

/// An in-memory platform, shared by several clients. A request takes effect
/// half the latency after the call, and its response arrives after the other
/// half. The clock must outlive the platform.
class memory_platform {
 public:
  static constexpr std::chrono::milliseconds kDefaultLatency{2};

  explicit memory_platform(clock& time,
                           clock::duration latency = kDefaultLatency);
  ~memory_platform();

  memory_faults& faults();
  void SetLatency(clock::duration latency);
  /// Sets the host list that `ListHosts` returns.
  void SetHosts(std::vector<listed_host> hosts);

  /// Reads or writes an object directly, without a client call.
  std::optional<object> Peek(const std::string& name) const;
  revision Seed(const std::string& name, nlohmann::json value);
  revision current() const;

  /// Calls of all clients that reached the platform.
  const call_counts& counts() const;

  struct state;

 private:
  friend class memory_object_store;
  std::shared_ptr<state> state_;
};

/// One client of an in-memory platform. Its own faults add to those of the
/// platform, so a test can disconnect a single host. Destroying the client
/// drops its pending callbacks; writes in flight still take effect.
class memory_object_store final : public object_store {
 public:
  static constexpr std::chrono::milliseconds kDefaultCallLimit{2000};

  /// A call lasts at most `call_limit`, a watch at most its wait plus
  /// `call_limit`.
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
