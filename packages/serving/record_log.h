#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "serving/engine_record.h"

namespace bluebell::serving {

/// Changes of endpoint records after a position in a log.
struct record_delta {
  /// Identifies the log; positions are valid only within one log.
  std::string log;
  std::uint64_t from = 0;
  /// Position after these changes, and the end of the log.
  std::uint64_t to = 0;
  std::uint64_t end = 0;
  std::vector<engine_record> changed;
  std::vector<endpoint_id> removed;
  /// Version of the newest listing.
  store_version version;
  /// Records that this listing lacked and that are kept, with the version of
  /// the last listing that had them.
  std::map<endpoint_id, store_version> kept;
};

/// The records that a host has read from the store, as a log of changes that
/// other hosts follow without calls to the store. Keeps only the newest change
/// of each record.
class record_log {
 public:
  explicit record_log(std::string id) : id_(std::move(id)) {}

  /// Applies a listing. With `keep_missing`, records that are not listed are
  /// kept unless another endpoint uses their address. A process that was
  /// leaving stays so: a record that says otherwise is from an older copy of
  /// the store.
  void Update(const store_version& version,
              const std::vector<engine_record>& listed, bool keep_missing);
  /// At most `limit` changes after `from`; 0 starts with all records.
  record_delta Since(std::uint64_t from, std::size_t limit) const;
  std::vector<engine_record> Records() const;
  const store_version& version() const { return version_; }
  /// Position of the newest change.
  std::uint64_t end() const { return end_; }
  /// `record_delta::kept`.
  std::map<endpoint_id, store_version> Kept() const;

 private:
  struct entry {
    engine_record record;
    bool removed = false;
    std::uint64_t sequence = 0;
    /// The last listing that had the record.
    store_version listed_at;
  };

  std::string id_;
  store_version version_;
  std::uint64_t end_ = 0;
  std::map<endpoint_id, entry> entries_;
};

/// The follower's copy of another host's log.
class record_follower {
 public:
  /// Applies changes. Returns whether the copy has reached the end of the log.
  /// Changes that do not continue the copy are ignored.
  bool Apply(const record_delta& delta);
  /// Position to continue from; 0 for a log other than the followed one.
  std::uint64_t PositionIn(const std::string& log) const;
  std::vector<engine_record> Records() const;

 private:
  std::string log_;
  std::uint64_t position_ = 0;
  std::map<endpoint_id, engine_record> records_;
};

}  // namespace bluebell::serving
