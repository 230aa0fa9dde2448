#include "admin/admin_service.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <utility>

#include "base/digest.h"
#include "base/nested_json.h"
#include "config/row_names.h"

namespace bluebell::admin {
namespace {

using config::stored_row;
using config::table_schema;
using nlohmann::json;

constexpr const char* kRoot = "/admin/v1/";
constexpr const char* kConfigRoot = "config/";

std::string ToText(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ToEtag(revision version) {
  return '"' + std::to_string(version.value()) + '"';
}

admin_response MakeResponse(int status, const json& body,
                            std::string etag = "") {
  return {status, "application/json", ToText(body), std::move(etag)};
}

// `current` is the stored row if an edit failed with a conflict.
admin_response MakeResponse(const problem& what,
                            const json& current = nullptr) {
  json body = json::parse(ToProblemJson(what, MakeUniqueId()));
  if (!current.is_null()) body["current"] = current;
  return {Describe(what.code).http_status, "application/problem+json",
          ToText(body), ""};
}

admin_response MakeErrorResponse(problem_code code, const std::string& detail) {
  return MakeResponse(problem{code, detail, executed::kNo});
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || rest != end) return std::nullopt;
  return number;
}

std::optional<revision> ParseIfMatch(std::string text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  const auto number = ParseNumber(text);
  if (!number) return std::nullopt;
  return revision(*number);
}

// Returns no value if the percent-encoding is malformed.
std::optional<std::string> PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned int byte = 0;
    const char* begin = text.data() + i + 1;
    if (i + 2 >= text.size()) return std::nullopt;
    const auto [rest, failure] = std::from_chars(begin, begin + 2, byte, 16);
    if (failure != std::errc() || rest != begin + 2) return std::nullopt;
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

// Finds a parameter in a query of the form "a=1&b=2". The value is not decoded.
std::optional<std::string> FindParameter(const std::string& query,
                                         const std::string& name) {
  std::size_t begin = 0;
  while (begin < query.size()) {
    const auto end = std::min(query.find('&', begin), query.size());
    const std::string part = query.substr(begin, end - begin);
    if (part.compare(0, name.size() + 1, name + "=") == 0) {
      return part.substr(name.size() + 1);
    }
    begin = end + 1;
  }
  return std::nullopt;
}

// Public representation of a stored row, without the writer id. An invalid row
// is shown as its id and error only, because its value may be arbitrary data,
// such as a key.
json ToView(const table_schema& table, const std::string& id,
            const stored_row& row) {
  json view = {{"revision", row.version.value()}};
  if (config::IsTombstone(row.value)) {
    view["deleted"] = true;
    return view;
  }
  const auto parsed = config::ParseStored(table, id, row.value);
  if (parsed) {
    view["row"] = *parsed;
  } else {
    view["id"] = config::PrintableName(table.name + "/" + id)
                     .substr(table.name.size() + 1);
    view["invalid"] = parsed.error().detail;
  }
  return view;
}

bool CheckMethod(const admin_request& request, const std::string& method,
                 const admin_service::callback& done) {
  if (request.method == method) return true;
  done(
      MakeErrorResponse(problem_code::kMethodNotAllowed, "allowed: " + method));
  return false;
}

const char* ToString(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return "debug";
    case event_level::kInfo:
      return "info";
    case event_level::kWarning:
      return "warning";
    case event_level::kError:
      return "error";
  }
  return "error";
}

json ToJson(const event& entry) {
  const event_kind& kind = Describe(entry.id);
  json fields = json::object();
  for (const auto& [name, value] : entry.fields) fields[name] = value;
  return {{"sequence", entry.sequence},
          {"wall_us", entry.time.wall_us},
          {"counter", entry.time.counter},
          {"id", static_cast<int>(entry.id)},
          {"name", std::string(kind.name)},
          {"level", ToString(kind.level)},
          {"fields", fields}};
}

}  // namespace

