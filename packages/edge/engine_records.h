#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "edge/change_signal.h"
#include "edge/decision_log.h"
#include "edge/edge_metrics.h"
#include "serving/engine_fleet.h"
#include "serving/engine_statement.h"
#include "serving/engine_view.h"
#include "serving/stream_versions.h"

namespace bluebell::edge {

/// The endpoint records in effect at this host. Passes them on to the fleet,
/// and logs the source of each change of an engine's state.
class engine_records {
 public:
  /// All arguments must outlive the object.
  engine_records(const clock& source, decision_log& log, edge_metrics& metrics,
                 serving::engine_fleet& fleet,
                 serving::stream_versions& versions, change_signal& changed)
      : clock_(source),
        log_(log),
        metrics_(metrics),
        fleet_(fleet),
        versions_(versions),
        changed_(changed) {}

  const serving::store_version& version() const { return view_.version(); }
  /// The records in effect were those of the store at this time; none before
  /// the first ones.
  std::optional<clock::time_point> read_at() const { return read_at_; }
  /// `engine_view::Apply`. `source`: "store", or the host that was followed;
  /// `read_at`: when it read the records.
  void Apply(const serving::store_version& version,
             std::vector<serving::engine_record> records,
             const std::map<endpoint_id, serving::store_version>& kept,
             const std::string& source, clock::time_point read_at);
  /// `engine_view::Confirm`; the records were read at `read_at`.
  void Confirm(const serving::store_version& version,
               clock::time_point read_at) {
    view_.Confirm(version);
    OnRead(read_at);
    versions_.OnConfirmed(read_at);
  }
  /// The time for which a process stays cold, as its record stated at
  /// `read_at`; none if that time cannot be used.
  struct cold_reading {
    endpoint_id engine;
    std::int64_t started_ms = 0;
    std::optional<std::chrono::milliseconds> remaining;
    clock::time_point read_at;
  };
  /// Readings since the last call, from records that were new or changed. A
  /// record repeats its value until the engine writes it again, which would
  /// prolong the cold period with each listing.
  std::vector<cold_reading> TakeColdReadings() {
    return std::exchange(cold_readings_, {});
  }
  /// An answer of `engine` held `statement`.
  void OnStatement(const endpoint_id& engine,
                   const serving::engine_statement& statement);

 private:
  void OnRead(clock::time_point read_at) {
    read_at_ = std::max(read_at_.value_or(read_at), read_at);
  }
  void ReadCold(const std::vector<serving::engine_record>& records,
                clock::time_point read_at);
  // Tells which versions of each service are listed.
  void PublishVersions(clock::time_point read_at);
  void Publish(const std::string& source, clock::time_point known_at);

  const clock& clock_;
  decision_log& log_;
  edge_metrics& metrics_;
  serving::engine_fleet& fleet_;
  serving::stream_versions& versions_;
  change_signal& changed_;
  serving::engine_view view_;
  std::optional<clock::time_point> read_at_;
  /// Whether each engine is leaving, as published last.
  std::map<endpoint_id, bool> leaving_;
  /// Records that state a cold time above 0 or an unusable one, as read last.
  std::map<endpoint_id, serving::engine_record> read_;
  std::vector<cold_reading> cold_readings_;
};

}  // namespace bluebell::edge
