#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace bluebell::fleet {

/// Listener addresses of a host, each `IPv4:port`, and its availability zone.
struct host_addresses {
  std::string caller;
  std::string peer;
  std::string admin;
  zone_id zone;
};

/// The object `hosts/<host>`: the lease of a host, renewed by each write.
struct host_record {
  incarnation_id incarnation;
  host_addresses addresses;
  /// Version of the member list in use when the record was written; the host
  /// never returns to an older one.
  revision list_version;
  /// Sequence number of the write within the process, which lets a host
  /// recognise its own write after an unknown outcome.
  std::uint64_t write = 0;
  /// The host is draining.
  bool leaving = false;
  /// The host released the lease of this incarnation and no longer uses any
  /// right acquired under it.
  bool released = false;
};

/// The object `membership`: the hosts that form majorities.
struct member_list {
  std::vector<host_id> members;
  /// Version of the object; 0 if there is none.
  revision version;
  /// Members of the list that this one replaced.
  std::vector<host_id> previous;

  bool Contains(const host_id& host) const;
};

constexpr char kHostPrefix[] = "hosts/";
constexpr char kMembershipName[] = "membership";

nlohmann::json ToJson(const host_addresses& addresses);
nlohmann::json ToJson(const host_record& record);
nlohmann::json ToJson(const member_list& list);

/// The parsers fail with `kInvalidArgument`.
result<host_addresses> ParseAddresses(const nlohmann::json& value);
result<host_record> ParseRecord(const nlohmann::json& value);
result<member_list> ParseMembers(const nlohmann::json& value, revision version);

}  // namespace bluebell::fleet