admin_service::admin_service(std::vector<std::string> operator_key_digests,
                             config::config_editor& editor,
                             const config::snapshot& active_config,
                             const fleet::fleet_view& fleet, event_log& events,
                             daemon_hooks hooks)
    : operator_key_digests_(std::move(operator_key_digests)),
      editor_(editor),
      active_config_(active_config),
      fleet_(fleet),
      events_(events),
      hooks_(std::move(hooks)) {}

// Compares with every digest in constant time, so that the response time does
// not leak information about the digests.
bool admin_service::IsOperatorKey(const std::string& key) const {
  const std::string digest = Sha256Hex(key);
  bool found = false;
  for (const auto& known : operator_key_digests_) {
    const bool equal =
        known.size() == digest.size() &&
        CRYPTO_memcmp(known.data(), digest.data(), digest.size()) == 0;
    found = found || equal;
  }
  return found && !key.empty();
}

void admin_service::Handle(const admin_request& request, const callback& done) {
  if (!IsOperatorKey(request.operator_key)) {
    events_.Record(event_id::kOperatorKeyRefused);
    done(MakeErrorResponse(request.operator_key.empty()
                               ? problem_code::kKeyMissing
                               : problem_code::kKeyInvalid,
                           "an operator key is required"));
    return;
  }
  const std::string root = kRoot;
  const auto path = PercentDecode(request.path);
  if (!path || path->compare(0, root.size(), root) != 0) {
    done(
        MakeErrorResponse(problem_code::kRouteNotFound, "no such admin route"));
    return;
  }
  const std::string rest = path->substr(root.size());
  const std::string config_root = kConfigRoot;
  if (rest.compare(0, config_root.size(), config_root) == 0) {
    HandleConfig(request, rest.substr(config_root.size()), done);
  } else if (rest == "status") {
    if (CheckMethod(request, "GET", done)) done(GetStatus());
  } else if (rest == "hosts") {
    if (CheckMethod(request, "GET", done)) done(GetHosts());
  } else if (rest == "timeline") {
    if (CheckMethod(request, "GET", done)) done(GetTimeline(request.query));
  } else if (rest == "drain") {
    if (CheckMethod(request, "POST", done)) done(Drain());
  } else {
    done(
        MakeErrorResponse(problem_code::kRouteNotFound, "no such admin route"));
  }
}

void admin_service::HandleConfig(const admin_request& request,
                                 const std::string& rest,
                                 const callback& done) {
  const auto slash = rest.find('/');
  const table_schema* table = config::FindTable(rest.substr(0, slash));
  if (table == nullptr) {
    done(MakeErrorResponse(problem_code::kRouteNotFound, "no such table"));
  } else if (slash == std::string::npos) {
    HandleTable(request, *table, done);
  } else {
    HandleRow(request, *table, rest.substr(slash + 1), done);
  }
}

void admin_service::HandleTable(const admin_request& request,
                                const table_schema& table,
                                const callback& done) {
  if (!CheckMethod(request, "GET", done)) return;
  const std::string prefix = table.name + "/";
  std::map<std::string, json> rows;
  for (const auto& row : active_config_.ChangedSince(revision())) {
    if (row.name.compare(0, prefix.size(), prefix) != 0) continue;
    if (config::IsTombstone(row.value)) continue;
    rows[row.name] = ToView(table, row.name.substr(prefix.size()), row);
  }
  json list = json::array();
  for (auto& [name, view] : rows) list.push_back(std::move(view));
  done(MakeResponse(200, {{"table", table.name},
                          {"revision", active_config_.newest().value()},
                          {"rows", std::move(list)}}));
}

void admin_service::HandleRow(const admin_request& request,
                              const table_schema& table, const std::string& id,
                              const callback& done) {
  if (request.method == "GET") {
    done(GetRow(table, id));
  } else if (request.method == "PUT" || request.method == "DELETE") {
    EditRow(request, table, id, done);
  } else {
    done(MakeErrorResponse(problem_code::kMethodNotAllowed,
                           "allowed: GET, PUT, DELETE"));
  }
}

