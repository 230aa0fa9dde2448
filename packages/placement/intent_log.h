#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "store/object_store.h"

namespace bluebell::placement {

/// Intents of loads on engines that ignore fencing numbers: one object
/// `placement/<endpoint>` per engine, which lists every load whose order may
/// still take effect.
///
/// Each write is conditional on the version that this controller knows. A write
/// still in flight from an earlier controller therefore fails once this
/// controller has written, and its load is never ordered.
class intent_log {
 public:
  using loads = std::vector<std::pair<std::string, byte_count>>;
  /// Receives loads that another controller may have ordered.
  using merge_function = std::function<void(const endpoint_id&, const loads&)>;

  intent_log(store::object_store& store, merge_function merge);

  /// Reads the intents of all engines; `done` is called only after success.
  void ReadAll(std::function<void()> done);
  /// Writes the loads of an engine, if no write is in flight. `done` is called
  /// only after success; after a failure the object is read again.
  void Write(const endpoint_id& engine, const loads& open, std::uint64_t fence,
             std::function<void()> done);
  /// Whether the stored object, written by this controller in this term, lists
  /// the target.
  bool Covers(const endpoint_id& engine, const std::string& target) const;
  /// Clears all state at the end of a term of control.
  void Reset();

 private:
  struct record {
    std::uint64_t version = 0;
    bool busy = false;
    std::set<std::string> written;
  };

  void OnWritten(const endpoint_id& engine, const std::string& writer,
                 std::set<std::string> targets,
                 const store::write_result& outcome,
                 const std::function<void()>& done);
  void Reread(const endpoint_id& engine, const std::string& writer,
              std::set<std::string> targets, std::function<void()> done);
  void Merge(const endpoint_id& engine, const store::object& found);

  store::object_store& store_;
  merge_function merge_;
  std::map<endpoint_id, record> records_;
  /// Replaced at each reset, so that callbacks of an earlier term are ignored.
  std::shared_ptr<intent_log*> self_;
};

}  // namespace bluebell::placement
