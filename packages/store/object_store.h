#pragma once

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::store {

/// One object of the platform's object API. Writers may store anything: a value
/// that cannot be read is null.
struct object {
  std::string name;
  revision version;
  nlohmann::json value;
};

/// Objects under a prefix, or those that changed since a revision.
struct object_list {
  std::vector<object> items;
  /// Revision of the store that the list reflects; the next watch starts here.
  revision as_of;
};

/// Version conflict of a conditional write.
struct write_conflict {
  /// The object as it is now; empty if it does not exist.
  std::optional<object> current;
};

/// Failure of a write. `conflict` is set only with `error_code::kConflict`.
struct write_error {
  error cause;
  std::optional<write_conflict> conflict;
};

using write_result = tl::expected<revision, write_error>;

/// Live or leaving host in the platform's host list, which may be stale.
struct listed_host {
  host_id id;
  bool leaving = false;
};

/// The platform's object API, which holds all durable state.
///
/// Every call invokes its callback exactly once, within the time limit of the
/// implementation. Errors: `kNotFound`, `kConflict`, `kTooLarge` (value above
/// 1 MB), `kUnavailable` (the operation had no effect) and `kOutcomeUnknown`
/// (the write may have taken effect).
class object_store {
 public:
  /// Expected version of an object that must not exist yet.
  static constexpr std::uint64_t kAbsent = 0;
  /// Largest value, in bytes of its JSON text.
  static constexpr std::size_t kMaxValueBytes = 1'000'000;

  virtual ~object_store() = default;

  virtual void Get(const std::string& name,
                   std::function<void(result<object>)> done) = 0;
  /// Writes `value` if the object's version is `expected`; no `expected`
  /// writes unconditionally. Returns the new version.
  virtual void Put(const std::string& name, const nlohmann::json& value,
                   std::optional<revision> expected,
                   std::function<void(write_result)> done) = 0;
  /// Removes the object if its version is `expected`; an object that does not
  /// exist is a conflict without a current object. Returns the revision of the
  /// removal.
  virtual void Remove(const std::string& name, revision expected,
                      std::function<void(write_result)> done) = 0;
  virtual void List(const std::string& prefix,
                    std::function<void(result<object_list>)> done) = 0;
  /// Returns the objects under `prefix` with a version above `after` as soon as
  /// there are any, or an empty list after `wait`. Removals are not reported.
  virtual void Watch(const std::string& prefix, revision after,
                     std::chrono::milliseconds wait,
                     std::function<void(result<object_list>)> done) = 0;
  virtual void ListHosts(
      std::function<void(result<std::vector<listed_host>>)> done) = 0;
};

}  // namespace bluebell::store
