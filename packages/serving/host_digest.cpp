#include "serving/host_digest.h"

#include <nlohmann/json.hpp>

#include "base/nested_json.h"
#include "base/utf8.h"
#include "serving/cbor_message.h"
#include "serving/limit_codec.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;

std::map<std::string, int> ReadCounts(const json& object) {
  std::map<std::string, int> counts;
  for (const auto& [key, count] : object.items()) {
    counts[key] = ReadInteger<int>(count);
  }
  return counts;
}

// Logarithms are encoded as integers, in thousandths.
constexpr double kLogScale = 1000;

std::int64_t ToMilliseconds(clock::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

json EncodeNotice(const residency_notice& notice) {
  return json::array({notice.engine.value(), notice.started_ms,
                      notice.model.value(), notice.adapter.value(),
                      notice.present, ToMilliseconds(notice.age)});
}

residency_notice DecodeNotice(const json& row) {
  return {endpoint_id(row.at(0).get<std::string>()),
          ReadInteger<std::int64_t>(row.at(1)),
          model_id(row.at(2).get<std::string>()),
          adapter_id(row.at(3).get<std::string>()),
          row.at(4).get<bool>(),
          std::chrono::milliseconds(ReadInteger<std::int64_t>(row.at(5)))};
}

// The state of the host; not in partial digests.
void EncodeState(const host_digest& digest, json& out) {
  out["zone"] = digest.zone.value();
  out["front"] = digest.front_address;
  out["fwd"] = digest.forward_address;
  out["cap"] = digest.capacity;
  out["up"] = digest.uptime_ms;
  out["n"] = digest.number;
  out["state"] =
      (digest.serving ? 1 : 0) | (digest.leaving ? 2 : 0) |
      (digest.hello ? 4 : 0) | (digest.holds_placement_lease ? 8 : 0) |
      (digest.active ? 16 : 0) | (digest.engaged ? 32 : 0) |
      (digest.has_engine_contact ? 64 : 0) | (digest.engines_lost ? 128 : 0) |
      (digest.shares_room ? 256 : 0);
  json& flight = out["flight"] = json::array();
  for (const auto& [engine, count] : digest.in_flight) {
    flight.push_back(json::array({engine.value(), count}));
  }
  out["epoch"] = digest.quota_epoch;
  out["age"] = digest.quota_age_ms;
  json& quota = out["quota"] = json::array();
  for (const auto& entry : digest.quota_usages) {
    quota.push_back(json::array({entry.account.value(),
                                 static_cast<std::int64_t>(entry.spent),
                                 static_cast<std::int64_t>(entry.demand_per_s),
                                 static_cast<std::int64_t>(entry.level)}));
    if (entry.stated_level) {
      quota.back().push_back(static_cast<std::int64_t>(*entry.stated_level));
    }
  }
  if (digest.store) {
    out["store"] = json::array({ToMilliseconds(digest.store->read_age),
                                ToMilliseconds(digest.store->up_for)});
  }
  if (digest.config_version > 0) out["config"] = digest.config_version;
  if (!digest.demand.empty()) {
    json& demand = out["demand"] = json::array();
    for (const auto& entry : digest.demand) {
      demand.push_back(json::array(
          {entry.model.value(), entry.adapter.value(),
           static_cast<std::int64_t>(entry.requests_per_s * 1000)}));
    }
  }
}

void EncodeOutcomes(const outcome_report& report, json& out) {
  if (!report.sends.empty()) {
    json& sends = out["sends"] = json::array();
    for (const auto& count : report.sends) {
      sends.push_back(
          json::array({count.engine.value(), count.ended, count.failed}));
    }
  }
  if (!report.step_times.empty()) {
    json& step_times = out["paces"] = json::array();
    for (const auto& sample : report.step_times) {
      step_times.push_back(json::array(
          {sample.engine.value(), sample.model.value(),
           static_cast<std::int64_t>(sample.log_seconds * kLogScale),
           sample.count}));
    }
  }
}

outcome_report DecodeOutcomes(const json& in) {
  outcome_report report;
  if (in.contains("sends")) {
    for (const auto& row : in["sends"]) {
      report.sends.push_back({endpoint_id(row.at(0).get<std::string>()),
                              ReadInteger<int>(row.at(1)),
                              ReadInteger<int>(row.at(2))});
    }
  }
  if (in.contains("paces")) {
    for (const auto& row : in["paces"]) {
      report.step_times.push_back({endpoint_id(row.at(0).get<std::string>()),
                                   model_id(row.at(1).get<std::string>()),
                                   row.at(2).get<double>() / kLogScale,
                                   ReadInteger<int>(row.at(3))});
    }
  }
  return report;
}

// Evidence on a suspect: a prompt part or a request.
json EncodeEvidence(const std::string& suspect,
                    const std::vector<reported_crash>& reported,
                    const std::optional<clock::duration>& answered_age) {
  json crashes = json::array();
  for (const auto& seen : reported) {
    crashes.push_back(
        json::array({seen.engine.value(), ToMilliseconds(seen.age),
                     ToMilliseconds(seen.sent_age)}));
  }
  json row = json::array({suspect, std::move(crashes)});
  if (answered_age) row.push_back(ToMilliseconds(*answered_age));
  return row;
}

std::string DecodeSuspect(const json& row) {
  return row.at(0).get<std::string>();
}

std::vector<reported_crash> DecodeCrashes(const json& row) {
  using std::chrono::milliseconds;
  std::vector<reported_crash> crashes;
  for (const auto& seen : row.at(1)) {
    crashes.push_back({endpoint_id(seen.at(0).get<std::string>()),
                       milliseconds(ReadInteger<std::int64_t>(seen.at(1))),
                       milliseconds(ReadInteger<std::int64_t>(seen.at(2)))});
  }
  return crashes;
}

std::optional<clock::duration> DecodeAnsweredAge(const json& row) {
  if (row.size() <= 2) return std::nullopt;
  return std::chrono::milliseconds(ReadInteger<std::int64_t>(row.at(2)));
}

// The age of the naming is rounded up, that of the end down, so that a state
// does not seem to last longer than it does.
json EncodeBrittle(const brittle_notice& notice) {
  json row = json::array(
      {notice.service.value(), notice.refusals_per_s,
       std::chrono::ceil<std::chrono::milliseconds>(notice.named_age).count()});
  if (notice.free_age) row.push_back(ToMilliseconds(*notice.free_age));
  return row;
}

brittle_notice DecodeBrittle(const json& row) {
  brittle_notice notice{
      service_id(row.at(0).get<std::string>()), row.at(1).get<double>(),
      std::chrono::milliseconds(ReadInteger<std::int64_t>(row.at(2))),
      std::nullopt};
  if (row.size() > 3) {
    notice.free_age =
        std::chrono::milliseconds(ReadInteger<std::int64_t>(row.at(3)));
  }
  return notice;
}

// Adapter requests, notices and crashes, in every digest that has some.
void EncodeMessages(const host_digest& digest, json& out) {
  if (!digest.adapter_requests.empty()) {
    json& adapter_requests = out["wants"] = json::array();
    for (const auto& request : digest.adapter_requests) {
      adapter_requests.push_back(
          json::array({request.model.value(), request.adapter.value()}));
    }
  }
  if (!digest.notices.empty()) {
    json& notices = out["notices"] = json::array();
    for (const auto& notice : digest.notices) {
      notices.push_back(EncodeNotice(notice));
    }
  }
  if (!digest.requests.empty()) {
    json& requests = out["requests"] = json::array();
    for (const auto& entry : digest.requests) {
      requests.push_back(
          EncodeEvidence(entry.fingerprint, entry.crashes, entry.answered_age));
    }
  }
  if (!digest.crashes.empty()) out["crashes"] = digest.crashes;
  if (!digest.refuted_crashes.empty()) {
    out["refuted"] = digest.refuted_crashes;
  }
  if (!digest.limits.empty()) {
    json& limits = out["limits"] = json::array();
    for (const auto& entry : digest.limits) {
      limits.push_back(EncodeLimit(entry));
    }
  }
  if (!digest.brittle.empty()) {
    json& brittle = out["brittle"] = json::array();
    for (const auto& entry : digest.brittle) {
      brittle.push_back(EncodeBrittle(entry));
    }
  }
  if (!digest.parts.empty()) {
    json& parts = out["parts"] = json::array();
    for (const auto& entry : digest.parts) {
      parts.push_back(EncodeEvidence(entry.part.value(), entry.crashes,
                                     entry.answered_age));
    }
  }
}

void DecodeState(const json& in, host_digest& digest) {
  digest.zone = zone_id(in.at("zone").get<std::string>());
  digest.front_address = in.at("front").get<std::string>();
  digest.forward_address = in.value("fwd", "");
  digest.capacity = ReadInteger<int>(in.at("cap"));
  digest.uptime_ms = ReadInteger<std::int64_t>(in.at("up"));
  digest.number = ReadInteger<std::uint64_t>(in.at("n"));
  const int state = ReadInteger<int>(in.at("state"));
  digest.serving = state & 1;
  digest.leaving = state & 2;
  digest.hello = state & 4;
  digest.holds_placement_lease = state & 8;
  digest.active = state & 16;
  digest.engaged = state & 32;
  digest.has_engine_contact = state & 64;
  digest.engines_lost = state & 128;
  digest.shares_room = state & 256;
  for (const auto& row : in.at("flight")) {
    digest.in_flight[endpoint_id(row.at(0).get<std::string>())] =
        ReadInteger<int>(row.at(1));
  }
  digest.quota_epoch = ReadInteger<std::uint64_t>(in.at("epoch"));
  digest.quota_age_ms = ReadInteger<std::int64_t>(in.at("age"));
  for (const auto& row : in.at("quota")) {
    digest.quota_usages.push_back(
        {account_id(row.at(0).get<std::string>()), row.at(1).get<double>(),
         row.at(2).get<double>(), row.at(3).get<double>()});
    if (row.size() > 4) {
      digest.quota_usages.back().stated_level = row.at(4).get<double>();
    }
  }
  if (in.contains("store")) {
    digest.store = {
        std::chrono::milliseconds(ReadInteger<std::int64_t>(in["store"].at(0))),
        std::chrono::milliseconds(
            ReadInteger<std::int64_t>(in["store"].at(1)))};
  }
  digest.config_version = in.value("config", std::uint64_t{0});
  if (in.contains("demand")) {
    for (const auto& row : in["demand"]) {
      digest.demand.push_back({model_id(row.at(0).get<std::string>()),
                               adapter_id(row.at(1).get<std::string>()),
                               row.at(2).get<double>() / 1000});
    }
  }
}
}  // namespace