admin_response admin_service::GetRow(const table_schema& table,
                                     const std::string& id) const {
  const stored_row* row = active_config_.FindStored(table.name + "/" + id);
  if (row == nullptr || config::IsTombstone(row->value)) {
    return MakeErrorResponse(problem_code::kRowNotFound,
                             "the table has no such row");
  }
  return MakeResponse(200, ToView(table, id, *row), ToEtag(row->version));
}

void admin_service::EditRow(const admin_request& request,
                            const table_schema& table, const std::string& id,
                            const callback& done) {
  const auto expected =
      request.if_match ? ParseIfMatch(*request.if_match) : std::nullopt;
  if (!expected) {
    done(MakeErrorResponse(
        problem_code::kMalformedRequest,
        "If-Match: allowed: the revision of the row; 0 creates it"));
    return;
  }
  const auto on_edited = [table, id, done](const config::edit_result& edited) {
    if (edited) {
      json body = ToView(table, id, edited->row);
      body["confirmed"] = edited->confirmed;
      done(MakeResponse(edited->confirmed ? 200 : 202, body,
                        ToEtag(edited->row.version)));
      return;
    }
    const auto& refused = edited.error();
    done(MakeResponse(refused.what, refused.current
                                        ? ToView(table, id, *refused.current)
                                        : json(nullptr)));
  };
  if (request.method == "DELETE") {
    editor_.Remove(table, id, *expected, on_edited);
    return;
  }
  if (request.body.size() > kMaxBody) {
    done(MakeErrorResponse(problem_code::kBodyTooLarge,
                           "a row has at most 64 KB"));
    return;
  }
  const json value = ParseJson(request.body);
  if (value.is_discarded()) {
    done(MakeErrorResponse(problem_code::kMalformedRequest,
                           "the body is not JSON"));
    return;
  }
  editor_.Put(table, id, value, *expected, on_edited);
}

admin_response admin_service::GetStatus() const {
  json body = hooks_.status ? hooks_.status() : json::object();
  body["host"] = fleet_.self().value();
  body["incarnation"] = fleet_.incarnation().value();
  body["status"] = fleet::ToString(fleet_.status());
  body["holds_lease"] = fleet_.HoldsLease();
  body["members"] = fleet_.Members().size();
  body["config_revision"] = active_config_.newest().value();
  body["config_complete"] = active_config_.complete();
  return MakeResponse(200, body);
}

admin_response admin_service::GetHosts() const {
  const auto members = fleet_.Members();
  const auto live = fleet_.LiveHosts();
  const auto serving = fleet_.EntryHosts(zone_id());
  std::map<host_id, json> hosts;
  const auto entry = [&hosts](const host_id& id) -> json& {
    const json absent = {{"id", id.value()}, {"member", false}, {"live", false},
                         {"serving", false}, {"address", ""},   {"zone", ""}};
    return hosts.emplace(id, absent).first->second;
  };
  for (const auto& id : members) entry(id)["member"] = true;
  for (const auto& id : live) entry(id)["live"] = true;
  for (const auto& host : serving) {
    json& view = entry(host.id);
    view["serving"] = true;
    view["address"] = host.address;
    view["zone"] = host.zone.value();
  }
  json list = json::array();
  for (auto& [id, view] : hosts) list.push_back(std::move(view));
  return MakeResponse(200, {{"self", fleet_.self().value()}, {"hosts", list}});
}

admin_response admin_service::GetTimeline(const std::string& query) const {
  const std::string text = FindParameter(query, "after").value_or("0");
  const auto after = ParseNumber(text);
  if (!after) {
    return MakeErrorResponse(problem_code::kMalformedRequest,
                             "after: allowed: the sequence number of an event");
  }
  json list = json::array();
  std::uint64_t last = *after;
  for (const auto& entry : events_.After(*after)) {
    last = entry.sequence;
    list.push_back(ToJson(entry));
  }
  return MakeResponse(
      200,
      {{"host", events_.host().value()}, {"last", last}, {"events", list}});
}

admin_response admin_service::Drain() {
  if (hooks_.drain) hooks_.drain();
  return MakeResponse(202,
                      {{"host", fleet_.self().value()}, {"draining", true}});
}

}  // namespace bluebell::admin
