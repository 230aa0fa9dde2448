#include "gateway/identify_filter.h"

#include <algorithm>

#include "base/digest.h"
#include "base/nested_json.h"

namespace bluebell::gateway {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr char kAuthorization[] = "Authorization";

bool Contains(const std::string& text, const std::string& key) {
  return text.find(key) != std::string::npos;
}

std::string BearerKey(const http_request& request) {
  const std::string field = request.fields.Find(kAuthorization);
  if (field.size() <= kBearer.size() ||
      !EqualsIgnoringCase(field.substr(0, kBearer.size()), kBearer)) {
    return {};
  }
  return field.substr(kBearer.size());
}

}  // namespace

bool LeaksKey(const http_request& request, const std::string& key) {
  for (const auto& field : request.fields.all()) {
    if (!EqualsIgnoringCase(field.name, kAuthorization) &&
        Contains(PercentDecode(field.value), key)) {
      return true;
    }
  }
  if (Contains(PercentDecode(request.path), key)) return true;
  if (Contains(PercentDecode(request.query), key)) return true;
  if (Contains(request.body, key)) return true;
  if (Contains(PercentDecode(request.body), key)) return true;
  return JsonTextContains(request.body, key);
}

std::string OtherHosts(const fleet::fleet_view& fleet) {
  std::string list;
  for (const auto& host : fleet.EntryHosts(zone_id())) {
    if (host.id == fleet.self()) continue;
    list += (list.empty() ? "" : ", ") + host.address;
  }
  return list.empty() ? "none known" : list;
}

void identify_filter::Process(exchange& current, next_filter& next,
                              boost::asio::yield_context yield) {
  if (!rows_.complete()) {
    current.Refuse(problem_code::kNotReady,
                   "the configuration has not been read yet");
    return;
  }
  if (fleet_.status() == fleet::host_status::kIsolated) {
    current.Refuse(problem_code::kHostIsolated,
                   "use another entry host: " + OtherHosts(fleet_));
    return;
  }
  if (!FindRoute(current) || !FindAccount(current)) return;
  next.Process(current, yield);
}

// Sets kind, route and repeatability from the path.
bool identify_filter::FindRoute(exchange& current) const {
  const std::string& path = current.request.path;
  const bool completion = path == "/v1/completions";
  if (completion || path == "/v1/chat/completions") {
    if (current.request.method != "POST") {
      current.Refuse(problem_code::kMethodNotAllowed, path + " takes POST");
      return false;
    }
    current.kind =
        completion ? request_kind::kCompletion : request_kind::kChatCompletion;
    return true;
  }
  const config::route_row* route = rows_.FindRoute(path);
  if (route == nullptr) {
    current.Refuse(problem_code::kRouteNotFound, "no route for " + path);
    return false;
  }
  current.kind = request_kind::kService;
  current.route = *route;
  current.target = route->group;
  current.repeatable = route->repeatable;
  return true;
}

// Sets the client account. On an open route a key does not select an account.
bool identify_filter::FindAccount(exchange& current) const {
  const std::string key = BearerKey(current.request);
  if (!key.empty() && LeaksKey(current.request, key)) {
    current.Refuse(problem_code::kMalformedRequest,
                   "the key may only be in the Authorization field");
    return false;
  }
  if (current.route && current.route->open) return true;
  if (current.request.fields.Count(kAuthorization) > 1) {
    current.Refuse(problem_code::kKeyInvalid,
                   "more than one Authorization field");
    return false;
  }
  if (key.empty()) {
    current.Refuse(problem_code::kKeyMissing,
                   "send the key as Authorization: Bearer <key>");
    return false;
  }
  const config::key_row* row = rows_.FindActiveKey(Sha256Hex(key));
  const config::account_row* account =
      row == nullptr ? nullptr : rows_.FindAccount(row->account);
  if (account == nullptr) {
    current.Refuse(problem_code::kKeyInvalid,
                   "the key is unknown or was withdrawn");
    return false;
  }
  current.account = *account;
  return true;
}

}  // namespace bluebell::gateway
