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

http_response JsonResponse(int status, const nlohmann::json& body) {
  http_response response;
  response.status = status;
  response.fields.Add("Content-Type", "application/json");
  response.body = body.dump();
  return response;
}

std::vector<std::unique_ptr<filter>> MakeFilters(
    const gateway_dependencies& dependencies, const dispatch_limits& limits) {
  std::vector<std::unique_ptr<filter>> filters;
  filters.push_back(std::make_unique<relay_filter>(
      dependencies.time, dependencies.events, dependencies.metrics));
  filters.push_back(
      std::make_unique<identify_filter>(dependencies.rows, dependencies.fleet));
  filters.push_back(std::make_unique<parse_filter>(dependencies.rows));
  filters.push_back(std::make_unique<admit_filter>(dependencies.context,
                                                   dependencies.admission));
  filters.push_back(std::make_unique<deduplicate_filter>(dependencies.context,
                                                         dependencies.records));
  filters.push_back(std::make_unique<schedule_filter>(dependencies.context,
                                                      dependencies.scheduler));
  filters.push_back(std::make_unique<dispatch_filter>(
      dependencies.context, dependencies.time, dependencies.metrics, limits));
  return filters;
}

}  // namespace

result<std::unique_ptr<gateway>> gateway::Create(
    const gateway_dependencies& dependencies, const gateway_options& options) {
  std::unique_ptr<gateway> created(new gateway(dependencies, options));
  auto* self = created.get();
  auto server = http_server::Listen(
      dependencies.context, options.listen, options.http,
      [self](const http_request& request, response_writer& writer,
             boost::asio::yield_context yield) {
        self->Handle(request, writer, yield);
      },
      [self](problem_code code, std::string detail) {
        self->dependencies_.metrics.RecordRequest(account_id("open"),
                                                  Describe(code).code);
        return ToResponse({code, std::move(detail), executed::kNo},
                          request_id(MakeUniqueId()));
      });
  if (!server) return tl::unexpected(server.error());
  created->server_ = std::move(*server);
  return created;
}

gateway::gateway(const gateway_dependencies& dependencies,
                 const gateway_options& options)
    : dependencies_(dependencies),
      pipeline_(MakeFilters(dependencies, options.dispatch)) {}

void gateway::Handle(const http_request& request, response_writer& writer,
                     boost::asio::yield_context yield) {
  http_response local;
  if (HandleLocalRequest(request, local)) {
    writer.SendResponse(local, yield);
    return;
  }
  exchange current(request, writer);
  current.id = request_id(MakeUniqueId());
  pipeline_.Process(current, yield);
}

// Handles requests about the host itself; returns false for other paths.
bool gateway::HandleLocalRequest(const http_request& request,
                                 http_response& response) {
  if (request.path == "/v1/entry-hosts") {
    response = EntryHosts(request);
  } else if (request.path == "/v1/models") {
    response = Models();
  } else if (request.path == "/healthz") {
    response = JsonResponse(200, {{"status", "alive"}});
  } else if (request.path == "/readyz") {
    response = Readiness();
  } else if (request.path == "/metrics") {
    response = Metrics();
  } else {
    return false;
  }
  if (request.method != "GET") {
    response = ToResponse({problem_code::kMethodNotAllowed,
                           request.path + " takes GET", executed::kNo},
                          request_id(MakeUniqueId()));
  }
  return true;
}

http_response gateway::EntryHosts(const http_request& request) const {
  const zone_id zone(QueryValue(request.query, "zone"));
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& host : dependencies_.fleet.EntryHosts(zone)) {
    hosts.push_back({{"id", host.id.value()},
                     {"address", host.address},
                     {"zone", host.zone.value()}});
  }
  return JsonResponse(200, {{"hosts", std::move(hosts)},
                            {"ttl_seconds", kEntryHostsTtl.count()}});
}

http_response gateway::Models() const {
  nlohmann::json data = nlohmann::json::array();
  for (const auto& [id, row] : dependencies_.rows.models()) {
    data.push_back({{"id", id.value()}, {"object", "model"}});
  }
  for (const auto& [id, row] : dependencies_.rows.adapters()) {
    data.push_back({{"id", id.value()},
                    {"object", "model"},
                    {"parent", row.model.value()}});
  }
  return JsonResponse(200, {{"object", "list"}, {"data", std::move(data)}});
}

http_response gateway::Readiness() const {
  const auto status = dependencies_.fleet.status();
  nlohmann::json reasons = nlohmann::json::array();
  if (!dependencies_.rows.complete()) {
    reasons.push_back(
        "no configuration: neither the platform nor a peer that has one "
        "answered yet");
  }
  if (status == fleet::host_status::kIsolated) {
    reasons.push_back("isolated: no platform contact and no majority of hosts");
  }
  const bool ready = reasons.empty();
  return JsonResponse(ready ? 200 : 503, {{"ready", ready},
                                          {"fleet_status", ToString(status)},
                                          {"reasons", std::move(reasons)}});
}

http_response gateway::Metrics() {
  dependencies_.metrics.SetGauge("open_requests",
                                 static_cast<double>(server_->open_requests()));
  dependencies_.metrics.SetGauge(
      "open_connections", static_cast<double>(server_->open_connections()));
  dependencies_.metrics.SetGauge(
      "configuration_revision",
      static_cast<double>(dependencies_.rows.newest().value()));
  http_response response;
  response.fields.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = dependencies_.metrics.Serialize();
  return response;
}

}  // namespace bluebell::gateway
