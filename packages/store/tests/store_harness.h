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
  /// Open connections stop responding; new ones work.
  kSilentConnections,
  kSilentWatches,
};

/// An object store and its platform, for tests that run against every
/// implementation.
class store_harness {
 public:
  virtual ~store_harness() = default;

  virtual object_store& store() = 0;
  virtual void Inject(store_fault fault) = 0;
  /// Ends all faults.
  virtual void ClearFaults() = 0;
  /// Advances time until `done` returns true; false after a bounded wait.
  virtual bool RunUntil(const std::function<bool()>& done) = 0;
  virtual std::int64_t calls() const = 0;
  virtual void SetHosts(const std::vector<listed_host>& hosts) = 0;
  /// Whether a dropped request is reported as not sent; over HTTP it can't be
  /// told from one that got no response.
  virtual bool DetectsUnsentRequests() const = 0;
};

/// `call_limit` is also added to the wait of a watch.
std::unique_ptr<store_harness> MakeMemoryHarness(
    std::chrono::milliseconds call_limit);
std::unique_ptr<store_harness> MakeHttpHarness(
    std::chrono::milliseconds call_limit);

}  // namespace bluebell::store
