#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/field_text.h"
#include "base/ids.h"
#include "serving/serving_config.h"
#include "serving/store_version.h"

namespace bluebell::serving {

/// Whether requests can name an engine by `id`. Other writers store records,
/// too, under names that a request's head cannot carry.
inline bool IsEngineId(std::string_view id) {
  return !id.empty() && IsFieldText(id);
}

/// The software version that a record states; empty if hosts cannot pass it on
/// to each other in a request's head.
inline software_version VersionFromRecord(const std::string& text) {
  return software_version(IsFieldText(text) ? text : std::string());
}

/// The models that an engine has in accelerator memory, each with the adapters
/// loaded for it.
using resident_models = std::map<model_id, std::set<adapter_id>>;

/// Stored record in which an endpoint describes itself.
struct engine_record {
  endpoint_id id;
  service_id service;
  /// `IPv4:port`.
  std::string address;
  zone_id zone;
  /// Empty if the record states none that can be read.
  software_version software;
  /// Requests processed concurrently.
  int slots = 1;
  /// Will stop accepting requests soon.
  bool leaving = false;
  /// Start time of the endpoint's process, Unix milliseconds; changes when an
  /// endpoint restarts under the same id.
  std::int64_t started_ms = 0;
  /// Time for which the endpoint stays cold, counted from the writing of the
  /// record; 0 if it is not cold.
  std::chrono::milliseconds cold_remaining{0};
  /// The record states a time that cannot be used. Known only to the hosts that
  /// read the store.
  bool cold_unusable = false;
  resident_models resident;
  /// Models whose weights are cached and load faster than from the weight
  /// store.
  std::set<model_id> in_memory;
  std::set<model_id> on_disk;

  friend bool operator==(const engine_record& a, const engine_record& b) {
    return std::tie(a.id, a.service, a.address, a.zone, a.software, a.slots,
                    a.leaving, a.started_ms, a.cold_remaining, a.cold_unusable,
                    a.resident, a.in_memory, a.on_disk) ==
           std::tie(b.id, b.service, b.address, b.zone, b.software, b.slots,
                    b.leaving, b.started_ms, b.cold_remaining, b.cold_unusable,
                    b.resident, b.in_memory, b.on_disk);
  }
};

/// The endpoint records of the store as of one of its versions.
struct engine_listing {
  store_version version;
  /// The same object as in the previous listing if no record has changed.
  std::shared_ptr<const std::vector<engine_record>> records;
  /// Set if the list could not be read to its end: endpoints with higher ids
  /// are unknown, not gone.
  std::optional<endpoint_id> read_to = std::nullopt;
};

/// Current state as reported by the engine itself; newer than its record.
struct engine_report {
  std::int64_t started_ms = 0;
  /// Orders accepted since the start.
  std::int64_t order_count = 0;
  /// A model is being loaded or unloaded.
  bool busy = false;
  resident_models resident;
  std::set<model_id> in_memory;
  std::set<model_id> on_disk;
};

}  // namespace bluebell::serving
