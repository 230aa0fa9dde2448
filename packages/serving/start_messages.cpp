#include "serving/start_messages.h"

#include <map>

#include "serving/cbor_message.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;

}  // namespace

std::string EncodeStartReport(const std::vector<stream_start>& starts) {
  std::map<std::string, json> attempts;
  for (const auto& start : starts) {
    attempts[start.software.value()].push_back(start.attempt.value());
  }
  return ToBytes({{"starts", attempts}});
}

result<std::vector<stream_start>> DecodeStartReport(std::string_view bytes) {
  return Decoded(bytes, [](const json& in) {
    std::vector<stream_start> starts;
    for (const auto& [software, attempts] : in.at("starts").items()) {
      for (const auto& attempt : attempts) {
        starts.push_back({request_id(attempt.get<std::string>()),
                          software_version(software)});
      }
    }
    return starts;
  });
}

std::string EncodeStartQuery(const std::vector<request_id>& attempts) {
  json wanted = json::array();
  for (const auto& attempt : attempts) wanted.push_back(attempt.value());
  return ToBytes({{"wanted", std::move(wanted)}});
}

result<std::vector<request_id>> DecodeStartQuery(std::string_view bytes) {
  return Decoded(bytes, [](const json& in) {
    std::vector<request_id> attempts;
    for (const auto& attempt : in.at("wanted")) {
      attempts.emplace_back(attempt.get<std::string>());
    }
    return attempts;
  });
}

}  // namespace bluebell::serving
