#include "placement/controller.h"

#include <gtest/gtest.h>

#include "placement/tests/fake_fleet.h"

namespace bluebell::placement {
namespace {

class placement_test : public ::testing::Test {
 protected:
  void Build(std::uint64_t seed, int engines, int models, int adapters,
             std::int64_t model_size, bool mixed = true) {
    fleet_ = std::make_unique<fake_fleet>(clock_, seed);
    platform_ = std::make_unique<store::memory_platform>(clock_);
    for (int i = 0; i < engines; ++i) {
      const bool checks = mixed ? i % 2 == 0 : true;
      fleet_->Add("e" + std::to_string(i), "z" + std::to_string(i % 3), 100,
                  checks);
    }
    for (int i = 0; i < models; ++i) {
      const std::int64_t size = model_size - 8 + fleet_->Pick(17);
      fleet_->AddModel("m" + std::to_string(i), size);
    }
    for (int i = 0; i < adapters; ++i) {
      fleet_->AddAdapter("a" + std::to_string(i),
                         "m" + std::to_string(i % models), 2);
    }
  }

  void AddHost(const std::string& name, controller_options options = {}) {
    hosts_.push_back(std::make_unique<fake_host>(name, *fleet_, leases_,
                                                 *platform_, options));
  }

  /// Demand for models and adapters, most of it for a few models.
  void SendDemand(int hot, int adapters) {
    std::vector<routing::target_demand> demand;
    const int models = static_cast<int>(fleet_->rows.models().size());
    for (int i = 0; i < models; ++i) {
      routing::target_demand entry;
      entry.target = "m" + std::to_string(i);
      entry.account = account_id("x");
      entry.tokens = token_count(i == hot ? 10'000 : 10);
      demand.push_back(entry);
    }
    for (int i = 0; i < adapters; ++i) {
      if (!fleet_->Chance(0.2)) continue;
      routing::target_demand entry;
      entry.target = "a" + std::to_string(i);
      entry.account = account_id("y");
      entry.tokens = token_count(10);
      demand.push_back(entry);
    }
    for (auto& host : hosts_) {
      host->control.OnDemand(host_id("h"), demand, {});
    }
  }

  void ExpectNoOvercommit() const {
    EXPECT_EQ(fleet_->overcommits, 0);
    for (const auto& [id, engine] : fleet_->engines) {
      EXPECT_LE(engine.peak, engine.memory) << id.value();
    }
  }

  manual_clock clock_;
  fake_leases leases_{clock_};
  std::unique_ptr<fake_fleet> fleet_;
  std::unique_ptr<store::memory_platform> platform_;
  std::vector<std::unique_ptr<fake_host>> hosts_;
};

TEST_F(placement_test, PlacesEveryModelTwiceInDifferentZones) {
  Build(1, 12, 15, 80, 30);
  AddHost("a");
  clock_.Advance(seconds(60));
  for (const auto& [id, row] : fleet_->rows.models()) {
    EXPECT_GE(fleet_->ZonesOf(id.value()).size(), 2u) << id.value();
  }
  ExpectNoOvercommit();
}

// Guards against a model that becomes unreachable when one engine or zone
// fails.
TEST_F(placement_test, ModelsStayReachableAfterLossOfAnEngineOrZone) {
  Build(2, 12, 15, 10, 40);
  AddHost("a");
  clock_.Advance(seconds(120));
  ASSERT_TRUE(fleet_->Unreachable().empty());
  const auto lose =
      [&](const std::function<bool(const fake_engine&)>& matches) {
        for (auto& [id, engine] : fleet_->engines) {
          if (matches(engine)) fleet_->Stop(engine);
        }
        clock_.Advance(seconds(180));
        EXPECT_EQ(fleet_->Unreachable(), std::vector<std::string>());
        for (auto& [id, engine] : fleet_->engines) engine.up = true;
        clock_.Advance(seconds(180));
      };
  for (int i = 0; i < 12; ++i) {
    const endpoint_id lost("e" + std::to_string(i));
    lose([&](const fake_engine& engine) { return engine.id == lost; });
  }
  for (const char* name : {"z0", "z1", "z2"}) {
    const zone_id lost(name);
    lose([&](const fake_engine& engine) { return engine.zone == lost; });
  }
  ExpectNoOvercommit();
}

// Guards against unloading the last copy while copies move to follow demand.
TEST_F(placement_test, ModelsStayReachableWhileDemandShifts) {
  Build(3, 12, 15, 20, 45);
  AddHost("a");
  clock_.Advance(seconds(120));
  ASSERT_TRUE(fleet_->Unreachable().empty());
  fleet_->faults = {0.1, 0.1, 0.1, 0.1, seconds(60), seconds(300)};
  int unreachable_steps = 0;
  for (int step = 0; step < 3600; ++step) {
    if (step % 10 == 0) SendDemand(step / 600 % 15, 20);
    clock_.Advance(seconds(1));
    unreachable_steps += fleet_->Unreachable().empty() ? 0 : 1;
  }
  EXPECT_EQ(unreachable_steps, 0);
  EXPECT_GT(hosts_[0]->control.moves(), 0);
  RecordProperty("moves", std::to_string(hosts_[0]->control.moves()));
  ExpectNoOvercommit();
}

// Guards against a controller that is paused, loses its lease to another host
// and resends its orders when it resumes.
TEST_F(placement_test, ResumedControllerSendsNothing) {
  Build(4, 6, 6, 0, 45);
  AddHost("a");
  clock_.Advance(seconds(5));
  ASSERT_TRUE(hosts_[0]->control.in_control());
  AddHost("b");
  fleet_->faults.lost = 1;
  clock_.Advance(seconds(5));
  hosts_[0]->gate.Pause();
  clock_.Advance(seconds(30));
  ASSERT_TRUE(hosts_[1]->control.in_control());
  const int before = hosts_[0]->sent;
  // The host lease is renewed before the controller resumes.
  leases_.Renew(host_id("a"));
  hosts_[0]->gate.Resume();
  clock_.Advance(seconds(30));
  EXPECT_EQ(hosts_[0]->sent, before);
  EXPECT_FALSE(hosts_[0]->control.in_control());
}

// Guards against stored values of another writer that keep every host from the
// lease, or from the loads of earlier controllers, so that nothing is placed.
TEST_F(placement_test, OddStoredValuesDoNotStopPlacement) {
  const std::vector<std::string> leases = {
      R"({"host":7})", R"({"host":"x","released":"no","incarnation":7})",
      R"({"host":null,"released":true})", "null", "[]"};
  const std::vector<std::string> intents = {
      R"({"loads":[{"target":7,"memory_bytes":"x"},5]})", R"({"loads":"x"})",
      R"({"loads":7,"writer":7})", "null"};
  for (const auto& lease : leases) {
    SCOPED_TRACE(lease);
    hosts_.clear();
    Build(4, 4, 4, 0, 45);
    platform_->Seed("controller/lease", nlohmann::json::parse(lease));
    int engine = 0;
    for (const auto& intent : intents) {
      platform_->Seed("placement/e" + std::to_string(engine++),
                      nlohmann::json::parse(intent));
    }
    AddHost("a");
    clock_.Advance(seconds(60));
    EXPECT_TRUE(hosts_[0]->control.in_control());
    EXPECT_EQ(fleet_->Unreachable(), std::vector<std::string>());
  }
  hosts_.clear();
}

// Guards against lease reads that grow with the fleet: all reads share the
// platform's limit of 2,000 a second.
TEST_F(placement_test, HostWithoutControlReadsTheLeaseRarely) {
  Build(4, 2, 2, 0, 45);
  AddHost("a");
  clock_.Advance(seconds(5));
  ASSERT_TRUE(hosts_[0]->control.in_control());
  AddHost("b");
  clock_.Advance(seconds(5));
  const auto before = platform_->counts().gets;
  clock_.Advance(seconds(60));
  EXPECT_LE(platform_->counts().gets - before, 12);
  EXPECT_FALSE(hosts_[1]->control.in_control());
}

// Guards against overcommitment by an order of the previous controller that
// arrives after the new controller received a report of the engine.
TEST_F(placement_test, LateOrderOfThePreviousControllerIsCounted) {
  Build(5, 1, 0, 0, 0, false);
  fleet_->AddModel("old", 60);
  AddHost("a");
  fleet_->faults.lost = 1;
  clock_.Advance(seconds(5));
  ASSERT_GT(hosts_[0]->sent, 0);
  const order late{"1", hosts_[0]->control.fence(), order_operation::kLoadModel,
                   "old", byte_count(60)};
  hosts_[0]->control.Stop();
  fleet_->faults.lost = 0;
  fleet_->Remove("models/old");
  fleet_->AddModel("new", 60);
  AddHost("b");
  auto& engine = fleet_->engines.begin()->second;
  // The late order arrives while the first order of the new controller is in
  // flight.
  for (int i = 0; i < 10'000 && hosts_[1]->sent == 0; ++i) {
    clock_.Advance(milliseconds(1));
  }
  ASSERT_GT(hosts_[1]->control.fence(), late.fence);
  EXPECT_TRUE(fleet_->Apply(engine, late));
  clock_.Advance(seconds(30));
  EXPECT_FALSE(fleet_->Apply(engine, late));
  // The removed model makes room for the new one.
  EXPECT_EQ(fleet_->Unreachable(), std::vector<std::string>());
  EXPECT_FALSE(fleet_->Reachable("old"));
  ExpectNoOvercommit();
}

// Guards against callers that wait for an adapter load although there was room
// to keep the adapter resident.
TEST_F(placement_test, UnusedAdaptersAreResidentWhereThereIsRoom) {
  Build(7, 12, 15, 80, 30);
  AddHost("a");
  clock_.Advance(seconds(120));
  for (const auto& [id, row] : fleet_->rows.adapters()) {
    EXPECT_TRUE(fleet_->Reachable(id.value())) << id.value();
  }
  ExpectNoOvercommit();
}

// Guards against adapters that are loaded without their model, are never
// evicted, or cannot be loaded because idle adapters are not evicted.
TEST_F(placement_test, AdaptersAreLoadedOnDemandAndTheOldestMakeRoom) {
  Build(6, 2, 0, 0, 0);
  fleet_->AddModel("m", 90);
  for (int i = 0; i < 8; ++i) {
    fleet_->AddAdapter("a" + std::to_string(i), "m", 4);
  }
  AddHost("a");
  clock_.Advance(seconds(30));
  for (int i = 0; i < 8; ++i) {
    routing::target_demand demand;
    demand.target = "a" + std::to_string(i);
    hosts_[0]->control.OnDemand(host_id("h"), {demand}, {});
    clock_.Advance(seconds(150));
    EXPECT_TRUE(fleet_->Reachable(demand.target)) << demand.target;
  }
  EXPECT_FALSE(fleet_->Reachable("a0"));
  EXPECT_TRUE(fleet_->Reachable("m"));
  ExpectNoOvercommit();
}

// Guards against overcommitted memory under lost, late and duplicated orders,
// restarts in the middle of a load, and controllers that are paused, replaced
// and resumed. Checks the peak use recorded by engines with and without
// fencing.
class placement_schedules : public placement_test,
                            public ::testing::WithParamInterface<int> {
 protected:
  void InjectFaults(int step) {
    if (fleet_->Chance(0.05)) {
      auto& engine = PickEngine();
      fleet_->Stop(engine);
      fleet_->After(seconds(fleet_->Pick(20)), [&engine] { engine.up = true; });
    }
    if (fleet_->Chance(0.03)) {
      auto& host = *hosts_[fleet_->Pick(static_cast<int>(hosts_.size()))];
      host.gate.Pause();
      fleet_->After(seconds(1 + fleet_->Pick(60)),
                    [&host] { host.gate.Resume(); });
    }
    auto& faults = platform_->faults();
    if (fleet_->Chance(0.05)) faults.lose_answers += fleet_->Pick(3);
    if (fleet_->Chance(0.02)) faults.outage = !faults.outage;
    if (step % 10 == 0) SendDemand(step / 60 % 15, 10);
  }

  fake_engine& PickEngine() {
    auto at = fleet_->engines.begin();
    std::advance(at, fleet_->Pick(static_cast<int>(fleet_->engines.size())));
    return at->second;
  }
};

TEST_P(placement_schedules, MemoryIsNeverOvercommitted) {
  Build(GetParam(), 8, 10, 10, 42);
  AddHost("a");
  AddHost("b");
  fleet_->faults = {0.15, 0.15, 0.2, 0.1, seconds(100), seconds(600)};
  for (int step = 0; step < 900; ++step) {
    InjectFaults(step);
    clock_.Advance(seconds(1));
    ASSERT_EQ(fleet_->overcommits, 0) << "step " << step;
  }
  fleet_->faults = {};
  platform_->faults().outage = false;
  clock_.Advance(seconds(600));
  ExpectNoOvercommit();
  EXPECT_EQ(fleet_->Unreachable(), std::vector<std::string>());
  EXPECT_NE(hosts_[0]->control.in_control(), hosts_[1]->control.in_control());
}

INSTANTIATE_TEST_SUITE_P(seeds, placement_schedules, ::testing::Range(1, 16));

}  // namespace
}  // namespace bluebell::placement
