#include "serving/host_digest.h"

#include <nlohmann/json.hpp>

namespace bluebell::serving {
namespace {

using nlohmann::json;

json EncodeModels(const resident_models& models) {
  json out = json::array();
  for (const auto& [model, adapters] : models) {
    json row = json::array({model.value()});
    for (const auto& adapter : adapters) row.push_back(adapter.value());
    out.push_back(std::move(row));
  }
  return out;
}

resident_models DecodeModels(const json& rows) {
  resident_models models;
  for (const auto& row : rows) {
    auto& adapters = models[model_id(row.at(0).get<std::string>())];
    for (std::size_t i = 1; i < row.size(); ++i) {
      adapters.insert(adapter_id(row[i].get<std::string>()));
    }
  }
  return models;
}

json EncodeNotice(const residency_notice& notice) {
  json removed = json::array();
  for (const auto& model : notice.removed) removed.push_back(model.value());
  json adapters = json::array();
  for (const auto& [model, adapter] : notice.removed_adapters) {
    adapters.push_back(json::array({model.value(), adapter.value()}));
  }
  return json::array({notice.engine.value(), notice.started_ms,
                      notice.order_count, EncodeModels(notice.added),
                      std::move(removed), std::move(adapters)});
}

residency_notice DecodeNotice(const json& row) {
  residency_notice notice;
  notice.engine = endpoint_id(row.at(0).get<std::string>());
  notice.started_ms = row.at(1).get<std::int64_t>();
  notice.order_count = row.at(2).get<std::int64_t>();
  notice.added = DecodeModels(row.at(3));
  for (const auto& model : row.at(4)) {
    notice.removed.insert(model_id(model.get<std::string>()));
  }
  for (const auto& pair : row.at(5)) {
    notice.removed_adapters.insert({model_id(pair.at(0).get<std::string>()),
                                    adapter_id(pair.at(1).get<std::string>())});
  }
  return notice;
}

}  // namespace

std::string EncodeDigest(const host_digest& digest) {
  json out;
  out["host"] = digest.host.value();
  out["inc"] = digest.incarnation;
  out["zone"] = digest.zone.value();
  out["front"] = digest.front_address;
  out["up"] = digest.uptime_ms;
  out["n"] = digest.number;
  out["state"] = (digest.serving ? 1 : 0) | (digest.leaving ? 2 : 0) |
                 (digest.hello ? 4 : 0);
  json& flight = out["flight"] = json::array();
  for (const auto& [engine, count] : digest.in_flight) {
    flight.push_back(json::array({engine.value(), count}));
  }
  json& quota = out["quota"] = json::array();
  for (const auto& use : digest.quota_uses) {
    quota.push_back(
        json::array({use.account.value(), static_cast<std::int64_t>(use.spent),
                     static_cast<std::int64_t>(use.asked_per_s)}));
  }
  if (!digest.demand.empty()) {
    json& demand = out["demand"] = json::array();
    for (const auto& use : digest.demand) {
      demand.push_back(
          json::array({use.model.value(), use.adapter.value(),
                       static_cast<std::int64_t>(use.requests_per_s * 1000)}));
    }
  }
  if (!digest.wants.empty()) {
    json& wants = out["wants"] = json::array();
    for (const auto& want : digest.wants) {
      wants.push_back(json::array({want.model.value(), want.adapter.value()}));
    }
  }
  if (!digest.notices.empty()) {
    json& notices = out["notices"] = json::array();
    for (const auto& notice : digest.notices) {
      notices.push_back(EncodeNotice(notice));
    }
  }
  if (!digest.crashes.empty()) out["crashes"] = digest.crashes;
  const auto bytes = json::to_cbor(out);
  return {bytes.begin(), bytes.end()};
}

result<host_digest> DecodeDigest(std::string_view bytes) {
  try {
    const json in = json::from_cbor(bytes.begin(), bytes.end());
    host_digest digest;
    digest.host = host_id(in.at("host").get<std::string>());
    digest.incarnation = in.at("inc").get<std::string>();
    digest.zone = zone_id(in.at("zone").get<std::string>());
    digest.front_address = in.at("front").get<std::string>();
    digest.uptime_ms = in.at("up").get<std::int64_t>();
    digest.number = in.at("n").get<std::uint64_t>();
    const int state = in.at("state").get<int>();
    digest.serving = state & 1;
    digest.leaving = state & 2;
    digest.hello = state & 4;
    for (const auto& row : in.at("flight")) {
      digest.in_flight[endpoint_id(row.at(0).get<std::string>())] =
          row.at(1).get<int>();
    }
    for (const auto& row : in.at("quota")) {
      digest.quota_uses.push_back({account_id(row.at(0).get<std::string>()),
                                   row.at(1).get<double>(),
                                   row.at(2).get<double>()});
    }
    if (in.contains("demand")) {
      for (const auto& row : in["demand"]) {
        digest.demand.push_back({model_id(row.at(0).get<std::string>()),
                                 adapter_id(row.at(1).get<std::string>()),
                                 row.at(2).get<double>() / 1000});
      }
    }
    if (in.contains("wants")) {
      for (const auto& row : in["wants"]) {
        digest.wants.push_back({model_id(row.at(0).get<std::string>()),
                                adapter_id(row.at(1).get<std::string>())});
      }
    }
    if (in.contains("notices")) {
      for (const auto& row : in["notices"]) {
        digest.notices.push_back(DecodeNotice(row));
      }
    }
    if (in.contains("crashes")) {
      digest.crashes = in["crashes"].get<std::map<std::string, int>>();
    }
    return digest;
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

}  // namespace bluebell::serving
