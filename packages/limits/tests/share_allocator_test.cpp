#include "limits/share_allocator.h"

#include <gtest/gtest.h>

#include "idempotency/tests/simulated_host.h"

namespace bluebell::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class expired_view : public testing::fake_fleet_view {
 public:
  bool MayReclaim(const host_id& host, const incarnation_id&) const override {
    return host == host_id("dead");
  }
};

/// The share allocator of host "a" and the parts in local use.
struct allocator_fixture {
  allocator_fixture() {
    view.own = host_id("a");
    view.run = incarnation_id("a/1");
    view.live = {host_id("a")};
  }

  /// Advances the clock and checks that no more parts are used than recorded.
  void Run(clock::duration span) {
    for (const auto end = time.now() + span; time.now() < end;) {
      allocator.Reconcile(account);
      time.Advance(milliseconds(10));
      ASSERT_LE(parts, RecordedParts("a"));
    }
  }

  int RecordedParts(const char* host) const {
    const auto found = platform.Peek(BudgetName(account));
    if (!found) return 0;
    const auto record = ParseShareRecord(found->value);
    for (const share& each : record->shares) {
      if (each.host == host_id(host)) return each.parts;
    }
    return 0;
  }

  void SeedHolder(const char* host, const char* stamp) {
    share_record record;
    record.Set({host_id(host), incarnation_id("1"), kWholeBudget, stamp});
    platform.Seed(BudgetName(account), ToJson(record));
  }

  const account_id account{"gallagher"};
  manual_clock time;
  store::memory_platform platform{time};
  store::memory_object_store store{platform};
  event_log events{time, host_id("a")};
  expired_view view;
  lease_monitor monitor{view, time, events};
  int parts = 0;
  bool loans_fit = true;
  share_allocator allocator{
      store,
      view,
      monitor,
      time,
      events,
      [this](const account_id&, int granted) { parts = granted; },
      [this](const account_id&, int) { return loans_fit; }};
};

// Guards against reclaiming from a holder that renewed its lease and confirmed
// its share, while this host's fleet view does not show the renewal yet.
TEST(share_allocator, ReclaimsOnlyIfStampIsUnchanged) {
  allocator_fixture fixture;
  fixture.SeedHolder("dead", "first");
  fixture.Run(milliseconds(1500));
  fixture.SeedHolder("dead", "second");
  fixture.Run(milliseconds(1800));
  EXPECT_EQ(fixture.RecordedParts("dead"), kWholeBudget);
  fixture.Run(seconds(12));
  EXPECT_EQ(fixture.RecordedParts("dead"), 0);
  EXPECT_EQ(fixture.parts, kWholeBudget);
}

// Guards against using a share while a write that lowers it is still in flight:
// its response is late, and the target rises again in the meantime.
TEST(share_allocator, UsesNoMoreThanRecordedWhenAWriteArrivesLate) {
  for (int back_ms = 100; back_ms < 6000; back_ms += 100) {
    allocator_fixture fixture;
    fixture.Run(seconds(5));
    ASSERT_EQ(fixture.parts, kWholeBudget);
    fixture.store.faults().delay = seconds(3);
    fixture.view.live = {host_id("b")};
    fixture.Run(milliseconds(back_ms));
    fixture.store.faults().delay = seconds(0);
    fixture.view.live = {host_id("a"), host_id("b")};
    fixture.Run(seconds(10));
    EXPECT_EQ(fixture.parts, kWholeBudget / 2) << back_ms;
  }
}

// Guards against releasing a share to another host while tokens lent from it
// may still be used.
TEST(share_allocator, LowersTheRecordOnlyWhenLoansFit) {
  allocator_fixture fixture;
  fixture.Run(seconds(5));
  fixture.view.live = {host_id("b")};
  fixture.loans_fit = false;
  fixture.Run(seconds(5));
  EXPECT_EQ(fixture.parts, 0);
  EXPECT_EQ(fixture.RecordedParts("a"), kWholeBudget);
  fixture.loans_fit = true;
  fixture.Run(seconds(1));
  EXPECT_EQ(fixture.RecordedParts("a"), 0);
}

// Guards against a write that stays unresolved after its response is lost.
TEST(share_allocator, ResolvesWriteWithLostResponse) {
  allocator_fixture fixture;
  fixture.store.faults().lose_answers = 1;
  fixture.Run(seconds(1));
  EXPECT_EQ(fixture.parts, kWholeBudget);
  EXPECT_TRUE(fixture.allocator.MaySpend(fixture.account));
  EXPECT_EQ(fixture.platform.counts().puts, 1);
}

}  // namespace
}  // namespace bluebell::limits
