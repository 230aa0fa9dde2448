#include <gtest/gtest.h>

#include <random>

#include "fleet/host_lease.h"
#include "simulation.h"

// Checks mutual exclusion (docs/design.md, section 4.1) on the production
// classes: no right ever has two users. Each mechanism is also run with an
// unsafe constant or disabled, to show that the checks detect its failure.

namespace bluebell::fleet {
namespace {

using names = std::vector<std::string>;

// Short leases, so that a schedule takes little time. The limits keep the same
// relations to each other as the defaults.
fleet_timing ShortTiming() {
  fleet_timing timing;
  timing.lease = seconds(5);
  timing.renewal_interval = seconds(1);
  timing.reclaim_window = seconds(7);
  timing.record_interval = milliseconds(500);
  return timing;
}

// Injects a fault; applying it again removes the fault.
struct fault_toggle {
  enum class kind { kOutage, kCut, kPlatform, kPause } what = kind::kOutage;
  std::string host;
  std::string other;
};

std::vector<fault_toggle> AllToggles(const names& hosts) {
  std::vector<fault_toggle> all{{}};
  for (const auto& host : hosts) {
    all.push_back({fault_toggle::kind::kPlatform, host, ""});
    all.push_back({fault_toggle::kind::kPause, host, ""});
    for (const auto& other : hosts) {
      if (host != other) all.push_back({fault_toggle::kind::kCut, host, other});
    }
  }
  return all;
}

std::string ToString(const std::vector<fault_toggle>& schedule) {
  std::string text;
  for (const auto& each : schedule) {
    switch (each.what) {
      case fault_toggle::kind::kOutage:
        text += "outage ";
        break;
      case fault_toggle::kind::kCut:
        text += "cut " + each.host + ">" + each.other + " ";
        break;
      case fault_toggle::kind::kPlatform:
        text += "platform " + each.host + " ";
        break;
      case fault_toggle::kind::kPause:
        text += "pause " + each.host + " ";
        break;
    }
  }
  return text;
}

// Applies toggles and tracks which faults are active.
class schedule_runner {
 public:
  explicit schedule_runner(simulation& sim) : sim_(sim) {}

  void Apply(const fault_toggle& each) {
    bool& active =
        active_[{static_cast<int>(each.what), each.host + ">" + each.other}];
    active = !active;
    switch (each.what) {
      case fault_toggle::kind::kCut:
        sim_.SetCut(each.host, each.other, active);
        break;
      case fault_toggle::kind::kPlatform:
        sim_.SetPlatformLost(each.host, active);
        break;
      case fault_toggle::kind::kPause:
        sim_.SetPaused(each.host, active);
        break;
      case fault_toggle::kind::kOutage:
        sim_.platform().faults().outage = active;
        break;
    }
  }

