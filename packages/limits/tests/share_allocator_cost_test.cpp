#include <gtest/gtest.h>

#include <string>

#include "base/manual_clock.h"
#include "config/snapshot.h"
#include "limits/fleet_admission.h"
#include "peer/memory_peer_network.h"
#include "store/memory_object_store.h"

namespace bluebell::limits {
namespace {

/// A fleet of `hosts` hosts that counts the calls of `EntryHosts`.
class counting_fleet final : public fleet::fleet_view {
 public:
  fleet::host_status status() const override {
    return fleet::host_status::kConnected;
  }
  bool HoldsLease() const override { return true; }
  host_id self() const override { return host_id("host-0"); }
  incarnation_id incarnation() const override { return incarnation_id("1"); }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    ++list_calls;
    std::vector<fleet::entry_host> entries;
    for (const auto& id : LiveHosts()) {
      entries.push_back({id, "127.0.0.1:1", zone_id("z")});
    }
    return entries;
  }
  std::vector<host_id> LiveHosts() const override {
    std::vector<host_id> ids;
    for (int i = 0; i < hosts; ++i) {
      ids.emplace_back("host-" + std::to_string(i));
    }
    return ids;
  }
  std::vector<host_id> Members() const override { return LiveHosts(); }
  bool MayReclaim(const host_id&, const incarnation_id&) const override {
    return false;
  }

  int hosts = 40;
  mutable int list_calls = 0;
};

class share_allocator_cost_test : public testing::Test {
 protected:
  void AddAccounts(int count) {
    for (int i = 0; i < count; ++i) {
      config::account_row row;
      row.id = account_id("account-" + std::to_string(i));
      row.weight = 1;
      row.rate = token_count(1000);
      row.burst = token_count(4000);
      row.priority = 5;
      rows_.Apply({"accounts/" + row.id.value(),
                   revision(static_cast<std::uint64_t>(i + 1)),
                   config::ToJson(row)});
    }
  }

  int CountBudgetRecords(int accounts) {
    int found = 0;
    for (int i = 0; i < accounts; ++i) {
      const std::string name = "budgets/account-" + std::to_string(i);
      if (platform_.Peek(name)) ++found;
    }
    return found;
  }

  manual_clock time_;
  config::snapshot rows_;
  counting_fleet fleet_;
  store::memory_platform platform_{time_};
  store::memory_object_store store_{platform_};
  peer::memory_network network_{time_};
  std::unique_ptr<peer::peer_network> peers_{network_.Attach(fleet_.self())};
  event_log events_{time_, fleet_.self()};
  fleet_admission admission_{rows_, store_, *peers_, fleet_, time_, events_};
};

// Guards against background work that grows with hosts times accounts: with 340
// hosts and 1,000 accounts, listing and ranking the hosts for each account on
// each tick took a third of a core.
TEST_F(share_allocator_cost_test, ListsHostsOncePerTickForAllAccounts) {
  AddAccounts(100);
  time_.Advance(std::chrono::seconds(5));
  fleet_.list_calls = 0;
  time_.Advance(std::chrono::seconds(10));
  EXPECT_LE(fleet_.list_calls, 100);
}

// Guards against a cached host list that still contains hosts that left.
TEST_F(share_allocator_cost_test, AcquiresSharesAfterOtherHostsLeft) {
  AddAccounts(100);
  time_.Advance(std::chrono::seconds(5));
  EXPECT_LT(CountBudgetRecords(100), 100);
  fleet_.hosts = 1;
  time_.Advance(std::chrono::seconds(5));
  EXPECT_EQ(CountBudgetRecords(100), 100);
}

}  // namespace
}  // namespace bluebell::limits
