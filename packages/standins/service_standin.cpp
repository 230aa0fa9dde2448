#include "standins/service_standin.h"

#include <utility>

#include "base/digest.h"

namespace bluebell::standins {

using nlohmann::json;

service_standin::service_standin(clock& time, service_options options)
    : endpoint_standin(time), options_(std::move(options)) {
  if (options_.incarnation.empty()) options_.incarnation = MakeUniqueId();
}

bool service_standin::IsWork(const http_request& request) const {
  return !(request.method == "GET" && request.path == "/v1/load");
}

json service_standin::Counters() const {
  return {{"runs", total_},
          {"orders", runs_.size()},
          {"running", running_},
          {"queued", waiting_.size()},
          {"incarnation", options_.incarnation}};
}

json service_standin::Runs() const {
  return {{"runs", runs_}, {"total", total_}};
}

bool service_standin::HandleAdmin(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  if (request.method != "GET" || request.path != "/admin/runs") return false;
  exchange->Send(JsonResponse(200, Runs()));
  return true;
}

void service_standin::HandleOther(const exchange_ptr& exchange) {
  exchange->Send(JsonResponse(200, {{"incarnation", options_.incarnation},
                                    {"state", leaving() ? "leaving" : "live"},
                                    {"running", running_},
                                    {"queued", waiting_.size()},
                                    {"tokens_per_second", 0},
                                    {"sampled_ms_ago", 0},
                                    {"memory_total", 0},
                                    {"memory_used", 0},
                                    {"models", json::array()},
                                    {"adapters", json::array()},
                                    {"loading", json::array()}}));
}

void service_standin::HandleWork(const exchange_ptr& exchange) {
  if (exchange->request().method != "POST") {
    auto response = Answer(exchange->request());
    response.body = json{{"path", exchange->request().path}}.dump();
    return exchange->Send(std::move(response));
  }
  waiting_.push_back(exchange);
  StartWaiting();
}

void service_standin::StartWaiting() {
  while (running_ < options_.slots && !waiting_.empty()) {
    const auto exchange = waiting_.front();
    waiting_.pop_front();
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object() || !body.contains("order") ||
        !body["order"].is_string()) {
      exchange->Send(ErrorResponse(400, "invalid_body", "field order missing"));
      continue;
    }
    Start(exchange, body["order"].get<std::string>());
  }
}

void service_standin::Start(const exchange_ptr& exchange,
                            const std::string& order) {
  ++running_;
  ++total_;
  const auto run = ++runs_[order];
  Later(options_.run, [this, exchange, order, run] {
    auto response = Answer(exchange->request());
    response.body =
        json{{"order", order}, {"run", run}, {"path", exchange->request().path}}
            .dump();
    exchange->Send(std::move(response));
    --running_;
    StartWaiting();
  });
}

http_response service_standin::Answer(const http_request& request) const {
  http_response response;
  response.headers = {{"x-request-id", Header(request, "x-request-id")}};
  return response;
}

}  // namespace bluebell::standins
