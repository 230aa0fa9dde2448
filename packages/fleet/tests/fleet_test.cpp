#include "fleet/fleet.h"

#include <gtest/gtest.h>

#include "simulation.h"

namespace bluebell::fleet {
namespace {

using names = std::vector<std::string>;

class fleet_test : public ::testing::Test {
 protected:
  void StartThree() {
    for (const auto* name : {"a", "b", "c"}) sim_.Start(name);
    sim_.Run(seconds(10));
  }

  simulation sim_;
};

TEST_F(fleet_test, SingleHostIsItsOwnMajority) {
  auto& a = sim_.Start("a");
  sim_.Run(seconds(5));
  EXPECT_TRUE(a.view->HoldsLease());
  EXPECT_EQ(a.view->status(), host_status::kConnected);
  sim_.platform().faults().outage = true;
  sim_.Run(seconds(120));
  EXPECT_EQ(a.view->status(), host_status::kOutage);
  EXPECT_TRUE(a.view->HoldsLease());
}

TEST_F(fleet_test, HostsFindEachOtherAndHoldLeases) {
  StartThree();
  for (const auto* name : {"a", "b", "c"}) {
    EXPECT_EQ(sim_.Members(name), (names{"a", "b", "c"})) << name;
    EXPECT_TRUE(sim_[name].view->HoldsLease()) << name;
    EXPECT_EQ(sim_[name].view->LiveHosts().size(), 3u) << name;
  }
  const auto hosts = sim_["a"].view->EntryHosts(zone_id("zone b"));
  ASSERT_EQ(hosts.size(), 3u);
  EXPECT_EQ(hosts[0].address, "b:1");
}

// Guards against leases that expire during a long platform outage.
TEST_F(fleet_test, LeasesSurviveAPlatformOutage) {
  StartThree();
  const auto before = sim_["a"].view->incarnation();
  sim_.platform().faults().outage = true;
  sim_.Run(seconds(600));
  for (const auto* name : {"a", "b", "c"}) {
    EXPECT_EQ(sim_[name].view->status(), host_status::kOutage) << name;
    EXPECT_TRUE(sim_[name].view->HoldsLease()) << name;
  }
  sim_.platform().faults().outage = false;
  sim_.Run(seconds(30));
  EXPECT_TRUE(sim_["a"].view->HoldsLease());
  EXPECT_EQ(sim_["a"].view->incarnation(), before);
}

TEST_F(fleet_test, HostThatLostOnlyItsPlatformContactKeepsServing) {
  StartThree();
  sim_.SetPlatformLost("a", true);
  sim_.Run(seconds(60));
  EXPECT_EQ(sim_["a"].view->status(), host_status::kConnected);
  EXPECT_FALSE(sim_["a"].view->HoldsLease());
}

TEST_F(fleet_test, HostCutOffFromAllIsIsolatedAndNamesOthers) {
  StartThree();
  sim_.SetPlatformLost("a", true);
  sim_.network().SetIsolated(host_id("a"), true);
  sim_.Run(seconds(30));
  EXPECT_EQ(sim_["a"].view->status(), host_status::kIsolated);
  EXPECT_FALSE(sim_["a"].view->HoldsLease());
  EXPECT_EQ(sim_["a"].view->EntryHosts(zone_id("x")).size(), 2u);
  EXPECT_EQ(sim_["b"].view->EntryHosts(zone_id("x")).size(), 2u);
}

// Guards against a restarted process that inherits rights of the previous one,
// and against a restarted host that stays unknown during an outage.
TEST_F(fleet_test, HostRestartedInOutageLearnsMembersAndHoldsNothing) {
  StartThree();
  sim_.platform().faults().outage = true;
  sim_.Run(seconds(10));
  sim_.Restart("c", {"a", "b"});
  sim_.Run(seconds(20));
  EXPECT_EQ(sim_.Members("c"), (names{"a", "b", "c"}));
  EXPECT_EQ(sim_["c"].view->status(), host_status::kOutage);
  EXPECT_FALSE(sim_["c"].view->HoldsLease());
  EXPECT_EQ(sim_["a"].view->LiveHosts().size(), 3u);
  EXPECT_TRUE(sim_["a"].view->HoldsLease());
  sim_.platform().faults().outage = false;
  sim_.Run(seconds(10));
  EXPECT_TRUE(sim_["c"].view->HoldsLease());
}

TEST_F(fleet_test, DeadMemberIsRemovedAndItsRightsMayBeReclaimed) {
  StartThree();
  const auto lost = sim_["c"].view->incarnation();
  sim_.Kill("c");
  sim_.Run(seconds(14));
  EXPECT_FALSE(sim_["a"].view->MayReclaim(host_id("c"), lost));
  sim_.Run(seconds(16));
  EXPECT_TRUE(sim_["a"].view->MayReclaim(host_id("c"), lost));
  EXPECT_EQ(sim_.Members("a"), (names{"a", "b"}));
  EXPECT_FALSE(
      sim_["a"].view->MayReclaim(host_id("b"), sim_["b"].view->incarnation()));
}

// Guards against a fleet of two that stops working after the loss of one host.
TEST_F(fleet_test, RemainingHostOfTwoContinuesAlone) {
  sim_.Start("a");
  sim_.Start("b");
  sim_.Run(seconds(8));
  ASSERT_EQ(sim_.Members("a"), (names{"a", "b"}));
  sim_.Kill("a");
  sim_.Run(seconds(40));
  EXPECT_EQ(sim_.Members("b"), (names{"b"}));
  EXPECT_TRUE(sim_["b"].view->HoldsLease());
}

TEST_F(fleet_test, EveryHostIsReplacedOneByOne) {
  StartThree();
  const names old{"a", "b", "c"};
  const names fresh{"d", "e", "f"};
  for (int i = 0; i < 3; ++i) {
    sim_.Start(fresh[i]);
    sim_.Run(seconds(10));
    bool released = false;
    sim_[old[i]].view->AnnounceLeaving();
    sim_.Run(seconds(1));
    sim_[old[i]].view->Release([&released] { released = true; });
    sim_.Run(seconds(2));
    EXPECT_TRUE(released);
    sim_.Kill(old[i]);
    sim_.Run(seconds(5));
  }
  for (const auto& name : fresh) {
    EXPECT_EQ(sim_.Members(name), fresh);
    EXPECT_TRUE(sim_[name].view->HoldsLease());
  }
}

// Guards against a single host that blocks its replacement forever although it
// released its lease.
TEST_F(fleet_test, SingleHostIsReplacedAfterItsRelease) {
  sim_.Start("a");
  sim_.Run(seconds(5));
  const auto former = sim_["a"].view->incarnation();
  sim_["a"].view->Release([] {});
  sim_.Run(seconds(2));
  sim_.Kill("a");
  sim_.Start("b");
  sim_.Run(seconds(5));
  EXPECT_TRUE(sim_["b"].view->HoldsLease());
  EXPECT_TRUE(sim_["b"].view->MayReclaim(host_id("a"), former));
}

TEST_F(fleet_test, LeavingHostIsOmittedFromAddressAnswers) {
  StartThree();
  sim_["b"].view->AnnounceLeaving();
  sim_.Run(milliseconds(100));
  for (const auto* name : {"a", "b", "c"}) {
    for (const auto& host : sim_[name].view->EntryHosts(zone_id("zone b"))) {
      EXPECT_NE(host.id, host_id("b"));
    }
  }
  EXPECT_TRUE(sim_["b"].view->HoldsLease());
  EXPECT_EQ(sim_["a"].view->LiveHosts().size(), 3u);
}

TEST_F(fleet_test, HigherConfigurationRevisionIsReported) {
  StartThree();
  sim_["a"].config_revision = revision(7);
  sim_.Run(seconds(1));
  ASSERT_FALSE(sim_["b"].higher_revisions.empty());
  EXPECT_EQ(sim_["b"].higher_revisions.back(), revision(7));
  EXPECT_TRUE(sim_["a"].higher_revisions.empty());
}

// Guards against a lease that expires although every renewal takes effect,
// because the answers to the writes are lost.
TEST_F(fleet_test, LostAnswersOfRenewalsAreResolvedByReading) {
  StartThree();
  const auto before = sim_["a"].view->incarnation();
  sim_["a"].store->faults().lose_answers = 1000;
  sim_.Run(seconds(60));
  EXPECT_TRUE(sim_["a"].view->HoldsLease());
  EXPECT_EQ(sim_["a"].view->incarnation(), before);
}

// Guards against peers that undo an operator's reset of the membership.
TEST_F(fleet_test, RemovedMembershipObjectResetsTheFleet) {
  StartThree();
  sim_.Kill("a");
  sim_.Kill("b");
  sim_.Run(seconds(60));
  EXPECT_EQ(sim_.Members("c"), (names{"a", "b", "c"}));
  const auto object = sim_.platform().Peek(kMembershipName);
  sim_["c"].store->Remove(kMembershipName, object->version, [](auto) {});
  sim_.Run(seconds(40));
  EXPECT_EQ(sim_.Members("c"), (names{"c"}));
  EXPECT_TRUE(sim_["c"].view->HoldsLease());
}

}  // namespace
}  // namespace bluebell::fleet
