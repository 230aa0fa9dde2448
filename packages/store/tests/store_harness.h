#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "store/object_store.h"

namespace bluebell::store {

/// Faults that the contract tests inject into either implementation.
enum class store_fault {
  kNone,
  kOutage,
  kDropRequest,
  kLoseAnswer,
  kDelayBeyondLimit,
  /// Open connections go silent; new ones work.
  kSilentConnections,
  kSilentWatches,
};

/// An object store together with the platform behind it, for tests that run
/// over every implementation.
class store_harness {
 public:
  virtual ~store_harness() = default;

  virtual object_store& store() = 0;
  virtual void Inject(store_fault fault) = 0;
  /// Ends all faults.
  virtual void Heal() = 0;
  /// Lets time pass until `done` holds; false after a bounded wait.
  virtual bool RunUntil(const std::function<bool()>& done) = 0;
  virtual std::int64_t calls() const = 0;
  virtual void SetHosts(const std::vector<listed_host>& hosts) = 0;
  /// Whether a request that was sent and not answered can be told from one
  /// that was not sent; over HTTP it cannot.
  virtual bool KnowsDroppedRequests() const = 0;
};

/// `call_limit` is also the margin of watches.
std::unique_ptr<store_harness> MakeMemoryHarness(
    std::chrono::milliseconds call_limit);
std::unique_ptr<store_harness> MakeHttpHarness(
    std::chrono::milliseconds call_limit);

}  // namespace bluebell::store
