#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "serving/record_log.h"

namespace bluebell::serving {

/// Request of a host that follows another host's reads of the store.
struct sync_request {
  /// Returned in the response, so that the sender can look up its send time.
  std::uint64_t number = 0;
  /// Log id and position of the sender's copy.
  std::string log;
  std::uint64_t position = 0;
};

/// Response of a host that reads the store itself.
struct sync_response {
  std::uint64_t number = 0;
  /// Version of the configuration, and time since the read that confirmed it
  /// was sent; none if there was no such read.
  std::uint64_t config_version = 0;
  std::optional<std::chrono::milliseconds> config_age;
  /// Its version has revision 0 if the host does not report one.
  record_delta records;
  /// Era of the store; none from hosts that do not report it.
  std::optional<std::uint64_t> store_era;
  /// Time since the read of the records was sent.
  std::chrono::milliseconds records_age{0};
  /// The evacuated zones, read after the records; none from hosts that do not
  /// read them.
  std::optional<std::set<zone_id>> evacuated = std::nullopt;
};

std::string EncodeSyncRequest(const sync_request& request);
std::string EncodeSyncResponse(const sync_response& response);
/// Errors `kInvalidArgument`.
result<sync_request> DecodeSyncRequest(std::string_view bytes);
result<sync_response> DecodeSyncResponse(std::string_view bytes);

}  // namespace bluebell::serving
