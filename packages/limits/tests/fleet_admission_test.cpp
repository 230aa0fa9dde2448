#include "limits/fleet_admission.h"

#include <gtest/gtest.h>

#include <iostream>

#include "limits/tests/simulated_fleet.h"

namespace bluebell::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Rate and burst configured from `at` on.
struct limit_edit {
  clock::time_point at;
  double rate;
  double burst;
};

// Returns by how many tokens the admitted requests exceed rate x interval +
// burst in the worst interval, computed as the largest deficit of a bucket that
// starts full. A lower burst takes effect 700 ms after its edit, because loans
// made before it may be used until then.
double MaxExcess(const std::vector<simulated_fleet::admitted>& log,
                 const std::vector<limit_edit>& edits) {
  constexpr auto kMaxLoanLifetime = milliseconds(700);
  double max_excess = 0;
  double level = edits.front().burst;
  auto last = edits.front().at;
  const auto refill = [&](clock::time_point until) {
    for (std::size_t i = 0; i < edits.size(); ++i) {
      const auto from = std::max(edits[i].at, last);
      const auto to =
          i + 1 < edits.size() ? std::min(edits[i + 1].at, until) : until;
      if (to > from) {
        level +=
            edits[i].rate * std::chrono::duration<double>(to - from).count();
      }
    }
    double burst = 0;
    for (std::size_t i = 0; i < edits.size(); ++i) {
      const bool superseded =
          i + 1 < edits.size() && edits[i + 1].at + kMaxLoanLifetime <= until;
      if (edits[i].at <= until && !superseded)
        burst = std::max(burst, edits[i].burst);
    }
    level = std::min(level, burst);
    last = until;
  };
  for (const auto& each : log) {
    refill(each.at);
    level -= each.tokens;
    max_excess = std::max(max_excess, -level);
  }
  return max_excess;
}

/// Classes of injected faults. With fewer kinds of faults less budget stays
/// unused, which could mask an excess.
enum class fault_class { kMessages, kLeases, kAll };

/// Injects random faults into a fleet of four hosts.
class fault_schedule {
 public:
  fault_schedule(simulated_fleet& fleet, fault_class kind)
      : fleet_(fleet), kind_(kind) {
    edits.push_back({fleet.time.now(), 1000, 4000});
  }

  void InjectFault() {
    const std::string name = RandomName();
    const bool running = fleet_.hosts.count(name) != 0;
    const bool messages = kind_ == fault_class::kMessages;
    const bool leases = kind_ == fault_class::kLeases;
    switch (fleet_.RandomInt(messages ? 15 : 0, leases ? 14 : 19)) {
      case 0:
        return fleet_.Kill(name);
      case 1:
      case 2:
        if (!running) fleet_.Start(name);
        return;
      case 3:
        // All hosts are replaced.
        if (fleet_.RandomInt(0, 3) != 0) return;
        for (int i = 0; i < 4; ++i) fleet_.Kill(std::string(1, 'a' + i));
        for (int i = 0; i < 4; ++i) fleet_.Start(std::string(1, 'a' + i));
        return;
      case 4:
      case 5:
        if (running && paused_.empty()) Pause(name);
        return;
      case 6:
        return Resume();
      case 7:
      case 8:
      case 9:
        if (running) fleet_.Lease(name).leaving = fleet_.RandomInt(0, 1) == 0;
        return;
      case 10:
      case 11:
        return SetOutage(fleet_.RandomInt(0, 5) == 0);
      case 12:
        if (running) SetCut(name, fleet_.RandomInt(0, 3) == 0);
        return;
      case 13:
        fleet_.platform.faults().lose_answers =
            static_cast<int>(fleet_.RandomInt(0, 3));
        return;
      case 14:
        if (running) {
          fleet_.hosts[name]->store.faults().delay =
              milliseconds(fleet_.RandomInt(0, 3) * 900);
        }
        return;
      case 15:
        return Edit();
      case 16:
      case 17:
        return fleet_.network.SetDelay(host_id(name), host_id(RandomName()),
                                       milliseconds(fleet_.RandomInt(1, 400)));
      case 18:
        return fleet_.network.SetDelay(host_id(name), host_id(RandomName()),
                                       milliseconds(fleet_.RandomInt(1, 3)));
      default:
        return fleet_.network.SetLoss(
            host_id(name), host_id(RandomName()),
            0.3 * static_cast<double>(fleet_.RandomInt(0, 1)));
    }
  }

  std::vector<limit_edit> edits;

