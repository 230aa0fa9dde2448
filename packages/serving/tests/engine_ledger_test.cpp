#include "serving/engine_ledger.h"

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

// Guards against adapters beyond an engine's places: the engine crashes when
// it is ordered to load one more.
TEST(engine_ledger, AcceptedAdapterTakesItsPlaceAtOnce) {
  const auto spec = MakeSpec();
  engine_ledger ledger;
  ledger.OnReport(MakeReport(3));
  for (const char* name : {"a1", "a2"}) {
    const auto order = Adapter(name, order_kind::kLoad);
    ASSERT_TRUE(ledger.HasRoom(order, spec));
    ledger.OnAccepted(order, false);
  }
  EXPECT_FALSE(ledger.HasRoom(Adapter("a3", order_kind::kLoad), spec));
  EXPECT_EQ(ledger.order_count(), 5);
}

// Guards against memory that is given away while a run still uses it.
TEST(engine_ledger, UnloadUnderWayKeepsItsPlace) {
  const auto spec = MakeSpec();
  engine_ledger ledger;
  ledger.OnReport(MakeReport(0));
  ledger.OnAccepted(Adapter("a1", order_kind::kLoad), false);
  ledger.OnAccepted(Adapter("a2", order_kind::kLoad), false);
  ledger.OnAccepted(Adapter("a1", order_kind::kUnload), false);
  EXPECT_TRUE(ledger.busy());
  EXPECT_FALSE(ledger.HasRoom(Adapter("a3", order_kind::kLoad), spec));
  auto report = MakeReport(3);
  report.resident[kModel] = {adapter_id("a2")};
  ledger.OnReport(report);
  EXPECT_FALSE(ledger.busy());
  EXPECT_TRUE(ledger.HasRoom(Adapter("a3", order_kind::kLoad), spec));
}

// Guards against a report that lags behind an accepted order.
TEST(engine_ledger, OlderReportIsIgnored) {
  engine_ledger ledger;
  ledger.OnReport(MakeReport(2));
  ledger.OnAccepted(Adapter("a1", order_kind::kLoad), false);
  ledger.OnReport(MakeReport(2));
  EXPECT_EQ(ledger.order_count(), 3);
  EXPECT_EQ(ledger.adapters(), 1);
}

TEST(engine_ledger, RefusesModelBeyondMemory) {
  const auto spec = MakeSpec();
  engine_ledger ledger;
  ledger.OnReport(MakeReport(0));
  EXPECT_FALSE(ledger.HasRoom(
      {order_kind::kLoad, kEngine, model_id("lines"), {}}, spec));
  ledger.OnAccepted({order_kind::kUnload, kEngine, kModel, {}}, true);
  EXPECT_TRUE(ledger.HasRoom(
      {order_kind::kLoad, kEngine, model_id("lines"), {}}, spec));
}

// Guards against a model without a known size that is counted as nothing.
TEST(engine_ledger, UnknownModelLeavesNoRoom) {
  engine_ledger ledger;
  auto report = MakeReport(0);
  report.resident[model_id("foreign")];
  ledger.OnReport(report);
  EXPECT_FALSE(ledger.HasRoom(Adapter("a1", order_kind::kLoad), MakeSpec()));
}

}  // namespace
}  // namespace bluebell::serving
