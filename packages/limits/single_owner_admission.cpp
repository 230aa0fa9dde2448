#include "limits/single_owner_admission.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "limits/request_check.h"
#include "limits/share_record.h"

namespace bluebell::limits {
namespace {

using nlohmann::json;

constexpr auto kTickInterval = std::chrono::milliseconds(200);
constexpr auto kResponseTimeout = std::chrono::milliseconds(50);
constexpr const char* kReserveType = "owner_reserve";
constexpr const char* kSettleType = "owner_settle";

// Returns the field of a peer message, or `fallback` if it is absent or of the
// wrong type.
template <class T>
T FieldOr(const json& body, const char* name, T fallback) {
  try {
    return body.at(name).get<T>();
  } catch (const json::exception&) {
    return fallback;
  }
}

}  // namespace

single_owner_admission::single_owner_admission(config::snapshot& rows,
                                               peer::peer_network& peers,
                                               const fleet::fleet_view& fleet,
                                               clock& time)
    : rows_(rows), peers_(peers), fleet_(fleet), clock_(time) {
  const std::weak_ptr<char> alive = alive_;
  peers_.SetHandler(
      kReserveType, [this, alive](const host_id&, const json& body,
                                  const peer::peer_network::respond& respond) {
        if (alive.expired()) return;
        const bool granted =
            Charge(FieldOr(body, "key", std::string()),
                   account_id(FieldOr(body, "account", std::string())),
                   FieldOr(body, "tokens", std::int64_t{0}));
        respond({{"granted", granted}});
      });
  peers_.SetHandler(kSettleType,
                    [this, alive](const host_id&, const json& body,
                                  const peer::peer_network::respond& respond) {
                      if (alive.expired()) return;
                      Refund(FieldOr(body, "key", std::string()),
                             FieldOr(body, "used", std::int64_t{0}));
                      respond(json::object());
                    });
  Tick();
}

// Creates empty buckets for newly owned accounts, applies the configured
// limits, and removes the buckets of accounts owned elsewhere.
void single_owner_admission::Tick() {
  const auto now = clock_.now();
  for (const auto& [account, row] : rows_.accounts()) {
    if (OwnerOf(account) != fleet_.self()) {
      buckets_.erase(account);
      continue;
    }
    buckets_.try_emplace(account, now)
        .first->second.Configure(now, static_cast<double>(row.rate.value()),
                                 static_cast<double>(row.burst.value()));
  }
  tick_ = clock_.CallAfter(kTickInterval, [this] { Tick(); });
}

host_id single_owner_admission::OwnerOf(const account_id& account) const {
  std::vector<host_id> hosts;
  for (const auto& each : fleet_.EntryHosts(zone_id())) {
    hosts.push_back(each.id);
  }
  const auto chosen = ChooseHolders(account, std::move(hosts), 1);
  return chosen.empty() ? fleet_.self() : chosen.front();
}

bool single_owner_admission::Charge(const std::string& key,
                                    const account_id& account,
                                    std::int64_t tokens) {
  const auto found = buckets_.find(account);
  const auto wanted = static_cast<double>(tokens);
  if (found == buckets_.end() || !fleet_.HoldsLease() ||
      found->second.Available(clock_.now()) < wanted) {
    return false;
  }
  charges_[key] = {account, found->second.Charge(clock_.now(), wanted), wanted};
  return true;
}

void single_owner_admission::Refund(const std::string& key, std::int64_t used) {
  const auto node = charges_.extract(key);
  if (node.empty()) return;
  const charge& ended = node.mapped();
  const auto found = buckets_.find(ended.account);
  if (found == buckets_.end()) return;
  found->second.Refund(ended.id, ended.tokens - static_cast<double>(used));
}

void single_owner_admission::Reserve(const account_id& account,
                                     token_count tokens,
                                     std::function<void(reserve_result)> done) {
  const auto checked = CheckRequest(rows_, account, tokens);
  if (!checked) {
    done(tl::make_unexpected(checked.error()));
    return;
  }
  const grant pending{OwnerOf(account), MakeUniqueId()};
  const auto finish = [this, account, tokens, pending, done](bool granted) {
    if (!granted) {
      done(tl::make_unexpected(admission_refusal::kRateExceeded));
      return;
    }
    const reservation created{next_id_++, account, tokens};
    open_grants_[created.id] = pending;
    done(created);
  };
  if (pending.owner == fleet_.self()) {
    finish(Charge(pending.key, account, tokens.value()));
    return;
  }
  peers_.Request(
      pending.owner, kReserveType,
      {{"key", pending.key},
       {"account", account.value()},
       {"tokens", tokens.value()}},
      kResponseTimeout,
      [this, pending, done, finish,
       alive = std::weak_ptr<char>(alive_)](const result<json>& response) {
        if (alive.expired()) return;
        if (response) {
          finish(FieldOr(*response, "granted", false));
          return;
        }
        // The owner may have charged the request before the timeout.
        SendSettle(pending, 0);
        done(tl::make_unexpected(admission_refusal::kBudgetUnavailable));
      });
}

void single_owner_admission::Settle(const reservation& ended,
                                    token_count used) {
  const auto node = open_grants_.extract(ended.id);
  if (!node.empty()) SendSettle(node.mapped(), used.value());
}

void single_owner_admission::SendSettle(const grant& granted,
                                        std::int64_t used) {
  if (granted.owner == fleet_.self()) {
    Refund(granted.key, used);
    return;
  }
  peers_.Request(granted.owner, kSettleType,
                 {{"key", granted.key}, {"used", used}}, kResponseTimeout,
                 [](const auto&) {});
}

}  // namespace bluebell::limits
