#include "serving/copy_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace bluebell::serving {
namespace {

constexpr double kModelMb = 60;
constexpr double kEngineMb = 200;

model_spec MakeModel(const std::string& id) {
  model_spec spec;
  spec.id = model_id(id);
  spec.weights_mb = kModelMb;
  spec.load_from_store_s = 4;
  spec.load_from_disk_s = 1;
  spec.load_from_memory_s = 0.5;
  return spec;
}

planned_engine MakeEngine(const std::string& id,
                          const std::vector<std::string>& models) {
  planned_engine engine;
  engine.id = endpoint_id(id);
  engine.weights_mb = kEngineMb;
  for (const auto& model : models) engine.resident[model_id(model)];
  return engine;
}

planner_input MakeInput(std::vector<planned_engine> engines,
                        const std::vector<std::string>& models) {
  planner_input input;
  input.engines = std::move(engines);
  for (const auto& model : models) input.models.push_back(MakeModel(model));
  input.store_loads = 2;
  return input;
}

TEST(copy_planner, ModelWithoutCopyComesFirst) {
  auto input = MakeInput({MakeEngine("e1", {"busy"})}, {"busy", "rare"});
  input.demand[model_id("busy")].recent = 500;
  const auto orders = PlanCopies(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].kind, order_kind::kLoad);
  EXPECT_EQ(orders[0].model, model_id("rare"));
}

// Guards against a model that nobody can reach any more.
TEST(copy_planner, LastCopyNeverMakesWay) {
  auto input =
      MakeInput({MakeEngine("e1", {"a", "b", "c"})}, {"a", "b", "c", "busy"});
  input.demand[model_id("busy")].recent = 1000;
  EXPECT_TRUE(PlanCopies(input).empty());
}

// Load pattern: demand moves to a model with one copy while the engines are
// full of copies of models that were busy before.
TEST(copy_planner, CopiesFollowDemand) {
  std::vector<planned_engine> engines;
  for (int i = 0; i < 6; ++i) {
    engines.push_back(
        MakeEngine("e" + std::to_string(i), {"old", "older", "oldest"}));
  }
  engines.push_back(MakeEngine("e6", {"old", "older", "next"}));
  auto input =
      MakeInput(std::move(engines), {"old", "older", "oldest", "next"});
  input.demand[model_id("next")].recent = 80;
  input.demand[model_id("old")].recent = 10;
  input.comfortable_per_copy = 20;
  const auto orders = PlanCopies(input);
  ASSERT_FALSE(orders.empty());
  for (const auto& order : orders) {
    EXPECT_EQ(order.kind, order_kind::kUnload);
    EXPECT_NE(order.model, model_id("next"));
  }
}

TEST(copy_planner, OneOrderPerEngineAndNoneForBusyOnes) {
  auto input =
      MakeInput({MakeEngine("e1", {}), MakeEngine("e2", {})}, {"a", "b", "c"});
  input.engines[1].busy = true;
  input.store_loads = 10;
  const auto orders = PlanCopies(input);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].engine, endpoint_id("e1"));
}

// Guards against loads beyond the weight store's rate.
TEST(copy_planner, StoreLoadsAreLimited) {
  std::vector<planned_engine> engines;
  for (int i = 0; i < 8; ++i) {
    engines.push_back(MakeEngine("e" + std::to_string(i), {}));
  }
  engines[3].on_disk.insert(model_id("a"));
  auto input = MakeInput(std::move(engines), {"a", "b", "c", "d", "e"});
  input.store_loads = 2;
  const auto orders = PlanCopies(input);
  EXPECT_EQ(std::count_if(orders.begin(), orders.end(),
                          [](const auto& order) { return order.from_store; }),
            2);
  EXPECT_TRUE(std::any_of(orders.begin(), orders.end(), [](const auto& order) {
    return order.engine == endpoint_id("e3") && !order.from_store;
  }));
}

// Guards against a load under way that is ordered a second time elsewhere.
TEST(copy_planner, LoadUnderWayCountsAsCopy) {
  auto input =
      MakeInput({MakeEngine("e1", {}), MakeEngine("e2", {"a"})}, {"a"});
  input.engines[0].busy = true;
  input.engines[0].loading = model_id("a");
  EXPECT_TRUE(PlanCopies(input).empty());
}

// Load pattern: short requests name many adapters of one model, more than one
// engine has places for.
TEST(copy_planner, AdaptersInUseAskForCopies) {
  std::vector<planned_engine> engines;
  for (int i = 0; i < 5; ++i) {
    engines.push_back(MakeEngine(
        "e" + std::to_string(i),
        i < 2 ? std::vector<std::string>{"a"} : std::vector<std::string>{}));
  }
  auto input = MakeInput(std::move(engines), {"a"});
  input.adapter_slots = 5;
  input.demand[model_id("a")] = {1, 1, 20};
  input.store_loads = 10;
  EXPECT_GE(PlanCopies(input).size(), 2U);
}

}  // namespace
}  // namespace bluebell::serving