 private:
  std::string RandomName() {
    return std::string(1, static_cast<char>('a' + fleet_.RandomInt(0, 3)));
  }
  // Pauses the host while one of its requests waits for loans.
  void Pause(const std::string& name) {
    const std::int64_t tokens = fleet_.RandomInt(500, 2000);
    fleet_.Request(name, tokens, tokens, seconds(9));
    fleet_.Advance(milliseconds(fleet_.RandomInt(0, 3)));
    paused_ = name;
    fleet_.Lease(name).paused = true;
    fleet_.network.Pause(host_id(name));
  }
  // After a pause the lease may be renewed before admission runs again.
  void Resume() {
    const std::string name = std::exchange(paused_, "");
    if (fleet_.hosts.count(name) == 0) return;
    auto& lease = fleet_.Lease(name);
    lease.paused = false;
    if (fleet_.RandomInt(0, 1) == 0 && fleet_.model.IsConnected(lease)) {
      fleet_.model.Renew(lease);
    }
    fleet_.network.Resume(host_id(name));
  }
  void SetOutage(bool on) {
    fleet_.platform.faults().outage = on;
    fleet_.model.platform_up = !on;
  }
  void SetCut(const std::string& name, bool cut) {
    fleet_.Lease(name).cut = cut;
    fleet_.hosts[name]->store.faults().outage = cut;
    fleet_.network.SetIsolated(host_id(name), cut);
  }
  void Edit() {
    const std::int64_t rate = fleet_.RandomInt(1, 4) * 500;
    const std::int64_t burst = fleet_.RandomInt(1, 4) * 2000;
    fleet_.Edit(rate, burst);
    edits.push_back({fleet_.time.now(), static_cast<double>(rate),
                     static_cast<double>(burst)});
  }

  simulated_fleet& fleet_;
  fault_class kind_;
  /// At most one host is paused, so that the others can reclaim its share.
  std::string paused_;
};

// Sends about three times the account's rate, mostly small requests and some of
// up to 2,500 tokens. Buckets refill while `idle`.
void SendLoad(simulated_fleet& fleet, bool idle) {
  for (auto& [name, host] : fleet.hosts) {
    if (fleet.Lease(name).paused || idle) continue;
    const bool large = fleet.RandomInt(0, 19) == 0;
    const std::int64_t tokens = fleet.RandomInt(1, large ? 2500 : 150);
    fleet.Request(name, tokens, fleet.RandomInt(0, 2) * tokens / 2,
                  milliseconds(fleet.RandomInt(1, 3000)));
  }
}

// Guards against admitting more than the account's rate and burst while hosts
// die, pause, resume, leave or are replaced, loan messages are lost or delayed,
// the row is edited, and the store fails or loses responses.
TEST(fleet_admission, StaysWithinRateAndBurstUnderFaults) {
  double admitted = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    simulated_fleet fleet(admission_policy::kShares, seed);
    // A short lease causes many lapses and reclaims in one run.
    fleet.model.lease = seconds(4);
    fault_schedule faults(fleet, static_cast<fault_class>(seed % 3));
    for (const char* name : {"a", "b", "c", "d"}) fleet.Start(name);
    fleet.Advance(seconds(10));
    bool idle = false;
    for (int step = 0; step < 3000; ++step) {
      if (step % 100 == 0) idle = fleet.RandomInt(0, 3) == 0;
      if (fleet.RandomInt(0, 19) == 0) faults.InjectFault();
      ASSERT_LE(fleet.UsableParts(), kWholeBudget)
          << "seed " << seed << " step " << step;
      SendLoad(fleet, idle);
      fleet.Advance(milliseconds(40));
    }
    EXPECT_LE(MaxExcess(fleet.log, faults.edits), 1e-3) << "seed " << seed;
    for (const auto& each : fleet.log) admitted += each.tokens;
  }
  // Guards against faults so frequent that nothing is admitted: requires a
  // tenth of the lowest rate.
  EXPECT_GT(admitted, 40 * 120 * 500 / 10);
}

// Guards against tokens lost without any fault: the fleet must admit more than
// 95 % of the account's rate.
TEST(fleet_admission, AdmitsTheWholeRateWithoutFaults) {
  simulated_fleet fleet(admission_policy::kShares);
  for (const char* name : {"a", "b", "c", "d"}) fleet.Start(name);
  fleet.Advance(seconds(20));
  for (int step = 0; step < 2500; ++step) {
    SendLoad(fleet, false);
    fleet.Advance(milliseconds(40));
  }
  fleet.Advance(seconds(5));
  double admitted = 0;
  for (const auto& each : fleet.log) admitted += each.tokens;
  EXPECT_GT(admitted, 0.95 * 100 * 1000);
}

