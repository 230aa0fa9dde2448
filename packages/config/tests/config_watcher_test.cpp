#include "config/config_watcher.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "config_fleet.h"

namespace bluebell::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

json Account(const std::string& id, int rate) {
  return {{"id", id}, {"rate", rate}, {"burst", 10}};
}

void AnnounceTo(config_fleet& fleet, int from, int to, const stored_row& row) {
  fleet.hosts[from]->peers->Request(fleet.members[to], kConfigAnnounce,
                                    ToJson(config_announce{{row}}), seconds(1),
                                    [](const result<json>&) {});
}

struct watch_fault {
  const char* name;
  void (*set)(config_fleet&);
  void (*clear)(config_fleet&);
};

const watch_fault kWatchFaults[] = {
    {"silent watch",
     [](config_fleet& f) { f.hosts[0]->store.faults().silent_watches = true; },
     [](config_fleet&) {}},
    {"outage of one host's path",
     [](config_fleet& f) { f.hosts[0]->store.faults().outage = true; },
     [](config_fleet&) {}},
    {"process paused over the edit",
     [](config_fleet& f) { f.network.Pause(f.members[0]); },
     [](config_fleet& f) { f.network.Resume(f.members[0]); }},
    {"isolated over the edit",
     [](config_fleet& f) {
       f.network.SetIsolated(f.members[0], true);
       f.hosts[0]->store.faults().outage = true;
     },
     [](config_fleet& f) { f.network.SetIsolated(f.members[0], false); }},
};

// Guards against a host that keeps a withdrawn key active after its watch was
// lost or its process was paused: the heartbeat carries the newer revision.
TEST(config_watcher, WithdrawnKeyIsInactiveDespiteALostWatch) {
  const std::string digest(64, 'a');
  for (const auto& fault : kWatchFaults) {
    SCOPED_TRACE(fault.name);
    config_fleet fleet(3);
    fleet.platform.Seed("config/keys/" + digest,
                        {{"digest", digest}, {"account", "a"}});
    fleet.StartAll();
    ASSERT_NE(fleet.hosts[0]->active_config.FindActiveKey(digest), nullptr);
    fault.set(fleet);
    // Written directly to the platform, without an announcement.
    fleet.platform.Seed(
        "config/keys/" + digest,
        {{"digest", digest}, {"account", "a"}, {"withdrawn", true}});
    fleet.clock.Advance(seconds(60));
    fault.clear(fleet);
    fleet.clock.Advance(seconds(2));
    for (const auto& host : fleet.hosts) {
      EXPECT_EQ(host->active_config.FindActiveKey(digest), nullptr);
    }
  }
}

// Guards against a watch that is lost silently when there is no peer to report
// a newer revision.
TEST(config_watcher, RestartsAWatchThatNeverAnswers) {
  config_fleet fleet(1);
  fleet.platform.Seed("config/accounts/a", Account("a", 1));
  fleet.StartAll();
  fleet.platform.faults().silent_watches = true;
  fleet.clock.Advance(seconds(30));
  fleet.platform.Seed("config/accounts/a", Account("a", 2));
  fleet.platform.faults().silent_watches = false;
  fleet.clock.Advance(seconds(25));
  EXPECT_EQ(fleet.Rate(0, "a"), 2);
}

// Guards against waiting forever for a call that the transport lost, and
// against a late answer starting a second watch loop.
TEST(config_watcher, TimesOutCallsThatAreNeverAnswered) {
  manual_clock clock;
  peer::memory_network network(clock);
  const auto peers = network.Attach(host_id("h"));
  unresponsive_store store;
  event_log events(clock, host_id("h"));
  snapshot active_config;
  config_watcher watcher(active_config, store, *peers, clock, events);
  watcher.Start();
  clock.Advance(seconds(6));
  ASSERT_EQ(store.calls.size(), 2u);
  store.calls[0](store::object_list{
      {{"config/accounts/a", revision(3), Account("a", 1)}}, revision(3)});
  EXPECT_NE(active_config.FindAccount(account_id("a")), nullptr);
  EXPECT_EQ(store.calls.size(), 2u);
  store.calls[1](store::object_list{{}, revision(3)});
  EXPECT_EQ(store.calls.size(), 3u);
  clock.Advance(seconds(23));
  EXPECT_EQ(store.calls.size(), 4u);
}

// Guards against a busy loop of calls when the platform answers every watch
// immediately without changes.
TEST(config_watcher, PausesAfterAnEarlyEmptyWatch) {
  manual_clock clock;
  peer::memory_network network(clock);
  const auto peers = network.Attach(host_id("h"));
  unresponsive_store store;
  event_log events(clock, host_id("h"));
  snapshot active_config;
  config_watcher watcher(active_config, store, *peers, clock, events);
  watcher.Start();
  store.calls[0](store::object_list{{}, revision(3)});
  ASSERT_EQ(store.calls.size(), 2u);
  store.calls[1](store::object_list{{}, revision(3)});
  EXPECT_EQ(store.calls.size(), 2u);
  clock.Advance(seconds(1));
  EXPECT_EQ(store.calls.size(), 3u);
}

// Guards against an announced row masking an older one: a host that received
// revision 3 by announcement may still lack revision 2.
TEST(config_watcher, FetchesRowsOlderThanAnAnnouncedOne) {
  config_fleet fleet(2);
  fleet.platform.Seed("config/accounts/a", Account("a", 1));
  fleet.StartAll();
  fleet.hosts[0]->store.faults().outage = true;
  fleet.Partition({0}, {1});
  fleet.platform.Seed("config/accounts/a", Account("a", 2));
  const revision third =
      fleet.platform.Seed("config/accounts/b", Account("b", 1));
  fleet.clock.Advance(seconds(5));
  fleet.Partition({0}, {1}, false);
  AnnounceTo(fleet, 1, 0, {"accounts/b", third, Account("b", 1)});
  fleet.clock.Advance(seconds(3));
  EXPECT_EQ(fleet.Rate(0, "b"), 1);
  EXPECT_EQ(fleet.Rate(0, "a"), 2);
}

