#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "serving/engine_record.h"
#include "serving/store_version.h"

namespace bluebell::serving {

/// The endpoint records in effect at a host, merged from its own reads of the
/// store, the readers that it follows, and the statements of endpoints.
///
/// Sources are ordered by the version of the store that they are as of, so that
/// a change of the source never restores an older state. A process that was
/// leaving stays so, even if a record contradicts.
///
/// Workload: hosts lose the store one by one and return while endpoints leave.
class engine_view {
 public:
  /// Applies `records` as of `version`. Those in `kept` were missing in the
  /// listing and are held in case they lapsed in an outage of the store, with
  /// the version of the last listing that had them. Earlier versions than that
  /// of the view are ignored.
  void Apply(const store_version& version, std::vector<engine_record> records,
             const std::map<endpoint_id, store_version>& kept);
  /// The applied records are also those of this later version.
  void Confirm(const store_version& version);
  /// The endpoint has stated that it is leaving. Returns whether this is new.
  bool OnLeaving(const endpoint_id& endpoint);

  std::vector<engine_record> Records() const;
  const store_version& version() const { return version_; }

 private:
  // Whether `record` describes a process that is known to be leaving.
  bool IsLeaving(const engine_record& record) const;

  store_version version_;
  std::map<endpoint_id, engine_record> records_;
  // Start times of processes that are leaving or have left. An unknown start
  // time (0) is kept only as long as the record is.
  std::map<endpoint_id, std::int64_t> leaving_;
};

}  // namespace bluebell::serving
