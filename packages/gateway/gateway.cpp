#include "gateway/gateway.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "gateway/admit_filter.h"
#include "gateway/deduplicate_filter.h"
#include "gateway/identify_filter.h"
#include "gateway/parse_filter.h"
#include "gateway/relay_filter.h"
#include "gateway/schedule_filter.h"

namespace bluebell::gateway {
namespace {

http_answer JsonAnswer(int status, const nlohmann::json& body) {
  http_answer answer;
  answer.status = status;
  answer.fields.Add("Content-Type", "application/json");
  answer.body = body.dump();
  return answer;
}

std::vector<std::unique_ptr<filter>> MakeFilters(
    const gateway_parts& parts, const dispatch_limits& limits) {
  std::vector<std::unique_ptr<filter>> filters;
  filters.push_back(
      std::make_unique<relay_filter>(parts.time, parts.events, parts.metrics));
  filters.push_back(std::make_unique<identify_filter>(parts.rows, parts.fleet));
  filters.push_back(std::make_unique<parse_filter>(parts.rows));
  filters.push_back(
      std::make_unique<admit_filter>(parts.context, parts.admission));
  filters.push_back(
      std::make_unique<deduplicate_filter>(parts.context, parts.records));
  filters.push_back(
      std::make_unique<schedule_filter>(parts.context, parts.scheduler));
  filters.push_back(std::make_unique<dispatch_filter>(parts.context, parts.time,
                                                      parts.metrics, limits));
  return filters;
}

}  // namespace

result<std::unique_ptr<gateway>> gateway::Create(
    const gateway_parts& parts, const gateway_options& options) {
  std::unique_ptr<gateway> created(new gateway(parts, options));
  auto* self = created.get();
  auto server = http_server::Listen(
      parts.context, options.listen, options.http,
      [self](const http_request& request, answer_sink& answer,
             boost::asio::yield_context yield) {
        self->Handle(request, answer, yield);
      },
      [self](problem_code code, std::string detail) {
        self->parts_.metrics.RecordEnd(account_id("open"), Describe(code).code);
        return ToAnswer({code, std::move(detail), executed::kNo},
                        request_id(MakeUniqueId()));
      });
  if (!server) return tl::unexpected(server.error());
  created->server_ = std::move(*server);
  return created;
}

gateway::gateway(const gateway_parts& parts, const gateway_options& options)
    : parts_(parts), pipeline_(MakeFilters(parts, options.dispatch)) {}

void gateway::Handle(const http_request& request, answer_sink& answer,
                     boost::asio::yield_context yield) {
  http_answer local;
  if (AnswerLocally(request, local)) {
    answer.SendWhole(local, yield);
    return;
  }
  exchange current(request, answer);
  current.id = request_id(MakeUniqueId());
  pipeline_.Process(current, yield);
}

// Answers questions about the host itself; returns false for other paths.
bool gateway::AnswerLocally(const http_request& request, http_answer& answer) {
  if (request.path == "/v1/entry-hosts") {
    answer = EntryHosts(request);
  } else if (request.path == "/v1/models") {
    answer = Models();
  } else if (request.path == "/healthz") {
    answer = JsonAnswer(200, {{"status", "alive"}});
  } else if (request.path == "/readyz") {
    answer = Readiness();
  } else if (request.path == "/metrics") {
    answer = Metrics();
  } else {
    return false;
  }
  if (request.method != "GET") {
    answer = ToAnswer({problem_code::kMethodNotAllowed,
                       request.path + " takes GET", executed::kNo},
                      request_id(MakeUniqueId()));
  }
  return true;
}

http_answer gateway::EntryHosts(const http_request& request) const {
  const zone_id zone(QueryValue(request.query, "zone"));
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& host : parts_.fleet.EntryHosts(zone)) {
    hosts.push_back({{"id", host.id.value()},
                     {"address", host.address},
                     {"zone", host.zone.value()}});
  }
  return JsonAnswer(200, {{"hosts", std::move(hosts)},
                          {"ttl_seconds", kAddressLifetime.count()}});
}

http_answer gateway::Models() const {
  nlohmann::json data = nlohmann::json::array();
  for (const auto& [id, row] : parts_.rows.models()) {
    data.push_back({{"id", id.value()}, {"object", "model"}});
  }
  for (const auto& [id, row] : parts_.rows.adapters()) {
    data.push_back({{"id", id.value()},
                    {"object", "model"},
                    {"parent", row.model.value()}});
  }
  return JsonAnswer(200, {{"object", "list"}, {"data", std::move(data)}});
}

http_answer gateway::Readiness() const {
  const auto status = parts_.fleet.status();
  nlohmann::json reasons = nlohmann::json::array();
  if (!parts_.rows.complete()) {
    reasons.push_back(
        "no configuration: neither the platform nor a peer that has one "
        "answered yet");
  }
  if (status == fleet::host_status::kIsolated) {
    reasons.push_back("isolated: no platform contact and no majority of hosts");
  }
  const bool ready = reasons.empty();
  return JsonAnswer(ready ? 200 : 503, {{"ready", ready},
                                        {"fleet_status", ToString(status)},
                                        {"reasons", std::move(reasons)}});
}

http_answer gateway::Metrics() {
  parts_.metrics.SetGauge("open_requests",
                          static_cast<double>(server_->open_requests()));
  parts_.metrics.SetGauge("open_connections",
                          static_cast<double>(server_->open_connections()));
  parts_.metrics.SetGauge("configuration_revision",
                          static_cast<double>(parts_.rows.newest().value()));
  http_answer answer;
  answer.fields.Add("Content-Type", "text/plain; version=0.0.4");
  answer.body = parts_.metrics.Serialize();
  return answer;
}

}  // namespace bluebell::gateway
