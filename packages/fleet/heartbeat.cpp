#include "fleet/heartbeat.h"

namespace bluebell::fleet {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

void SetAge(json& body, const std::optional<milliseconds>& age) {
  if (age) body["contact_age_ms"] = age->count();
}

std::optional<milliseconds> GetAge(const json& body) {
  const auto found = body.find("contact_age_ms");
  if (found == body.end()) return std::nullopt;
  return milliseconds(found->get<std::uint32_t>());
}

tl::unexpected<error> Malformed(const json::exception& failure) {
  return Fail(error_code::kInvalidArgument, failure.what());
}

}  // namespace

json ToJson(const heartbeat& message) {
  json body{{"host", message.host.value()},
            {"incarnation", message.incarnation.value()},
            {"uptime_ms", message.uptime.count()},
            {"list_version", message.list_version.value()},
            {"config_revision", message.config_revision.value()},
            {"load", message.load},
            {"leaving", message.leaving},
            {"knows_receiver", message.knows_receiver}};
  SetAge(body, message.contact_age);
  if (message.addresses) body["addresses"] = ToJson(*message.addresses);
  return body;
}

result<heartbeat> ParseHeartbeat(const json& body) {
  try {
    heartbeat message;
    message.host = host_id(body.at("host").get<std::string>());
    message.incarnation =
        incarnation_id(body.at("incarnation").get<std::string>());
    message.uptime = milliseconds(body.at("uptime_ms").get<std::int64_t>());
    message.contact_age = GetAge(body);
    message.list_version =
        revision(body.at("list_version").get<std::uint64_t>());
    message.config_revision =
        revision(body.at("config_revision").get<std::uint64_t>());
    body.at("load").get_to(message.load);
    body.at("leaving").get_to(message.leaving);
    body.at("knows_receiver").get_to(message.knows_receiver);
    if (body.contains("addresses")) {
      const auto addresses = ParseAddresses(body.at("addresses"));
      if (!addresses) return tl::unexpected<error>(addresses.error());
      message.addresses = *addresses;
    }
    return message;
  } catch (const json::exception& failure) {
    return Malformed(failure);
  }
}

json ToJson(const directory& message) {
  json hosts = json::array();
  for (const auto& entry : message.hosts) {
    hosts.push_back(
        {{"host", entry.host.value()}, {"addresses", ToJson(entry.addresses)}});
  }
  json body{{"list", ToJson(message.list)},
            {"version", message.list.version.value()},
            {"hosts", hosts}};
  SetAge(body, message.contact_age);
  return body;
}

result<directory> ParseDirectory(const json& body) {
  try {
    directory message;
    const auto list = ParseMembers(
        body.at("list"), revision(body.at("version").get<std::uint64_t>()));
    if (!list) return tl::unexpected<error>(list.error());
    message.list = *list;
    message.contact_age = GetAge(body);
    for (const auto& item : body.at("hosts")) {
      const auto addresses = ParseAddresses(item.at("addresses"));
      if (!addresses) return tl::unexpected<error>(addresses.error());
      message.hosts.push_back(
          {host_id(item.at("host").get<std::string>()), *addresses});
    }
    return message;
  } catch (const json::exception& failure) {
    return Malformed(failure);
  }
}

}  // namespace bluebell::fleet