// Guards against refusing a request within the burst because no single host
// holds enough tokens.
TEST(fleet_admission, LoansCoverTheWholeBurst) {
  simulated_fleet fleet(admission_policy::kShares);
  for (const char* name : {"a", "b", "c", "d"}) fleet.Start(name);
  fleet.Advance(seconds(20));
  bool admitted = false;
  bool excess_admitted = true;
  fleet.Request("a", 4000, 4000, seconds(1), [&](bool ok) { admitted = ok; });
  fleet.Advance(milliseconds(20));
  fleet.Request("b", 100, 100, seconds(1),
                [&](bool ok) { excess_admitted = ok; });
  fleet.Advance(milliseconds(20));
  EXPECT_TRUE(admitted);
  EXPECT_FALSE(excess_admitted);
}

// Guards against using a loan after its time to live, when the lender has
// already counted it as used. The borrower is paused while it waits.
TEST(fleet_admission, LoanIsNotUsedAfterItsTimeToLive) {
  simulated_fleet fleet(admission_policy::kShares);
  for (const char* name : {"a", "b"}) fleet.Start(name);
  fleet.Advance(seconds(20));
  std::optional<bool> admitted;
  fleet.Request("a", 3000, 3000, seconds(1), [&](bool ok) { admitted = ok; });
  fleet.Advance(std::chrono::microseconds(1500));
  fleet.network.Pause(host_id("a"));
  fleet.Advance(milliseconds(700));
  fleet.network.Resume(host_id("a"));
  fleet.Advance(milliseconds(100));
  EXPECT_FALSE(admitted.value());
}

// Guards against using local tokens when the lease expired while the request
// waited for loans.
TEST(fleet_admission, LeaseIsCheckedAfterTheWaitForLoans) {
  simulated_fleet fleet(admission_policy::kShares);
  for (const char* name : {"a", "b"}) fleet.Start(name);
  fleet.Advance(seconds(20));
  std::optional<bool> admitted;
  fleet.Request("a", 3000, 3000, seconds(1), [&](bool ok) { admitted = ok; });
  fleet.Advance(std::chrono::microseconds(1500));
  fleet.Lease("a").lease_end = fleet.time.now();
  fleet.Advance(milliseconds(100));
  EXPECT_FALSE(admitted.value());
}

// Guards against a lender that refills its bucket before the loan is used: the
// whole burst is lent and the offer is delayed.
TEST(fleet_admission, LoanCountsAgainstTheBurstUntilItIsUsed) {
  for (int offset_ms = 0; offset_ms < 200; offset_ms += 10) {
    simulated_fleet fleet(admission_policy::kShares);
    for (const char* name : {"a", "b"}) fleet.Start(name);
    fleet.Advance(seconds(20) + milliseconds(offset_ms));
    fleet.network.SetDelay(host_id("b"), host_id("a"), milliseconds(45));
    std::optional<bool> excess_admitted;
    fleet.Request("a", 4000, 4000, seconds(9), [&](bool first) {
      EXPECT_TRUE(first);
      fleet.network.SetCut(host_id("b"), host_id("a"), true);
      fleet.Request("b", 15, 15, seconds(9),
                    [&](bool ok) { excess_admitted = ok; });
    });
    fleet.Advance(milliseconds(200));
    EXPECT_FALSE(excess_admitted.value()) << offset_ms;
  }
}

// Guards against returning tokens to the lender that the borrower has used,
// when the settlement message is lost.
TEST(fleet_admission, LoanWithoutSettlementCountsAsUsed) {
  simulated_fleet fleet(admission_policy::kShares);
  for (const char* name : {"a", "b"}) fleet.Start(name);
  fleet.Advance(seconds(20));
  bool first = false;
  bool second = true;
  fleet.Request("a", 4000, 4000, seconds(9), [&](bool ok) { first = ok; });
  fleet.Advance(std::chrono::microseconds(2500));
  fleet.network.SetIsolated(host_id("a"), true);
  fleet.Advance(milliseconds(500));
  fleet.Request("b", 1500, 1500, seconds(9), [&](bool ok) { second = ok; });
  fleet.Advance(milliseconds(100));
  EXPECT_TRUE(first);
  EXPECT_FALSE(second);
}

TEST(fleet_admission, ReportsReasonForRefusal) {
  simulated_fleet fleet(admission_policy::kShares);
  fleet.Start("a");
  fleet.Advance(milliseconds(100));
  const auto refusal = [&](const char* account, std::int64_t tokens) {
    std::optional<admission_refusal> reason;
    fleet.hosts["a"]->limits->Reserve(
        account_id(account), token_count(tokens),
        [&](const admission::reserve_result& outcome) {
          reason = outcome.error();
        });
    return reason.value();
  };
  EXPECT_EQ(refusal("nobody", 1), admission_refusal::kUnknownAccount);
  EXPECT_EQ(refusal("gallagher", 4001), admission_refusal::kExceedsBurst);
  EXPECT_EQ(refusal("gallagher", 4000), admission_refusal::kRateExceeded);
  fleet.Lease("a").lease_end = fleet.time.now();
  EXPECT_EQ(refusal("gallagher", 1), admission_refusal::kBudgetUnavailable);
}

