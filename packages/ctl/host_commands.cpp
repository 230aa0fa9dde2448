#include "ctl/host_commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <sstream>

#include "base/digest.h"
#include "base/nested_json.h"

namespace bluebell::ctl {
namespace {

using nlohmann::json;

constexpr int kWithdrawAttempts = 5;
constexpr const char* kKeyPrefix = "bbr-";

// Reads the key's row at any of the hosts, because the first one may not have
// received a key that was granted a moment ago.
std::optional<shown_row> FindKeyRow(session& current,
                                    const std::string& digest) {
  for (const auto& host : current.admin.hosts()) {
    const auto answer = host->Call({"GET", RowPath("keys", digest), {}, ""});
    if (!answer || answer->status != 200) continue;
    const json body = ParseJson(answer->body);
    if (!body.is_object() || !body.contains("row")) continue;
    return shown_row{revision(body.value("revision", std::uint64_t{0})),
                     body["row"]};
  }
  return std::nullopt;
}

}  // namespace

exit_code GrantKey(session& current, const std::string& account) {
  const auto known = ReadRow(current, "accounts", account);
  if (!known) return known.error();
  const std::string key = kKeyPrefix + MakeUniqueId() + MakeUniqueId();
  const std::string digest = Sha256Hex(key);
  const json row = {{"account", account}};
  const auto edited =
      CallAny(current, {"PUT", RowPath("keys", digest), "0", row.dump()});
  if (!edited) {
    fmt::print(current.err,
               "the key is discarded; its digest is {}, withdraw it if the "
               "outcome is unknown\n",
               digest);
    return edited.error();
  }
  const bool confirmed = edited->value("confirmed", false);
  if (current.json) {
    const json view = {{"key", key},
                       {"digest", digest},
                       {"account", account},
                       {"confirmed", confirmed}};
    fmt::print(current.out, "{}\n", view.dump(2));
  } else {
    fmt::print(current.out, "key      {}\ndigest   {}\naccount  {}\n", key,
               digest, account);
  }
  fmt::print(current.err, "The key is shown only this once.{}\n",
             confirmed ? "" : " It is stored, but not yet confirmed in force.");
  return confirmed ? exit_code::kDone : exit_code::kUnconfirmed;
}

exit_code WithdrawKey(session& current, const std::string& digest) {
  exit_code last = exit_code::kConflict;
  for (int attempt = 0; attempt < kWithdrawAttempts; ++attempt) {
    auto row = FindKeyRow(current, digest);
    if (!row) {
      const auto reported = ReadRow(current, "keys", digest);
      if (!reported) return reported.error();
      row = *reported;
    }
    row->value["withdrawn"] = true;
    last = ReportEdit(current, "keys/" + digest,
                      CallAny(current, {"PUT", RowPath("keys", digest),
                                        std::to_string(row->version.value()),
                                        row->value.dump()}));
    if (last != exit_code::kConflict) return last;
  }
  return last;
}

exit_code ListHosts(session& current) {
  const auto answer = CallAny(current, {"GET", "/admin/v1/hosts", {}, ""});
  if (!answer) return answer.error();
  if (current.json) {
    fmt::print(current.out, "{}\n", answer->dump(2));
    return exit_code::kDone;
  }
  const std::vector<std::string> columns = {"id",     "zone", "address",
                                            "member", "live", "serving"};
  std::vector<std::vector<std::string>> lines = {columns};
  for (const auto& host : answer->value("hosts", json::array())) {
    std::vector<std::string> line;
    for (const auto& name : columns) {
      line.push_back(ToCell(host.value(name, json(""))));
    }
    lines.push_back(std::move(line));
  }
  PrintTable(current.out, lines);
  return exit_code::kDone;
}

exit_code DrainHost(session& current, const std::string& host) {
  bool all_answered = true;
  for (const auto& client : current.admin.hosts()) {
    const auto status = client->Call({"GET", "/admin/v1/status", {}, ""});
    if (!status) {
      all_answered = false;
      fmt::print(current.err, "{}\n", status.error().detail);
      continue;
    }
    const auto body = Interpret(current, status);
    if (!body) return body.error();
    if (body->value("host", "") != host) continue;
    const auto drained =
        Interpret(current, client->Call({"POST", "/admin/v1/drain", {}, ""}));
    if (!drained) return drained.error();
    if (current.json) {
      fmt::print(current.out, "{}\n", drained->dump(2));
    } else {
      fmt::print(current.out, "host {} is draining\n", host);
    }
    return exit_code::kDone;
  }
  fmt::print(current.err, "error: none of the {} is host {}\n",
             all_answered ? "given addresses" : "addresses that answered",
             host);
  return all_answered ? exit_code::kFailed : exit_code::kUnreachable;
}

exit_code ShowStatus(session& current) {
  json list = json::array();
  exit_code refused = exit_code::kUnreachable;
  for (const auto& client : current.admin.hosts()) {
    const auto answer = client->Call({"GET", "/admin/v1/status", {}, ""});
    if (!answer) {
      fmt::print(current.err, "{}\n", answer.error().detail);
      continue;
    }
    auto body = Interpret(current, answer);
    if (!body) {
      refused = body.error();
      continue;
    }
    (*body)["admin"] = client->address();
    list.push_back(*std::move(body));
  }
  if (list.empty()) return refused;
  if (current.json) {
    fmt::print(current.out, "{}\n", list.dump(2));
    return exit_code::kDone;
  }
  const std::vector<std::string> columns = {
      "host",    "admin",           "status",         "holds_lease",
      "members", "config_revision", "config_complete"};
  std::vector<std::vector<std::string>> lines = {columns};
  for (const auto& host : list) {
    std::vector<std::string> line;
    for (const auto& name : columns) {
      line.push_back(ToCell(host.value(name, json(""))));
    }
    lines.push_back(std::move(line));
  }
  PrintTable(current.out, lines);
  return exit_code::kDone;
}

}  // namespace bluebell::ctl
