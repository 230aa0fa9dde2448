#include "serving/engine_inventory.h"

#include <gtest/gtest.h>

namespace bluebell::serving {
namespace {

const model_id kModel("tiles");
const endpoint_id kEngine("engine");

engine_spec MakeSpec() {
  engine_spec spec;
  spec.weights_mb = 100;
  spec.adapter_slots = 2;
  model_spec model;
  model.id = kModel;
  model.weights_mb = 60;
  model.adapter_mb = 5;
  spec.models.push_back(model);
  model.id = model_id("lines");
  spec.models.push_back(model);
  return spec;
}

engine_report MakeReport(std::int64_t orders) {
  engine_report report;
  report.order_count = orders;
  report.resident[kModel];
  return report;
}

placement_order Adapter(const std::string& name, order_kind kind) {
  return {kind, kEngine, kModel, adapter_id(name)};
}

// Guards against loading more adapters than an engine has slots: the engine
// crashes on one more.
TEST(engine_inventory, AcceptedAdapterOccupiesSlotAtOnce) {
  const auto spec = MakeSpec();
  engine_inventory inventory;
  inventory.OnReport(MakeReport(3));
  for (const char* name : {"a1", "a2"}) {
    const auto order = Adapter(name, order_kind::kLoad);
    ASSERT_TRUE(inventory.HasRoom(order, spec));
    inventory.OnAccepted(order, false);
  }
  EXPECT_FALSE(inventory.HasRoom(Adapter("a3", order_kind::kLoad), spec));
  EXPECT_EQ(inventory.order_count(), 5);
}

// Guards against reusing memory while a running request still needs it.
TEST(engine_inventory, UnloadInProgressKeepsSlot) {
  const auto spec = MakeSpec();
  engine_inventory inventory;
  inventory.OnReport(MakeReport(0));
  inventory.OnAccepted(Adapter("a1", order_kind::kLoad), false);
  inventory.OnAccepted(Adapter("a2", order_kind::kLoad), false);
  inventory.OnAccepted(Adapter("a1", order_kind::kUnload), false);
  EXPECT_TRUE(inventory.busy());
  EXPECT_FALSE(inventory.HasRoom(Adapter("a3", order_kind::kLoad), spec));
  auto report = MakeReport(3);
  report.resident[kModel] = {adapter_id("a2")};
  inventory.OnReport(report);
  EXPECT_FALSE(inventory.busy());
  EXPECT_TRUE(inventory.HasRoom(Adapter("a3", order_kind::kLoad), spec));
}

// Guards against a report from before an accepted order.
TEST(engine_inventory, OlderReportIsIgnored) {
  engine_inventory inventory;
  inventory.OnReport(MakeReport(2));
  inventory.OnAccepted(Adapter("a1", order_kind::kLoad), false);
  inventory.OnReport(MakeReport(2));
  EXPECT_EQ(inventory.order_count(), 3);
  EXPECT_EQ(inventory.adapters(), 1);
}

TEST(engine_inventory, RefusesModelBeyondMemory) {
  const auto spec = MakeSpec();
  engine_inventory inventory;
  inventory.OnReport(MakeReport(0));
  EXPECT_FALSE(inventory.HasRoom(
      {order_kind::kLoad, kEngine, model_id("lines"), {}}, spec));
  inventory.OnAccepted({order_kind::kUnload, kEngine, kModel, {}}, true);
  EXPECT_TRUE(inventory.HasRoom(
      {order_kind::kLoad, kEngine, model_id("lines"), {}}, spec));
}

// Guards against counting a model of unknown size as 0 MB.
TEST(engine_inventory, UnknownModelLeavesNoRoom) {
  engine_inventory inventory;
  auto report = MakeReport(0);
  report.resident[model_id("foreign")];
  inventory.OnReport(report);
  EXPECT_FALSE(inventory.HasRoom(Adapter("a1", order_kind::kLoad), MakeSpec()));
}

}  // namespace
}  // namespace bluebell::serving
