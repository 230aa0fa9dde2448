#include "limits/share_record.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "base/digest.h"

namespace bluebell::limits {
namespace {

using nlohmann::json;

share ParseShare(const json& value) {
  share parsed;
  parsed.host = host_id(value.at("host").get<std::string>());
  parsed.incarnation =
      incarnation_id(value.at("incarnation").get<std::string>());
  parsed.parts = value.at("parts").get<int>();
  parsed.stamp = value.at("stamp").get<std::string>();
  return parsed;
}

bool Matches(const share& each, const host_id& host,
             const incarnation_id& incarnation) {
  return each.host == host && each.incarnation == incarnation;
}

}  // namespace

const share* share_record::Find(const host_id& host,
                                const incarnation_id& incarnation) const {
  const auto found = std::find_if(
      shares.begin(), shares.end(),
      [&](const share& each) { return Matches(each, host, incarnation); });
  return found == shares.end() ? nullptr : &*found;
}

void share_record::Set(const share& changed) {
  Remove(changed.host, changed.incarnation);
  if (changed.parts > 0) shares.push_back(changed);
}

void share_record::Remove(const host_id& host,
                          const incarnation_id& incarnation) {
  shares.erase(std::remove_if(shares.begin(), shares.end(),
                              [&](const share& each) {
                                return Matches(each, host, incarnation);
                              }),
               shares.end());
}

int share_record::FreeParts() const {
  return std::accumulate(
      shares.begin(), shares.end(), kWholeBudget,
      [](int left, const share& each) { return left - each.parts; });
}

std::string BudgetName(const account_id& account) {
  return "budgets/" + account.value();
}

json ToJson(const share_record& value) {
  json shares = json::array();
  for (const share& each : value.shares) {
    shares.push_back({{"host", each.host.value()},
                      {"incarnation", each.incarnation.value()},
                      {"parts", each.parts},
                      {"stamp", each.stamp}});
  }
  return {{"shares", std::move(shares)}, {"free", value.FreeParts()}};
}

result<share_record> ParseShareRecord(const json& value) {
  try {
    share_record parsed;
    for (const json& each : value.at("shares")) {
      parsed.shares.push_back(ParseShare(each));
      if (parsed.shares.back().parts <= 0) {
        return Fail(error_code::kInvalidArgument,
                    "budget record: parts must be positive");
      }
    }
    if (parsed.FreeParts() < 0) {
      return Fail(error_code::kInvalidArgument,
                  "budget record: more parts than a whole budget");
    }
    return parsed;
  } catch (const json::exception& fault) {
    return Fail(error_code::kInvalidArgument,
                std::string("budget record: ") + fault.what());
  }
}

std::vector<host_id> ChooseHolders(const account_id& account,
                                   std::vector<host_id> hosts,
                                   std::size_t count) {
  std::vector<std::pair<std::uint64_t, host_id>> ranked;
  ranked.reserve(hosts.size());
  const std::uint64_t seed = Hash64(account.value());
  for (host_id& host : hosts) {
    const std::uint64_t rank = Hash64(host.value(), seed);
    ranked.emplace_back(rank, std::move(host));
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > count) ranked.resize(count);
  std::vector<host_id> chosen;
  for (auto& [rank, host] : ranked) chosen.push_back(std::move(host));
  return chosen;
}

}  // namespace bluebell::limits
