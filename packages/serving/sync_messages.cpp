#include "serving/sync_messages.h"

#include <nlohmann/json.hpp>

#include "base/nested_json.h"
#include "serving/cbor_message.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;

json EncodeRecord(const engine_record& record) {
  json resident = json::array();
  for (const auto& [model, adapters] : record.resident) {
    json row = json::array({model.value()});
    for (const auto& adapter : adapters) row.push_back(adapter.value());
    resident.push_back(std::move(row));
  }
  json in_memory = json::array();
  for (const auto& model : record.in_memory) in_memory.push_back(model.value());
  json on_disk = json::array();
  for (const auto& model : record.on_disk) on_disk.push_back(model.value());
  return json::array({record.id.value(), record.service.value(), record.address,
                      record.zone.value(), record.slots, record.leaving,
                      record.started_ms, std::move(resident),
                      std::move(in_memory), std::move(on_disk),
                      record.software.value(), record.cold_remaining.count()});
}

engine_record DecodeRecord(const json& row) {
  engine_record record;
  record.id = endpoint_id(row.at(0).get<std::string>());
  record.service = service_id(row.at(1).get<std::string>());
  record.address = row.at(2).get<std::string>();
  record.zone = zone_id(row.at(3).get<std::string>());
  record.slots = ReadInteger<int>(row.at(4));
  record.leaving = row.at(5).get<bool>();
  record.started_ms = ReadInteger<std::int64_t>(row.at(6));
  for (const auto& model : row.at(7)) {
    auto& adapters = record.resident[model_id(model.at(0).get<std::string>())];
    for (std::size_t i = 1; i < model.size(); ++i) {
      adapters.insert(adapter_id(model[i].get<std::string>()));
    }
  }
  for (const auto& model : row.at(8)) {
    record.in_memory.insert(model_id(model.get<std::string>()));
  }
  for (const auto& model : row.at(9)) {
    record.on_disk.insert(model_id(model.get<std::string>()));
  }
  if (row.size() > 10) {
    record.software = VersionFromRecord(row[10].get_ref<const std::string&>());
  }
  if (row.size() > 11) {
    record.cold_remaining =
        std::chrono::milliseconds(ReadInteger<std::int64_t>(row[11]));
  }
  return record;
}

}  // namespace

std::string EncodeSyncRequest(const sync_request& request) {
  return ToBytes(json::array({request.number, request.log, request.position}));
}

result<sync_request> DecodeSyncRequest(std::string_view bytes) {
  try {
    const json in = ParseCbor(bytes);
    return sync_request{ReadInteger<std::uint64_t>(in.at(0)),
                        in.at(1).get<std::string>(),
                        ReadInteger<std::uint64_t>(in.at(2))};
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

std::string EncodeSyncResponse(const sync_response& response) {
  json changed = json::array();
  for (const auto& record : response.records.changed) {
    changed.push_back(EncodeRecord(record));
  }
  json removed = json::array();
  for (const auto& id : response.records.removed) removed.push_back(id.value());
  auto message = json::array(
      {response.number, response.config_version,
       response.config_age ? response.config_age->count() : -1,
       response.records.log, response.records.from, response.records.to,
       response.records.end, std::move(changed), std::move(removed)});
  message.push_back(response.store_era ? json(*response.store_era) : json());
  message.push_back(response.records_age.count());
  const auto& version = response.records.version;
  message.push_back(json::array({version.era, version.revision}));
  json kept = json::array();
  for (const auto& [id, listed] : response.records.kept) {
    kept.push_back(json::array({id.value(), listed.era, listed.revision}));
  }
  message.push_back(std::move(kept));
  json evacuated;
  if (response.evacuated) {
    evacuated = json::array();
    for (const auto& zone : *response.evacuated) {
      evacuated.push_back(zone.value());
    }
  }
  message.push_back(std::move(evacuated));
  return ToBytes(message);
}

result<sync_response> DecodeSyncResponse(std::string_view bytes) {
  try {
    const json in = ParseCbor(bytes);
    sync_response response;
    response.number = ReadInteger<std::uint64_t>(in.at(0));
    response.config_version = ReadInteger<std::uint64_t>(in.at(1));
    const auto age = ReadInteger<std::int64_t>(in.at(2));
    if (age >= 0) response.config_age = std::chrono::milliseconds(age);
    response.records.log = in.at(3).get<std::string>();
    response.records.from = ReadInteger<std::uint64_t>(in.at(4));
    response.records.to = ReadInteger<std::uint64_t>(in.at(5));
    response.records.end = ReadInteger<std::uint64_t>(in.at(6));
    for (const auto& row : in.at(7)) {
      auto record = DecodeRecord(row);
      // A host of an older build passes on names that no request can carry.
      if (!IsEngineId(record.id.value())) continue;
      response.records.changed.push_back(std::move(record));
    }
    for (const auto& id : in.at(8)) {
      response.records.removed.push_back(endpoint_id(id.get<std::string>()));
    }
    if (in.size() > 9 && !in.at(9).is_null()) {
      response.store_era = ReadInteger<std::uint64_t>(in.at(9));
    }
    if (in.size() > 10) {
      response.records_age =
          std::chrono::milliseconds(ReadInteger<std::int64_t>(in.at(10)));
    }
    if (in.size() > 12) {
      response.records.version = {ReadInteger<std::uint64_t>(in.at(11).at(0)),
                                  ReadInteger<std::uint64_t>(in.at(11).at(1))};
      for (const auto& row : in.at(12)) {
        response.records.kept[endpoint_id(row.at(0).get<std::string>())] = {
            ReadInteger<std::uint64_t>(row.at(1)),
            ReadInteger<std::uint64_t>(row.at(2))};
      }
    }
    if (in.size() > 13 && !in.at(13).is_null()) {
      response.evacuated.emplace();
      for (const auto& zone : in.at(13)) {
        response.evacuated->emplace(zone.get<std::string>());
      }
    }
    return response;
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

}  // namespace bluebell::serving