std::string EncodeDigest(const host_digest& digest) {
  json out;
  out["host"] = digest.host.value();
  out["inc"] = digest.incarnation;
  if (!digest.partial) EncodeState(digest, out);
  EncodeOutcomes(digest.outcomes, out);
  EncodeMessages(digest, out);
  return ToBytes(out);
}

result<host_digest> DecodeDigest(std::string_view bytes) {
  try {
    const json in = ParseCbor(bytes);
    host_digest digest;
    digest.host = host_id(in.at("host").get<std::string>());
    digest.incarnation = in.at("inc").get<std::string>();
    digest.partial = !in.contains("n");
    if (!digest.partial) DecodeState(in, digest);
    digest.outcomes = DecodeOutcomes(in);
    if (in.contains("wants")) {
      for (const auto& row : in["wants"]) {
        const auto model = row.at(0).get<std::string>();
        const auto adapter = row.at(1).get<std::string>();
        // A host of an older build passes on what a caller names.
        if (!IsUtf8(model) || !IsUtf8(adapter)) continue;
        digest.adapter_requests.push_back(
            {model_id(model), adapter_id(adapter)});
      }
    }
    if (in.contains("notices")) {
      for (const auto& row : in["notices"]) {
        digest.notices.push_back(DecodeNotice(row));
      }
    }
    if (in.contains("requests")) {
      for (const auto& row : in["requests"]) {
        digest.requests.push_back(
            {DecodeSuspect(row), DecodeCrashes(row), DecodeAnsweredAge(row)});
      }
    }
    if (in.contains("crashes")) {
      digest.crashes = ReadCounts(in["crashes"]);
    }
    if (in.contains("refuted")) {
      digest.refuted_crashes = ReadCounts(in["refuted"]);
    }
    if (in.contains("limits")) {
      for (const auto& row : in["limits"]) {
        digest.limits.push_back(DecodeLimit(row));
      }
    }
    if (in.contains("brittle")) {
      for (const auto& row : in["brittle"]) {
        digest.brittle.push_back(DecodeBrittle(row));
      }
    }
    if (in.contains("parts")) {
      for (const auto& row : in["parts"]) {
        digest.parts.push_back({prompt_part_id(DecodeSuspect(row)),
                                DecodeCrashes(row), DecodeAnsweredAge(row)});
      }
    }
    return digest;
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

}  // namespace bluebell::serving
