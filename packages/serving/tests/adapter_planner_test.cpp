#include "serving/adapter_planner.h"

#include <gtest/gtest.h>

namespace bluebell::serving {
namespace {

const model_id kModel("tiles");

adapter_candidate MakeEngine(const std::string& id,
                             const std::vector<std::string>& adapters) {
  adapter_candidate engine{endpoint_id(id), {}, 2, 100, 1};
  auto& held = engine.resident[kModel];
  for (const auto& adapter : adapters) held.insert(adapter_id(adapter));
  return engine;
}

std::optional<placement_order> Plan(std::vector<adapter_candidate> engines) {
  return PlanAdapter(engines, kModel, adapter_id("new"), 5,
                     [](const auto&, const adapter_id& adapter) {
                       return adapter == adapter_id("idle") ? 0.0 : 1.0;
                     });
}

TEST(adapter_planner, LoadsAtEngineWithMostFreeSlots) {
  const auto order = Plan({MakeEngine("e1", {"a"}), MakeEngine("e2", {})});
  ASSERT_TRUE(order);
  EXPECT_EQ(order->kind, order_kind::kLoad);
  EXPECT_EQ(order->engine, endpoint_id("e2"));
}

// Guards against evicting an adapter in use, which blocks all other orders to
// its engine until the running request ends.
TEST(adapter_planner, IdleAdapterIsEvicted) {
  const auto order =
      Plan({MakeEngine("e1", {"a", "b"}), MakeEngine("e2", {"c", "idle"})});
  ASSERT_TRUE(order);
  EXPECT_EQ(order->kind, order_kind::kUnload);
  EXPECT_EQ(order->adapter, adapter_id("idle"));
}

TEST(adapter_planner, NoOrderIfAlreadyLoaded) {
  EXPECT_FALSE(Plan({MakeEngine("e1", {"new"}), MakeEngine("e2", {})}));
}

TEST(adapter_planner, NoLoadWithoutFreeMemory) {
  auto engine = MakeEngine("e1", {});
  engine.free_mb = 1;
  EXPECT_FALSE(Plan({engine}));
}

}  // namespace
}  // namespace bluebell::serving