// Guards against shares that stay with departed hosts: a leaving host releases
// its share, and that of a dead host is reclaimed.
TEST(fleet_admission, FractionsMoveToServingHosts) {
  simulated_fleet fleet(admission_policy::kShares);
  for (const char* name : {"a", "b", "c", "d"}) fleet.Start(name);
  fleet.Advance(seconds(20));
  for (const char* name : {"a", "b", "c", "d"}) {
    EXPECT_EQ(fleet.PartsOf(name), kWholeBudget / 4) << name;
  }
  fleet.Lease("a").leaving = true;
  fleet.Advance(seconds(2));
  EXPECT_EQ(fleet.PartsOf("a"), 0);
  fleet.Kill("b");
  fleet.Advance(seconds(30));
  EXPECT_EQ(fleet.PartsOf("b"), 0);
  EXPECT_EQ(fleet.PartsOf("c"), kWholeBudget / 2);
}

/// Requests and refusals under one policy.
struct refusal_count {
  int requests = 0;
  int refused = 0;
  int wrongful = 0;
};

// Sends requests of 20 to 600 tokens to six hosts, two of which get half of
// them, at `load` times the rate. A refusal is wrongful if a single reference
// bucket for the whole fleet had the tokens. That bucket is charged for
// admitted requests and for wrongful refusals, so that lost tokens count once.
refusal_count CountRefusals(admission_policy policy, double load,
                            const std::string& victim) {
  simulated_fleet fleet(policy, 7);
  const std::vector<std::string> names{"a", "b", "c", "d", "e", "f"};
  for (const auto& name : names) fleet.Start(name);
  fleet.Advance(seconds(30));
  token_bucket reference(fleet.time.now() - seconds(30));
  reference.Configure(fleet.time.now() - seconds(30), 1000, 4000);
  refusal_count counts;
  std::vector<timer_handle> refund_timers;
  for (int step = 0; step < 30'000; ++step) {
    if (step == 10'000) fleet.Kill(victim);
    fleet.Advance(milliseconds(10));
    const std::int64_t tokens = fleet.RandomInt(20, 600);
    const std::int64_t used = tokens / 10 * fleet.RandomInt(3, 10);
    const milliseconds duration(fleet.RandomInt(200, 2000));
    const std::int64_t at = fleet.RandomInt(0, 3) < 2 ? fleet.RandomInt(0, 1)
                                                      : fleet.RandomInt(2, 5);
    // A request uses about 200 tokens, so 5 requests a second use the full
    // rate.
    if (static_cast<double>(fleet.RandomInt(0, 999)) >= 50 * load) continue;
    const std::string& name = names[static_cast<std::size_t>(at)];
    ++counts.requests;
    fleet.Request(fleet.hosts.count(name) ? name : "d", tokens, used, duration,
                  [&, tokens, used, duration](bool ok) {
                    const auto now = fleet.time.now();
                    const auto wanted = static_cast<double>(tokens);
                    counts.refused += ok ? 0 : 1;
                    if (!ok && reference.Available(now) < wanted) return;
                    counts.wrongful += ok ? 0 : 1;
                    const auto id = reference.Charge(now, wanted);
                    refund_timers.push_back(
                        fleet.time.CallAfter(duration, [&, id, tokens, used] {
                          reference.Refund(id,
                                           static_cast<double>(tokens - used));
                        }));
                  });
  }
  return counts;
}

// Guards against more wrongful refusals than under the baselines: static split
// in all cases, single owner when the owner dies. Prints the counts of each
// policy for comparison.
TEST(fleet_admission, RefusesLessWithinTheRateThanTheBaselines) {
  const std::vector<std::pair<const char*, admission_policy>> policies{
      {"shares", admission_policy::kShares},
      {"static split", admission_policy::kStaticSplit},
      {"single owner", admission_policy::kSingleOwner}};
  const std::string owner = "c";
  for (const double load : {0.7, 3.0}) {
    for (const std::string victim : {"", "a", "c"}) {
      std::vector<int> wrongful;
      for (const auto& [name, policy] : policies) {
        const auto count = CountRefusals(policy, load, victim);
        wrongful.push_back(count.wrongful);
        std::cout << "load " << load << ", killed '" << victim << "', " << name
                  << ": " << count.requests << " requests, " << count.refused
                  << " refused, " << count.wrongful << " wrongful\n";
      }
      EXPECT_LE(wrongful[0], wrongful[1]);
      if (victim == owner) {
        EXPECT_LE(wrongful[0], wrongful[2]);
      }
    }
  }
}

}  // namespace
}  // namespace bluebell::limits
