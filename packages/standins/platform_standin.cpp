#include "standins/platform_standin.h"

#include <algorithm>
#include <utility>

#include "standins/json_http.h"

namespace bluebell::standins {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kLongestWait{60'000};
const std::string kObjects = "/v1/objects/";

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

platform_standin::platform_standin(clock& time,
                                   std::chrono::milliseconds hosts_lag)
    : time_(time), hosts_lag_(hosts_lag) {}

void platform_standin::Later(clock::duration delay,
                             std::function<void()> action) {
  if (delay <= clock::duration::zero()) return action();
  const auto id = next_timer_++;
  timers_[id] = time_.CallAfter(delay, [this, id, action = std::move(action)] {
    const auto own = timers_.extract(id);
    action();
  });
}

void platform_standin::Handle(const exchange_ptr& exchange) {
  if (HasPrefix(exchange->request().path, "/admin/")) {
    return HandleAdmin(exchange);
  }
  HandleCall(exchange);
}

void platform_standin::HandleAdmin(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  const std::string call = request.method + " " + request.path;
  if (call == "GET /admin/counters") {
    return exchange->Send(JsonResponse(200, Counters()));
  }
  const json body = json::parse(request.body, nullptr, false);
  if (call == "POST /admin/faults") {
    const auto applied = ApplyFaults(body, exchange.get());
    return exchange->Send(
        applied ? JsonResponse(200, json::object())
                : ErrorResponse(400, "invalid_fault", applied.error().detail));
  }
  if (call == "PUT /admin/hosts" && body.is_object() &&
      body.contains("hosts")) {
    SetHosts(body["hosts"]);
    return exchange->Send(JsonResponse(200, json::object()));
  }
  exchange->Send(ErrorResponse(404, "not_found", call));
}

result<void> platform_standin::ApplyFaults(const json& fields,
                                           const http_exchange* spared) {
  const bool outage_before = faults_.outage;
  bool freeze = false;
  auto failure =
      ReadFields(fields, {{"outage", Flag(faults_.outage)},
                          {"delay_ms", Duration(faults_.delay)},
                          {"lose_answers", Count(faults_.lose_answers)},
                          {"drop_requests", Count(faults_.drop_requests)},
                          {"silent_watches", Flag(faults_.silent_watches)},
                          {"freeze_connections", Flag(freeze)}});
  if (!failure) return failure;
  if (freeze && on_freeze_) on_freeze_(spared);
  if (faults_.outage != outage_before) {
    if (faults_.outage) {
      const auto cut = std::move(waiters_);
      waiters_.clear();
      for (const auto& watch : cut) watch.exchange->Close();
    }
    if (on_outage_) on_outage_(faults_.outage);
  }
  return {};
}

json platform_standin::Counters() const {
  json all = {{"calls", 0},   {"gets", 0},    {"puts", 0},
              {"removes", 0}, {"lists", 0},   {"watches", 0},
              {"hosts", 0},   {"waiting", 0}, {"revision", last_}};
  for (const auto& [name, value] : counters_) all[name] = value;
  all["waiting"] = waiters_.size();
  return all;
}

void platform_standin::SetHosts(const json& hosts) {
  Later(hosts_lag_, [this, hosts] { hosts_ = hosts; });
}

void platform_standin::HandleCall(const exchange_ptr& exchange) {
  if (faults_.outage) return exchange->Close();
  if (TakeOne(faults_.drop_requests)) return exchange->Close();
  Later(faults_.delay, [this, exchange] {
    if (faults_.outage) return exchange->Close();
    Run(exchange);
  });
}

void platform_standin::Run(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  ++counters_["calls"];
  if (HasPrefix(request.path, kObjects) &&
      request.path.size() > kObjects.size()) {
    return RunObject(exchange, request.path.substr(kObjects.size()));
  }
  if (request.method == "GET" && request.path == "/v1/list") {
    ++counters_["lists"];
    return exchange->Send(
        JsonResponse(200, Changed(Query(request, "prefix"), 0)));
  }
  if (request.method == "GET" && request.path == "/v1/watch") {
    ++counters_["watches"];
    return Watch(exchange);
  }
  if (request.method == "GET" && request.path == "/v1/hosts") {
    ++counters_["hosts"];
    return exchange->Send(JsonResponse(200, {{"hosts", hosts_}}));
  }
  exchange->Send(ErrorResponse(404, "unknown_route", request.target));
}

void platform_standin::RunObject(const exchange_ptr& exchange,
                                 const std::string& name) {
  const auto& request = exchange->request();
  if (request.method == "GET") {
    ++counters_["gets"];
    return exchange->Send(Get(name));
  }
  http_response response = ErrorResponse(405, "method", request.method);
  if (request.method == "PUT") {
    ++counters_["puts"];
    response = Put(request, name);
  } else if (request.method == "DELETE") {
    ++counters_["removes"];
    response = Remove(request, name);
  }
  if (TakeOne(faults_.lose_answers)) return exchange->Close();
  exchange->Send(std::move(response));
}

http_response platform_standin::Get(const std::string& name) {
  if (objects_.count(name) == 0) return ErrorResponse(404, "not_found", name);
  return JsonResponse(200, Show(name));
}

http_response platform_standin::Put(const http_request& request,
                                    const std::string& name) {
  if (request.body.size() > kMaxValueBytes) {
    return ErrorResponse(413, "too_large", name);
  }
  json value = json::parse(request.body, nullptr, false);
  if (value.is_discarded()) return ErrorResponse(400, "invalid_json", name);
  if (Conflicts(request, name)) return JsonResponse(409, Show(name));
  objects_[name] = stored{++last_, std::move(value)};
  WakeWatches(name);
  return JsonResponse(200, {{"version", objects_[name].version}});
}

http_response platform_standin::Remove(const http_request& request,
                                       const std::string& name) {
  if (Conflicts(request, name)) return JsonResponse(409, Show(name));
  if (objects_.erase(name) == 0) {
    return ErrorResponse(404, "not_found", name);
  }
  return JsonResponse(200, {{"version", ++last_}});
}

bool platform_standin::Conflicts(const http_request& request,
                                 const std::string& name) const {
  const std::string expected = Query(request, "if_version");
  if (expected.empty()) return false;
  const auto found = objects_.find(name);
  const auto version = found == objects_.end() ? 0 : found->second.version;
  return expected != std::to_string(version);
}

// The object as the API shows it; null if it does not exist.
json platform_standin::Show(const std::string& name) const {
  const auto found = objects_.find(name);
  if (found == objects_.end()) return nullptr;
  return {{"name", name},
          {"version", found->second.version},
          {"value", found->second.value}};
}

json platform_standin::Changed(const std::string& prefix,
                               std::uint64_t after) const {
  json items = json::array();
  for (auto at = objects_.lower_bound(prefix);
       at != objects_.end() && HasPrefix(at->first, prefix); ++at) {
    if (at->second.version > after) items.push_back(Show(at->first));
  }
  return {{"items", std::move(items)}, {"revision", last_}};
}

// Answers a watch at once, if something changed, or holds it for its wait.
void platform_standin::Watch(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  const std::string prefix = Query(request, "prefix");
  const auto after = NumberOf(Query(request, "after"));
  const std::chrono::milliseconds wait{NumberOf(Query(request, "wait_ms"))};
  json changed = Changed(prefix, after);
  if (!changed["items"].empty()) return AnswerWatch(exchange, changed);
  const auto at = waiters_.emplace(waiters_.end());
  at->prefix = prefix;
  at->after = after;
  at->exchange = exchange;
  at->expiry = time_.CallAfter(std::min(wait, kLongestWait), [this, at] {
    const json nothing = {{"items", json::array()}, {"revision", last_}};
    AnswerWatch(at->exchange, nothing);
    waiters_.erase(at);
  });
  exchange->OnDisconnect([this, key = exchange.get()] {
    waiters_.remove_if(
        [key](const waiter& held) { return held.exchange.get() == key; });
  });
}

void platform_standin::AnswerWatch(const exchange_ptr& exchange,
                                   const json& body) {
  if (faults_.silent_watches) return exchange->Freeze();
  exchange->Send(JsonResponse(200, body));
}

void platform_standin::WakeWatches(const std::string& name) {
  for (auto at = waiters_.begin(); at != waiters_.end();) {
    if (!HasPrefix(name, at->prefix)) {
      ++at;
      continue;
    }
    AnswerWatch(at->exchange, Changed(at->prefix, at->after));
    at = waiters_.erase(at);
  }
}

}  // namespace bluebell::standins
