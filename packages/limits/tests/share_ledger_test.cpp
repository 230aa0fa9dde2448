#include "limits/share_ledger.h"

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

/// The ledger of host "a" and the parts that it uses.
struct ledger_fixture {
  ledger_fixture() {
    view.own = host_id("a");
    view.run = incarnation_id("a/1");
    view.live = {host_id("a")};
  }

  /// Lets time pass and checks that no more parts are used than recorded.
  void Run(clock::duration span) {
    for (const auto end = time.now() + span; time.now() < end;) {
      ledger.Step(account);
      time.Advance(milliseconds(10));
      ASSERT_LE(parts, Recorded("a"));
    }
  }

  int Recorded(const char* host) const {
    const auto found = platform.Peek(BudgetName(account));
    if (!found) return 0;
    const auto record = ParseShareRecord(found->value);
    for (const share& each : record->shares) {
      if (each.host == host_id(host)) return each.parts;
    }
    return 0;
  }

  void Hold(const char* host, const char* stamp) {
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
  lease_guard guard{view, time, events};
  int parts = 0;
  bool loans_fit = true;
  share_ledger ledger{store,
                      view,
                      guard,
                      time,
                      events,
                      [this](const account_id&, int now) { parts = now; },
                      [this](const account_id&, int) { return loans_fit; }};
};

// Guards against a reclaim from a holder that renewed its lease and confirmed
// its fraction, when this host does not know of the renewal yet.
TEST(share_ledger, ReclaimsOnlyWhatItsHolderLeftUntouched) {
  ledger_fixture at;
  at.Hold("dead", "first");
  at.Run(milliseconds(1500));
  at.Hold("dead", "second");
  at.Run(milliseconds(1800));
  EXPECT_EQ(at.Recorded("dead"), kWholeBudget);
  at.Run(seconds(12));
  EXPECT_EQ(at.Recorded("dead"), 0);
  EXPECT_EQ(at.parts, kWholeBudget);
}

// Guards against a fraction that is used although a write that lowers it is
// still under way: its answer is late, and the target rises again meanwhile.
TEST(share_ledger, UsesNoMoreThanRecordedWhenAWriteArrivesLate) {
  for (int back_ms = 100; back_ms < 6000; back_ms += 100) {
    ledger_fixture at;
    at.Run(seconds(5));
    ASSERT_EQ(at.parts, kWholeBudget);
    at.store.faults().delay = seconds(3);
    at.view.live = {host_id("b")};
    at.Run(milliseconds(back_ms));
    at.store.faults().delay = seconds(0);
    at.view.live = {host_id("a"), host_id("b")};
    at.Run(seconds(10));
    EXPECT_EQ(at.parts, kWholeBudget / 2) << back_ms;
  }
}

// Guards against a fraction that another host uses while tokens lent from it
// may still be used.
TEST(share_ledger, LowersTheRecordOnlyWhenLoansFit) {
  ledger_fixture at;
  at.Run(seconds(5));
  at.view.live = {host_id("b")};
  at.loans_fit = false;
  at.Run(seconds(5));
  EXPECT_EQ(at.parts, 0);
  EXPECT_EQ(at.Recorded("a"), kWholeBudget);
  at.loans_fit = true;
  at.Run(seconds(1));
  EXPECT_EQ(at.Recorded("a"), 0);
}

// Guards against a write with a lost answer that stays unresolved.
TEST(share_ledger, ResolvesALostAnswer) {
  ledger_fixture at;
  at.store.faults().lose_answers = 1;
  at.Run(seconds(1));
  EXPECT_EQ(at.parts, kWholeBudget);
  EXPECT_TRUE(at.ledger.MaySpend(at.account));
  EXPECT_EQ(at.platform.counts().puts, 1);
}

}  // namespace
}  // namespace bluebell::limits
