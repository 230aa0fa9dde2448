#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "serving/engine_record.h"

namespace bluebell::serving {

/// Changes of endpoint records after one point of a log.
struct record_delta {
  /// Identifies the log; numbers of another log mean nothing.
  std::string log;
  std::uint64_t from = 0;
  /// Position that the changes lead to, and the end of the log.
  std::uint64_t to = 0;
  std::uint64_t end = 0;
  std::vector<engine_record> changed;
  std::vector<endpoint_id> removed;
};

/// The records that a host has read from the store, as a numbered log of
/// changes, from which other hosts follow without calls to the store.
class record_log {
 public:
  explicit record_log(std::string id) : id_(std::move(id)) {}

  /// Takes in a listing. With `keep_missing`, records that are not listed stay.
  /// Returns whether anything changed.
  bool Update(const std::vector<engine_record>& listed, bool keep_missing);
  /// The changes after `from`, at most `limit`; from 0 all records.
  record_delta Since(std::uint64_t from, std::size_t limit) const;
  std::vector<engine_record> Records() const;

 private:
  struct entry {
    engine_record record;
    bool removed = false;
    std::uint64_t number = 0;
  };

  std::string id_;
  std::uint64_t end_ = 0;
  std::map<endpoint_id, entry> entries_;
};

/// The follower's copy of another host's log.
class record_follower {
 public:
  /// Takes in changes. Returns whether the copy is complete up to the log's
  /// end. Changes that do not continue the copy are ignored.
  bool Apply(const record_delta& delta);
  /// Position to ask for; 0 for another log than the one followed.
  std::uint64_t PositionIn(const std::string& log) const;
  std::vector<engine_record> Records() const;

 private:
  std::string log_;
  std::uint64_t position_ = 0;
  std::map<endpoint_id, engine_record> records_;
};

}  // namespace bluebell::serving
