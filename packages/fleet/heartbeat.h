#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "fleet/host_record.h"

namespace bluebell::fleet {

/// Message `ping` and its answer.
struct heartbeat {
  static constexpr char kType[] = "ping";

  host_id host;
  incarnation_id incarnation;
  /// Time since the process started.
  std::chrono::milliseconds uptime{0};
  /// Age of the most recent platform contact known to the sender.
  std::optional<std::chrono::milliseconds> contact_age;
  /// Version of the sender's member list.
  revision list_version;
  revision config_revision;
  double load = 0;
  bool leaving = false;
  /// Whether the sender knows the addresses of the receiver.
  bool knows_receiver = false;
  /// Addresses of the sender, omitted once the receiver knows them.
  std::optional<host_addresses> addresses;
};

/// Answer to the message `fleet_directory`, with which a host without platform
/// contact requests the member list and the host addresses from a peer.
struct directory {
  static constexpr char kType[] = "fleet_directory";

  struct entry {
    host_id host;
    host_addresses addresses;
  };

  member_list list;
  std::optional<std::chrono::milliseconds> contact_age;
  std::vector<entry> hosts;
};

nlohmann::json ToJson(const heartbeat& message);
nlohmann::json ToJson(const directory& message);

/// The parsers fail with `kInvalidArgument`.
result<heartbeat> ParseHeartbeat(const nlohmann::json& body);
result<directory> ParseDirectory(const nlohmann::json& body);

}  // namespace bluebell::fleet
