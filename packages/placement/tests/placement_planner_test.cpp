#include "placement/placement_planner.h"

#include <gtest/gtest.h>

namespace bluebell::placement {
namespace {

/// Engines of 100 bytes in alternating zones.
class planner_test : public ::testing::Test {
 protected:
  planner_test() {
    input_.max_loads = 8;
    input_.max_moves = 4;
  }

  int AddEngine() {
    const int index = static_cast<int>(input_.engines.size());
    planner_engine engine;
    engine.id = endpoint_id("e" + std::to_string(index));
    engine.zone = zone_id(index % 2 == 0 ? "x" : "y");
    engine.free = 100;
    engine.usable = engine.controllable = true;
    input_.engines.push_back(engine);
    return index;
  }

  int AddModel(std::int64_t size, double demand, double purchased,
               const std::vector<int>& engines) {
    const int index = static_cast<int>(input_.models.size());
    input_.models.push_back(
        {"m" + std::to_string(index), size, 1, demand, purchased, 0});
    input_.copies.emplace_back();
    for (const int e : engines) {
      input_.copies.back().push_back({e, copy_state::kResident, true});
      input_.engines[e].free -= size;
    }
    return index;
  }

  static std::vector<int> Models(const plan& step, change_kind kind) {
    std::vector<int> models;
    for (const auto& change : step.changes) {
      if (change.kind == kind) models.push_back(change.model);
    }
    return models;
  }

  planning_input input_;
};

// Guards against a priority account that calls rarely and finds only one copy,
// because its model has little recent demand. The recent-demand baseline fails
// this way.
TEST_F(planner_test, PurchasedPriorityCountsBesideRecentDemand) {
  AddEngine();
  AddEngine();
  const int busy = AddModel(60, 100, 0, {0, 1});
  AddModel(40, 0, 50, {0});
  AddModel(40, 20, 0, {1});
  EXPECT_TRUE(recent_demand_planner().Plan(input_).changes.empty());
  EXPECT_EQ(Models(priority_aware_planner().Plan(input_), change_kind::kUnload),
            std::vector<int>{busy});
}

// Guards against unloading a last copy although the model could first be loaded
// on another engine.
TEST_F(planner_test, RelocatesBeforeItUnloadsALastCopy) {
  AddEngine();
  AddEngine();
  const int small = AddModel(40, 0, 0, {0});
  AddModel(50, 0, 0, {1});
  const int large = AddModel(90, 0, 0, {});
  input_.models[large].waiting = 5;
  const auto step = priority_aware_planner().Plan(input_);
  EXPECT_EQ(Models(step, change_kind::kLoad), std::vector<int>{small});
  EXPECT_EQ(Models(step, change_kind::kUnload), std::vector<int>());
}

// Guards against models that are never served when memory cannot hold all
// models: a model with waiting requests replaces an idle one, others stay.
TEST_F(planner_test, WaitingModelReplacesIdleModelWhenMemoryIsFull) {
  AddEngine();
  const int idle = AddModel(60, 1, 0, {0});
  AddModel(40, 9, 0, {0});
  const int absent = AddModel(60, 0, 0, {});
  auto step = priority_aware_planner().Plan(input_);
  EXPECT_TRUE(step.changes.empty());
  EXPECT_EQ(step.unplaced, std::vector<int>{absent});
  input_.models[absent].waiting = 1;
  step = priority_aware_planner().Plan(input_);
  EXPECT_EQ(Models(step, change_kind::kUnload), std::vector<int>{idle});
}

// Guards against copies that move back and forth at every plan.
TEST_F(planner_test, HysteresisLimitsMoves) {
  for (int i = 0; i < 4; ++i) AddEngine();
  AddModel(100, 30, 0, {0, 1, 2});
  const int other = AddModel(100, 31, 0, {3});
  EXPECT_EQ(Models(priority_aware_planner().Plan(input_), change_kind::kUnload)
                .size(),
            1u);
  input_.max_moves = 0;
  EXPECT_TRUE(priority_aware_planner().Plan(input_).changes.empty());
  input_.max_moves = 4;
  input_.copies[0].pop_back();
  input_.copies[other].push_back({2, copy_state::kResident, true});
  input_.models[0].demand = 40;
  EXPECT_TRUE(priority_aware_planner().Plan(input_).changes.empty());
}

}  // namespace
}  // namespace bluebell::placement