// Guards against the same gap during an outage, where the peer receives the
// older row only after it was asked.
TEST(config_watcher, AsksAPeerAgainWhileRowsMayBeMissing) {
  config_fleet fleet(2);
  fleet.StartAll();
  for (auto& host : fleet.hosts) host->store.faults().outage = true;
  fleet.clock.Advance(seconds(1));
  AnnounceTo(fleet, 1, 0, {"accounts/b", revision(9), Account("b", 1)});
  fleet.clock.Advance(seconds(3));
  ASSERT_EQ(fleet.Rate(1, "b"), 1);
  fleet.hosts[1]->active_config.Apply(
      {"accounts/a", revision(8), Account("a", 1)});
  fleet.clock.Advance(seconds(4));
  EXPECT_EQ(fleet.Rate(0, "a"), 1);
}

// Guards against a host that cannot start during an outage, and against one
// that treats the rows of an incomplete peer as the complete configuration.
TEST(config_watcher, StartsDuringAnOutageFromACompletePeer) {
  config_fleet fleet(3);
  for (int i = 0; i < 3000; ++i) {
    const std::string id = "a" + std::to_string(i);
    json row = Account(id, i);
    row["note"] = std::string(500, 'x');
    fleet.platform.Seed("config/accounts/" + id, row);
  }
  fleet.StartAll();
  fleet.platform.faults().outage = true;
  fleet.Partition({0}, {1, 2});
  fleet.Start(1);
  fleet.Start(2);
  fleet.clock.Advance(seconds(10));
  EXPECT_FALSE(fleet.hosts[1]->active_config.complete());
  EXPECT_FALSE(fleet.hosts[2]->active_config.complete());
  fleet.Partition({0}, {1}, false);
  fleet.clock.Advance(seconds(5));
  for (const int i : {1, 2}) {
    EXPECT_TRUE(fleet.hosts[i]->active_config.complete()) << i;
    EXPECT_EQ(fleet.hosts[i]->active_config.accounts().size(), 3000u) << i;
  }
}

// Guards against messages above the limit of 1 MB and against rows lost at page
// boundaries.
TEST(config_watcher, AnswersInPagesBelowTheMessageLimit) {
  config_fleet fleet(2);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "a" + std::to_string(i);
    json row = Account(id, i);
    row["note"] = std::string(60'000, 'x');
    fleet.platform.Seed("config/accounts/" + id, row);
  }
  fleet.StartAll();
  std::uint64_t after = 0;
  std::size_t rows = 0;
  bool more = true;
  for (int page = 0; more && page < 100; ++page) {
    result<json> answer = Fail(error_code::kTimeout, "");
    fleet.hosts[0]->peers->Request(
        fleet.members[1], kConfigSince, ToJson(config_since{revision(after)}),
        seconds(1), [&answer](const result<json>& given) { answer = given; });
    fleet.clock.Advance(milliseconds(10));
    ASSERT_TRUE(answer);
    EXPECT_LT(json::to_cbor(*answer).size(), 1'000'000u);
    const auto parsed = ParseConfigPage(*answer);
    ASSERT_TRUE(parsed);
    ASSERT_FALSE(parsed->rows.empty());
    rows += parsed->rows.size();
    after = parsed->rows.back().version.value();
    more = parsed->more;
  }
  EXPECT_FALSE(more);
  EXPECT_EQ(rows, 40u);
}

// Guards against a synced revision above what all pages cover: a row that
// reached the peer with a version below those already sent must be requested
// again.
TEST(config_watcher, SyncedRevisionIsTheLowestOfAllPages) {
  manual_clock clock;
  peer::memory_network network(clock);
  const auto peers = network.Attach(host_id("h"));
  const auto other = network.Attach(host_id("p"));
  unresponsive_store store;
  event_log events(clock, host_id("h"));
  snapshot active_config;
  config_watcher watcher(active_config, store, *peers, clock, events);
  int pages = 0;
  other->SetHandler(kConfigSince, [&](const host_id&, const json&,
                                      peer::peer_network::respond answer) {
    config_page page;
    page.complete = true;
    const bool first = pages++ == 0;
    const std::uint64_t version = first ? 5 : 9;
    page.rows = {{"accounts/a", revision(version), Account("a", 1)}};
    page.through = revision(first ? 3 : 9);
    page.more = first;
    answer(ToJson(page));
  });
  watcher.OnPeerRevision(host_id("p"), revision(9));
  clock.Advance(seconds(1));
  EXPECT_EQ(pages, 2);
  EXPECT_EQ(watcher.synced_revision(), revision(3));
}

// Guards against malformed messages from a peer that runs another version.
TEST(config_watcher, IgnoresMalformedMessages) {
  config_fleet fleet(2);
  fleet.StartAll();
  const std::vector<json> bodies = {json(1),
                                    json::object(),
                                    {{"rows", 5}},
                                    {{"revision", "x"}},
                                    {{"rows", {{{"name", 5}}}}}};
  for (const auto& body : bodies) {
    for (const char* type : {kConfigSince, kConfigAnnounce}) {
      fleet.hosts[0]->peers->Request(
          fleet.members[1], type, body, seconds(1),
          [](const result<json>& answer) { EXPECT_FALSE(answer); });
    }
  }
  fleet.clock.Advance(seconds(2));
}

}  // namespace
}  // namespace bluebell::config
