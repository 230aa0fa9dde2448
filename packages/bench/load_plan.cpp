#include "bench/load_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace bluebell::bench {
namespace {

/// Weight of a target whose demand is high, against 1 for the others.
constexpr double kDemandRatio = 10;

// Arrivals a second of the account at that time of the run.
double RateAt(const account_plan& account, double at_s) {
  if (account.cycle_s <= 0) return account.arrivals_per_second;
  const bool bursting = std::fmod(at_s, account.cycle_s) < account.burst_s;
  return bursting ? account.burst_arrivals_per_second
                  : account.arrivals_per_second;
}

// Picks a target; the demand for each moves tenfold at half time.
const std::string& PickTarget(const account_plan& account, bool second_half,
                              std::mt19937_64& random) {
  const std::size_t count = account.targets.size();
  std::vector<double> weights(count, 1);
  if (account.shifts) {
    for (std::size_t i = 0; i < count; ++i) {
      const bool high = (i < count / 2) != second_half;
      if (high) weights[i] = kDemandRatio;
    }
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return account.targets[pick(random)];
}

void AddAccount(const load_plan& plan, std::size_t index,
                std::vector<planned_request>& requests) {
  const account_plan& account = plan.accounts[index];
  // A generator of its own keeps the arrivals of one account unchanged when
  // another account is added or altered.
  std::seed_seq sequence{plan.seed, static_cast<std::uint64_t>(index)};
  std::mt19937_64 random(sequence);
  const double peak =
      std::max(account.arrivals_per_second, account.burst_arrivals_per_second);
  if (peak <= 0 || account.targets.empty()) return;
  std::exponential_distribution<double> gap(peak);
  std::uniform_real_distribution<double> thinning(0, peak);
  std::uniform_int_distribution<int> tokens(account.min_tokens,
                                            account.max_tokens);
  std::uniform_int_distribution<std::size_t> host(0, plan.hosts.size() - 1);
  for (double at = gap(random); at < plan.duration_s; at += gap(random)) {
    if (thinning(random) > RateAt(account, at)) continue;
    planned_request request;
    request.at_s = at;
    request.account = index;
    request.target = PickTarget(account, at > plan.duration_s / 2, random);
    request.max_tokens = tokens(random);
    request.host = host(random);
    request.prompt_seed = random();
    requests.push_back(std::move(request));
  }
}

account_plan ParseAccount(const nlohmann::json& text) {
  account_plan account;
  account.account = text.at("account");
  account.key = text.at("key");
  account.arrivals_per_second = text.at("arrivals_per_second");
  account.burst_arrivals_per_second =
      text.value("burst_arrivals_per_second", 0.0);
  account.cycle_s = text.value("cycle_s", 0.0);
  account.burst_s = text.value("burst_s", 0.0);
  account.rate = text.at("rate");
  account.burst = text.at("burst");
  account.targets = text.at("targets").get<std::vector<std::string>>();
  account.shifts = text.value("shifts", false);
  account.prompt_bytes = text.value("prompt_bytes", account.prompt_bytes);
  account.min_tokens = text.value("min_tokens", account.min_tokens);
  account.max_tokens = text.value("max_tokens", account.max_tokens);
  return account;
}

}  // namespace

result<load_plan> ParsePlan(const nlohmann::json& text) {
  try {
    load_plan plan;
    plan.hosts = text.at("hosts").get<std::vector<std::string>>();
    plan.duration_s = text.at("duration_s");
    plan.seed = text.at("seed");
    for (const auto& account : text.at("accounts")) {
      plan.accounts.push_back(ParseAccount(account));
    }
    if (plan.hosts.empty()) {
      return Fail(error_code::kInvalidArgument, "\"hosts\" is empty");
    }
    return plan;
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

std::vector<planned_request> MakeRequests(const load_plan& plan) {
  std::vector<planned_request> requests;
  for (std::size_t i = 0; i < plan.accounts.size(); ++i) {
    AddAccount(plan, i, requests);
  }
  std::sort(requests.begin(), requests.end(),
            [](const planned_request& a, const planned_request& b) {
              return a.at_s < b.at_s;
            });
  return requests;
}

}  // namespace bluebell::bench