 private:
  simulation& sim_;
  std::map<std::pair<int, std::string>, bool> active_;
};

struct exploration_stats {
  int schedules = 0;
  int violating_schedules = 0;
  int acquisitions = 0;
  std::string first_violating;
};

// Runs every sequence of `depth` toggles on a fleet of `hosts` whose first host
// holds the right.
exploration_stats Explore(const fleet_timing& timing, const names& hosts,
                          int depth, bool compares_terms = true) {
  const auto toggles = AllToggles(hosts);
  exploration_stats stats;
  std::vector<std::size_t> choice(depth, 0);
  while (true) {
    simulation sim(timing);
    if (!compares_terms) sim.IgnoreTerms();
    for (const auto& host : hosts) sim.Start(host);
    sim.UseRights();
    sim.Run(seconds(4), milliseconds(500));
    schedule_runner runner(sim);
    std::vector<fault_toggle> schedule;
    for (const auto index : choice) {
      schedule.push_back(toggles[index]);
      runner.Apply(toggles[index]);
      sim.Run(milliseconds(3500), milliseconds(250));
    }
    sim.Run(seconds(8), milliseconds(250));
    ++stats.schedules;
    stats.acquisitions += sim.acquired();
    if (sim.violations() > 0 && stats.violating_schedules++ == 0) {
      stats.first_violating = ToString(schedule);
    }
    std::size_t position = 0;
    while (position < choice.size() && ++choice[position] == toggles.size()) {
      choice[position++] = 0;
    }
    if (position == choice.size()) return stats;
  }
}

// Sanitizers make a run about eleven times slower; fewer schedules are enough
// to find memory errors.
#ifdef __SANITIZE_ADDRESS__
constexpr int kDepthReduction = 1;
constexpr int kRandomSchedules = 60;
#else
constexpr int kDepthReduction = 0;
constexpr int kRandomSchedules = 400;
#endif

// Guards against an order of network cuts, platform losses and pauses after
// which two hosts use the same right.
TEST(exclusion_model, TwoHostsNeverShareARight) {
  const auto stats = Explore(ShortTiming(), {"a", "b"}, 4 - kDepthReduction);
  EXPECT_EQ(stats.violating_schedules, 0) << stats.first_violating;
  EXPECT_GT(stats.acquisitions, stats.schedules);
  std::printf("%d schedules, %d acquisitions\n", stats.schedules,
              stats.acquisitions);
}

TEST(exclusion_model, ThreeHostsNeverShareARight) {
  const auto stats =
      Explore(ShortTiming(), {"a", "b", "c"}, 3 - kDepthReduction);
  EXPECT_EQ(stats.violating_schedules, 0) << stats.first_violating;
  EXPECT_GT(stats.acquisitions, stats.schedules);
  std::printf("%d schedules, %d acquisitions\n", stats.schedules,
              stats.acquisitions);
}

TEST(exclusion_model, WindowShorterThanTheLeaseIsDetected) {
  auto timing = ShortTiming();
  timing.reclaim_window = seconds(4);
  EXPECT_GT(Explore(timing, {"a", "b"}, 2).violating_schedules, 0);
}

// Guards against a host that uses a reclaimed right again: its right was
// reclaimed while it had no platform contact for longer than its lease, and the
// next renewal must not restore it.
TEST(exclusion_model, RightThatSurvivesItsLeaseTermIsDetected) {
  const auto stats = Explore(ShortTiming(), {"a", "b"}, 2, false);
  EXPECT_GT(stats.violating_schedules, 0);
}

// The holder `a` has no platform contact, the reclaimer `b` has. They are
// connected only through `c`, over links as slow as T allows.
int SlowLinkViolations(const fleet_timing& timing, int schedules) {
  int violating = 0;
  for (int seed = 0; seed < schedules; ++seed) {
    std::mt19937_64 random(seed);
    const auto between = [&random](int low, int high) {
      return milliseconds(std::uniform_int_distribution<>(low, high)(random));
    };
    simulation sim(timing, seed);
    for (const auto* name : {"a", "b", "c"}) {
      sim.Start(name);
      sim.Run(between(1, 500));
    }
    sim.UseRights();
    sim.Run(seconds(5) + between(0, 5000), milliseconds(500));
    sim.SetCut("a", "b", true);
    sim.SetCut("b", "a", true);
    sim.SetPlatformLost("a", true);
    sim.SetPlatformLost("c", true);
    for (const auto* name : {"a", "b"}) {
      sim.network().SetDelay(host_id(name), host_id("c"), between(60, 120));
      sim.network().SetDelay(host_id("c"), host_id(name), between(60, 120));
    }
    sim.Run(seconds(30));
    EXPECT_GT(sim.used_steps(), 0);
    if (sim.violations() > 0) ++violating;
  }
  return violating;
}

// Guards against an outage threshold that does not cover the three delays of up
// to T between a platform contact of the reclaimer and the holder's decision.
TEST(slow_links, ThresholdOfThreeTimesTKeepsTheExclusion) {
  fleet_timing timing;
  timing.heartbeat_interval = milliseconds(750);
  const int violating_when_safe = SlowLinkViolations(timing, 20);
  EXPECT_EQ(violating_when_safe, 0);
  timing.outage_threshold = timing.contact_bound;
  const int violating_when_unsafe = SlowLinkViolations(timing, 20);
  EXPECT_GT(violating_when_unsafe, 0);
  std::printf("3T: %d of 20, T: %d of 20\n", violating_when_safe,
              violating_when_unsafe);
}

TEST(slow_links, WindowShorterThanTheLeaseIsDetected) {
  fleet_timing timing;
  timing.reclaim_window = timing.lease - 4 * timing.contact_bound;
  const int violating_when_unsafe = SlowLinkViolations(timing, 20);
  EXPECT_GT(violating_when_unsafe, 0);
  std::printf("V - 4T: %d of 20\n", violating_when_unsafe);
}

// `c` restarts in every heartbeat interval, answers the holder `a` before it
// knows of the platform contact of `b`, and then answers `b`.
int RestartingWitnessViolations(const fleet_timing& timing) {
  simulation sim(timing);
  sim.Start("a");
  sim.Run(milliseconds(250));
  sim.Start("b");
  sim.Run(milliseconds(150));
  sim.Start("c");
  sim.UseRights();
  sim.Run(milliseconds(12'000));
  sim.platform().faults().outage = true;
  sim.Run(seconds(5));
  sim.SetCut("a", "b", true);
  sim.SetCut("b", "a", true);
  sim.SetPlatformLost("a", true);
  sim.platform().faults().outage = false;
  for (int i = 0; i < 80; ++i) {
    sim.Restart("c");
    sim.SetPlatformLost("c", true);
    sim.Run(milliseconds(450));
    sim.Kill("c");
    sim.Run(milliseconds(50));
  }
  EXPECT_GT(sim.acquired(), 1);
  return sim.violations();
}

TEST(witness, RestartingMemberDoesNotConfirmAnOutage) {
  fleet_timing timing;
  EXPECT_EQ(RestartingWitnessViolations(timing), 0);
  timing.min_witness_uptime = clock::duration::zero();
  EXPECT_GT(RestartingWitnessViolations(timing), 0);
}

// Guards against a reclaim without half of the members: the holder `a` and `c`
// reach each other and stop their lease clocks; `b` alone has platform contact
// but reaches no peer.
TEST(quorum, MinorityWithPlatformContactReclaimsNothing) {
  simulation sim;
  for (const auto* name : {"a", "b", "c"}) sim.Start(name);
  sim.UseRights();
  sim.Run(seconds(8));
  ASSERT_EQ(sim.Holder(), "a");
  ASSERT_EQ(sim.Members("b").size(), 3u);
  sim.SetPlatformLost("a", true);
  sim.SetPlatformLost("c", true);
  sim.network().SetIsolated(host_id("b"), true);
  sim.Run(seconds(120));
  EXPECT_EQ(sim["a"].view->status(), host_status::kOutage);
  EXPECT_TRUE(sim["a"].view->HoldsLease());
  EXPECT_EQ(sim.Holder(), "a");
  EXPECT_EQ(sim.violations(), 0);
}

// Guards against a reclaim by a host that saw the record unchanged for the
// whole window but had no platform contact for part of it.
TEST(quorum, ContactOfTheReclaimerMustBeUninterrupted) {
  simulation sim;
  for (const auto* name : {"a", "b", "c"}) sim.Start(name);
  sim.UseRights();
  sim.Run(seconds(8));
  sim.platform().faults().outage = true;
  sim.Run(seconds(60));
  sim.SetPlatformLost("a", true);
  sim.platform().faults().outage = false;
  sim.Run(seconds(5));
  EXPECT_EQ(sim.Holder(), "a");
  sim.Run(seconds(60));
  EXPECT_NE(sim.Holder(), "a");
  EXPECT_EQ(sim.violations(), 0);
}

// Guards against joining hosts that reclaim from a single host in an outage,
// which is its own majority and knows only itself.
TEST(quorum, JoiningHostsDoNotOutvoteASingleHostInOutage) {
  simulation sim;
  sim.Start("a");
  sim.UseRights();
  sim.Run(seconds(8));
  sim.SetPlatformLost("a", true);
  sim.network().SetIsolated(host_id("a"), true);
  sim.Start("b");
  sim.Start("c");
  sim.Run(seconds(120));
  EXPECT_TRUE(sim["a"].view->HoldsLease());
  EXPECT_EQ(sim.Holder(), "a");
  EXPECT_EQ(sim.violations(), 0);
}

// Guards against a lease that is counted from the answer to a renewal: `a` is
// paused between sending a renewal and receiving the answer.
TEST(lease, CountsFromTheSendingOfTheRenewal) {
  simulation sim;
  sim.Start("a");
  sim.Start("b");
  sim.UseRights();
  sim.Run(seconds(8));
  ASSERT_EQ(sim.Holder(), "a");
  const auto before = sim.platform().Peek("hosts/a")->version;
  for (int i = 0; i < 6000; ++i) {
    sim.Run(milliseconds(1), milliseconds(1));
    if (sim.platform().Peek("hosts/a")->version != before) break;
  }
  sim.SetPaused("a", true);
  sim.Run(seconds(6));
  sim.SetPlatformLost("a", true);
  sim.SetPaused("a", false);
  EXPECT_TRUE(sim["a"].view->HoldsLease());
  sim.Run(seconds(40));
  EXPECT_EQ(sim.Holder(), "b");
  EXPECT_EQ(sim.violations(), 0);
}

// Guards against a lease clock that excludes a pause or a long gap between
// evaluations.
TEST(lease, OnlyShortIntervalsWithinAnOutageAreNotCounted) {
  const fleet_timing timing;
  host_lease lease(timing);
  clock::time_point now{seconds(100)};
  const auto advance = [&](clock::duration span, bool outage) {
    now += span;
    return lease.Evaluate(now, outage);
  };
  lease.Grant(now, now);
  EXPECT_TRUE(advance(seconds(1), true));
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(advance(seconds(1), true));
  EXPECT_TRUE(advance(seconds(1), false));
  EXPECT_TRUE(advance(seconds(1), true));
  EXPECT_FALSE(advance(seconds(12), true));
  EXPECT_FALSE(advance(seconds(0), true));
}

// A random schedule of faults, restarts and replacements.
class random_schedule {
 public:
  explicit random_schedule(int seed)
      : random_(seed),
        sim_(seed % 4 != 0 ? ShortTiming() : fleet_timing(), seed) {
    const int size = 1 + seed % 3;
    for (int i = 0; i < size; ++i) AddHost();
    sim_.UseRights();
  }

  void Run(int steps) {
    sim_.Run(seconds(5));
    for (int i = 0; i < steps; ++i) {
      InjectFault();
      sim_.Run(milliseconds(Between(50, 2500)));
    }
  }

  // Removes all faults.
  void Heal() {
    sim_.platform().faults() = {};
    for (const auto& name : names_) {
      sim_.SetPaused(name, false);
      sim_[name].store->faults() = {};
      for (const auto& other : names_) {
        sim_.SetCut(name, other, false);
        sim_.network().SetLoss(host_id(name), host_id(other), 0);
        sim_.network().SetDelay(host_id(name), host_id(other), milliseconds(1));
      }
    }
    sim_.Run(seconds(60));
  }

  simulation& sim() { return sim_; }
  bool replaced() const { return replaced_; }

 private:
  int Between(int low, int high) {
    return std::uniform_int_distribution<>(low, high)(random_);
  }
  bool Chance(int percent) { return Between(1, 100) <= percent; }
  const std::string& AnyHost() { return names_[Between(0, names_.size() - 1)]; }

  void AddHost() {
    names_.push_back("h" + std::to_string(next_id_++));
    sim_.Start(names_.back(), names_);
  }

  void InjectFault() {
    const auto& name = AnyHost();
    auto& faults = sim_[name].store->faults();
    const host_id from(name);
    const host_id to(AnyHost());
    switch (Between(0, 11)) {
      case 0:
      case 1:
        sim_.network().SetCut(from, to, Chance(40));
        break;
      case 2:
        faults.outage = Chance(40);
        break;
      case 3:
        sim_.platform().faults().outage = Chance(25);
        break;
      case 4:
      case 5:
        sim_.SetPaused(name, Chance(40));
        break;
      case 6:
        faults.lose_answers = Between(1, 3);
        break;
      case 7:
        faults.delay = milliseconds(Chance(40) ? Between(0, 6000) : 0);
        break;
      case 8:
        sim_.network().SetDelay(from, to, milliseconds(Between(1, 450)));
        break;
      case 9:
        sim_.network().SetLoss(from, to, Chance(40) ? 0.3 : 0);
        break;
      case 10:
        sim_.Restart(name, names_);
        break;
      case 11:
        if (Chance(30)) Replace();
        break;
    }
  }

  // The oldest host stops, with or without a release, and a new one starts.
  void Replace() {
    const auto old = names_.front();
    replaced_ = true;
    AddHost();
    sim_.Run(seconds(Between(0, 8)));
    if (Between(0, 2) > 0) {
      sim_[old].view->Release([] {});
      sim_.Run(seconds(2));
    }
    sim_.Kill(old);
    names_.erase(names_.begin());
  }

  std::mt19937_64 random_;
  simulation sim_;
  names names_;
  int next_id_ = 0;
  bool replaced_ = false;
};

// Guards against two users of one right under pauses between check and use,
// one-way links, lost and late platform answers, restarts, membership changes
// and host replacement, and against a right that stays unused after all faults
// are removed.
TEST(random_schedules, NoRightHasTwoUsers) {
  int acquisitions = 0;
  int healed = 0;
  for (int seed = 1; seed <= kRandomSchedules; ++seed) {
    random_schedule schedule(seed);
    schedule.Run(40);
    acquisitions += schedule.sim().acquired();
    ASSERT_EQ(schedule.sim().violations(), 0) << "seed " << seed;
    if (schedule.replaced()) continue;
    schedule.Heal();
    ++healed;
    const int before = schedule.sim().used_steps();
    schedule.sim().Run(seconds(1));
    EXPECT_GT(schedule.sim().used_steps(), before) << "seed " << seed;
    ASSERT_EQ(schedule.sim().violations(), 0) << "seed " << seed;
  }
  EXPECT_GT(acquisitions, kRandomSchedules);
  std::printf("%d schedules, %d acquisitions, %d healed\n", kRandomSchedules,
              acquisitions, healed);
}

}  // namespace
}  // namespace bluebell::fleet
