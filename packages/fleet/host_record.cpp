#include "fleet/host_record.h"

#include <algorithm>

namespace bluebell::fleet {
namespace {

using nlohmann::json;

// Runs `read` and converts its exception for a missing field or a wrong type
// into an error.
template <class T, class Read>
result<T> Parse(const char* what, Read read) {
  try {
    return read();
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument,
                std::string(what) + ": " + failure.what());
  }
}

json ToJson(const std::vector<host_id>& hosts) {
  json names = json::array();
  for (const auto& host : hosts) names.push_back(host.value());
  return names;
}

std::vector<host_id> ParseHosts(const json& names) {
  std::vector<host_id> hosts;
  for (const auto& name : names) hosts.emplace_back(name.get<std::string>());
  return hosts;
}

}  // namespace

bool member_list::Contains(const host_id& host) const {
  return std::find(members.begin(), members.end(), host) != members.end();
}

json ToJson(const host_addresses& addresses) {
  return {{"caller", addresses.caller},
          {"peer", addresses.peer},
          {"admin", addresses.admin},
          {"zone", addresses.zone.value()}};
}

json ToJson(const host_record& record) {
  return {{"incarnation", record.incarnation.value()},
          {"addresses", ToJson(record.addresses)},
          {"list_version", record.list_version.value()},
          {"write", record.write},
          {"leaving", record.leaving},
          {"released", record.released}};
}

json ToJson(const member_list& list) {
  return {{"members", ToJson(list.members)},
          {"previous", ToJson(list.previous)}};
}

result<host_addresses> ParseAddresses(const json& value) {
  return Parse<host_addresses>("host addresses", [&value] {
    host_addresses addresses;
    value.at("caller").get_to(addresses.caller);
    value.at("peer").get_to(addresses.peer);
    value.at("admin").get_to(addresses.admin);
    addresses.zone = zone_id(value.at("zone").get<std::string>());
    return addresses;
  });
}

result<host_record> ParseRecord(const json& value) {
  return Parse<host_record>("host record", [&value]() -> result<host_record> {
    const auto addresses = ParseAddresses(value.at("addresses"));
    if (!addresses) return tl::unexpected<error>(addresses.error());
    host_record record;
    record.incarnation =
        incarnation_id(value.at("incarnation").get<std::string>());
    record.addresses = *addresses;
    record.list_version =
        revision(value.at("list_version").get<std::uint64_t>());
    value.at("write").get_to(record.write);
    value.at("leaving").get_to(record.leaving);
    value.at("released").get_to(record.released);
    return record;
  });
}

result<member_list> ParseMembers(const json& value, revision version) {
  return Parse<member_list>("membership", [&value, version] {
    member_list list;
    list.members = ParseHosts(value.at("members"));
    list.previous = ParseHosts(value.at("previous"));
    list.version = version;
    return list;
  });
}

}  // namespace bluebell::fleet
