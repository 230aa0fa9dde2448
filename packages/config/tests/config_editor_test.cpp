#include "config/config_editor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "config_fleet.h"

namespace bluebell::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum time until an edit finishes.
constexpr auto kAnswerLimit =
    config_editor::kStoreTimeout + config_editor::kAnnounceTimeout;
/// Requirement: an edit is active on every reachable host within 12 s.
constexpr seconds kPropagationLimit{12};
const std::string kDigest(64, 'a');

std::string CodeOf(const edit_result& edited) {
  return edited ? (edited->confirmed ? "confirmed" : "stored")
                : Describe(edited.error().what.code).code;
}

TEST(config_editor, CreatesChangesRemovesAndCreatesAgain) {
  config_fleet fleet(3);
  fleet.StartAll();
  const auto run = [&](auto answer) {
    fleet.clock.Advance(seconds(1));
    EXPECT_EQ(CodeOf(**answer), "confirmed");
    return (**answer) ? (**answer)->row.version : revision();
  };
  const revision created = run(fleet.SetRate(0, "a", 1, revision()));
  const revision changed = run(fleet.SetRate(1, "a", 2, created));
  EXPECT_EQ(fleet.Rate(2, "a"), 2);
  run(fleet.Remove(2, "a", changed));
  EXPECT_EQ(fleet.Rate(0, "a"), -1);
  run(fleet.SetRate(0, "a", 3, revision()));
  EXPECT_EQ(fleet.Rate(2, "a"), 3);
}

struct store_fault {
  const char* name;
  void (*set)(store::memory_faults&);
  const char* expected;
};

// Guards against a wrong outcome being reported when the platform loses the
// answer, or delays or drops the call.
TEST(config_editor, ReportsTheOutcomeWhenThePlatformFails) {
  const store_fault faults[] = {
      {"answer lost after the write", [](auto& f) { f.lose_answers = 1; },
       "confirmed"},
      {"two answers lost", [](auto& f) { f.lose_answers = 2; }, "confirmed"},
      {"call dropped", [](auto& f) { f.drop_requests = 1; },
       "platform_unavailable"},
      {"outage not yet noticed", [](auto& f) { f.outage = true; },
       "platform_unavailable"},
      {"slow", [](auto& f) { f.delay = milliseconds(1500); }, "confirmed"},
      {"slower than the call limit", [](auto& f) { f.delay = seconds(10); },
       "outcome_unknown"},
  };
  for (const auto& fault : faults) {
    SCOPED_TRACE(fault.name);
    config_fleet fleet(3);
    fleet.StartAll();
    fault.set(fleet.hosts[0]->store.faults());
    const auto answer = fleet.SetRate(0, "a", 1, revision());
    fleet.clock.Advance(kAnswerLimit);
    ASSERT_TRUE(answer->has_value());
    EXPECT_EQ(CodeOf(**answer), fault.expected);
    const bool stored = fleet.platform.Peek("config/accounts/a").has_value();
    EXPECT_TRUE(stored || !**answer);
    if (!**answer && (*answer)->error().what.run == executed::kNo) {
      fleet.clock.Advance(seconds(30));
      EXPECT_FALSE(fleet.platform.Peek("config/accounts/a"));
    }
  }
}

// Guards against a second row version, or a conflict with the edit's own write,
// when the first write is still in flight during the read-back.
TEST(config_editor, RepeatsAWriteThatMayStillBeApplied) {
  config_fleet fleet(3);
  fleet.StartAll();
  auto& faults = fleet.hosts[0]->store.faults();
  faults.delay = seconds(3);
  const auto answer = fleet.SetRate(0, "a", 1, revision());
  fleet.clock.Advance(seconds(1));
  faults.delay = seconds(0);
  fleet.clock.Advance(seconds(10));
  ASSERT_EQ(CodeOf(**answer), "confirmed");
  EXPECT_EQ(fleet.platform.Peek("config/accounts/a")->version,
            (*answer)->value().row.version);
}

// Guards against a conflict with the edit's own write after a lost answer, if
// another tool has added a field to the row: the writer id identifies the edit.
TEST(config_editor, RecognizesItsOwnWriteByTheWriterId) {
  config_fleet fleet(3);
  fleet.StartAll();
  fleet.hosts[0]->store.faults().lose_answers = 1;
  const auto answer = fleet.SetRate(0, "a", 1, revision());
  fleet.clock.Advance(std::chrono::microseconds(1500));
  json value = fleet.platform.Peek("config/accounts/a")->value;
  value["note"] = "x";
  fleet.platform.Seed("config/accounts/a", value);
  fleet.clock.Advance(seconds(1));
  EXPECT_EQ(CodeOf(**answer), "confirmed");
}

// Guards against an edit that hangs, or is reported as not executed, when the
// platform never answers.
TEST(config_editor, TimesOutWhenThePlatformNeverAnswers) {
  config_fleet fleet(1);
  fleet.StartAll();
  auto& host = *fleet.hosts[0];
  unresponsive_store store;
  config_editor editor(host.active_config, store, *host.peers, host.fleet,
                       host.clock, host.events);
  std::optional<edit_result> answer;
  editor.Put(*FindTable("accounts"), "a", {{"rate", 1}, {"burst", 1}},
             revision(), [&](edit_result edited) { answer = edited; });
  fleet.clock.Advance(kAnswerLimit);
  ASSERT_TRUE(answer && !*answer);
  EXPECT_EQ(CodeOf(*answer), "outcome_unknown");
  EXPECT_EQ(answer->error().what.run, executed::kUnknown);
}

// Guards against lost updates: of several concurrent edits of the same
// revision, one is accepted and the others receive its row.
TEST(config_editor, AcceptsOneOfSeveralConcurrentEdits) {
  config_fleet fleet(3);
  const revision first =
      fleet.platform.Seed("config/accounts/a", {{"id", "a"}, {"rate", 1}});
  fleet.StartAll();
  std::vector<std::shared_ptr<std::optional<edit_result>>> answers;
  for (int host = 0; host < 3; ++host) {
    answers.push_back(fleet.SetRate(host, "a", 10 + host, first));
    answers.push_back(
        fleet.SetRate(host, "b" + std::to_string(host), 5, revision()));
  }
  fleet.clock.Advance(seconds(1));
  std::vector<std::string> codes;
  for (std::size_t i = 0; i < answers.size(); i += 2) {
    const edit_result& edited = **answers[i];
    codes.push_back(CodeOf(edited));
    if (edited) continue;
    ASSERT_TRUE(edited.error().current);
    EXPECT_EQ(edited.error().current->value["rate"], fleet.Rate(0, "a"));
    EXPECT_EQ(edited.error().what.run, executed::kNo);
    EXPECT_EQ(CodeOf(**answers[i + 1]), "confirmed");
  }
  EXPECT_EQ(std::count(codes.begin(), codes.end(), "confirmed"), 1);
  EXPECT_EQ(std::count(codes.begin(), codes.end(), "revision_conflict"), 2);
}

// Guards against a repeated edit that fails or writes a second version, after
// the first one was stored without a confirmation.
TEST(config_editor, RepeatedEditIsSafe) {
  config_fleet fleet(3);
  fleet.StartAll();
  fleet.Partition({0}, {1, 2});
  const auto first = fleet.SetRate(0, "a", 1, revision());
  fleet.clock.Advance(kAnswerLimit);
  ASSERT_EQ(CodeOf(**first), "stored");
  fleet.Partition({0}, {1, 2}, false);
  const auto second = fleet.SetRate(0, "a", 1, revision());
  fleet.clock.Advance(seconds(1));
  ASSERT_EQ(CodeOf(**second), "confirmed");
  EXPECT_EQ((*second)->value().row.version, (*first)->value().row.version);
  const auto removed = fleet.Remove(1, "a", (*first)->value().row.version);
  const auto again = fleet.Remove(2, "a", (*first)->value().row.version);
  fleet.clock.Advance(seconds(1));
  EXPECT_EQ(CodeOf(**removed), "confirmed");
  EXPECT_EQ(CodeOf(**again), "confirmed");
}

// Guards against confirming a row that a group in state outage may lack: a
// majority of members, including the editing host, must have applied it.
TEST(config_editor, NeedsAMajorityOfMembers) {
  struct {
    int size;
    std::vector<int> cut_off;
    const char* expected;
  } const cases[] = {{1, {}, "confirmed"},     {2, {1}, "stored"},
                     {3, {1}, "confirmed"},    {3, {1, 2}, "stored"},
                     {4, {1, 2}, "stored"},    {4, {1}, "confirmed"},
                     {5, {1, 2}, "confirmed"}, {5, {1, 2, 3}, "stored"}};
  for (const auto& c : cases) {
    SCOPED_TRACE(c.size * 10 + static_cast<int>(c.cut_off.size()));
    config_fleet fleet(c.size);
    fleet.StartAll();
    fleet.Partition({0}, c.cut_off);
    const auto answer = fleet.SetRate(0, "a", 1, revision());
    fleet.clock.Advance(kAnswerLimit);
    EXPECT_EQ(CodeOf(**answer), c.expected);
  }
}

TEST(config_editor, RefusesWithoutThePlatform) {
  for (const auto status :
       {fleet::host_status::kOutage, fleet::host_status::kIsolated}) {
    config_fleet fleet(1);
    fleet.StartAll();
    fleet.hosts[0]->fleet.status_ = status;
    const auto answer = fleet.SetRate(0, "a", 1, revision());
    ASSERT_TRUE(answer->has_value());
    EXPECT_EQ((*answer)->error().what.run, executed::kNo);
    EXPECT_EQ(fleet.platform.counts().puts, 0);
  }
}

// Guards against storing rows and names that the tables do not allow, including
// names that escape the configuration prefix.
TEST(config_editor, RefusesInvalidRowsAndNames) {
  config_fleet fleet(1);
  fleet.StartAll();
  const std::vector<std::string> names = {
      "", ".", "a/..", "../hosts/h", "a b", "a//b", std::string(300, 'a')};
  for (const auto& name : names) {
    const auto put = fleet.SetRate(0, name, 1, revision());
    const auto removed = fleet.Remove(0, name, revision(1));
    ASSERT_TRUE(put->has_value() && removed->has_value()) << name;
    EXPECT_FALSE(**put) << name;
    EXPECT_FALSE(**removed) << name;
  }
  const std::vector<json> rows = {
      json(1),
      {{"rate", 1}},
      {{"rate", "1"}, {"burst", 1}},
      {{"rate", 1}, {"burst", 1}, {"rates", 1}},
      {{"rate", 1}, {"burst", 1}, {"id", "b"}},
      {{"rate", 1}, {"burst", 18446744073709551615u}}};
  for (const auto& row : rows) {
    const auto put = fleet.Put(0, "accounts", "a", row, revision());
    ASSERT_TRUE(put->has_value()) << row;
    EXPECT_EQ(CodeOf(**put), "invalid_row") << row;
  }
  EXPECT_EQ(fleet.platform.counts().puts, 0);
}

// Guards against a key that works after its withdrawal was accepted. It must be
// inactive at a majority at once and at every reachable host within
// `kPropagationLimit`, even when no watch answers.
TEST(config_editor, WithdrawnKeyIsInactiveAtReachableHosts) {
  config_fleet fleet(5);
  const revision granted = fleet.platform.Seed(
      "config/keys/" + kDigest, {{"digest", kDigest}, {"account", "a"}});
  fleet.StartAll();
  fleet.platform.faults().silent_watches = true;
  // h4 is connected only to h3, so it misses the announcement from h0.
  fleet.Partition({4}, {0, 1, 2});
  const auto answer = fleet.Put(
      0, "keys", kDigest, {{"account", "a"}, {"withdrawn", true}}, granted);
  for (int step = 0; step < 1000 && !answer->has_value(); ++step) {
    fleet.clock.Advance(milliseconds(1));
  }
  ASSERT_EQ(CodeOf(**answer), "confirmed");
  const auto active =
      std::count_if(fleet.hosts.begin(), fleet.hosts.end(), [](auto& host) {
        return host->active_config.FindActiveKey(kDigest) != nullptr;
      });
  EXPECT_LE(active, 2);
  fleet.clock.Advance(kPropagationLimit);
  for (const auto& host : fleet.hosts) {
    EXPECT_EQ(host->active_config.FindActiveKey(kDigest), nullptr);
  }
}

/// Random edits under random faults. Each edit sets a unique rate, so that
/// every observed row can be traced to its edit.
class random_edits {
 public:
  explicit random_edits(unsigned seed) : fleet_(5), random_(seed) {
    fleet_.StartAll();
    for (std::size_t i = 0; i < fleet_.hosts.size(); ++i) Observe(i);
  }

  void Run() {
    for (int step = 0; step < 300; ++step) {
      if (Chance(30)) Edit();
      if (Chance(10)) ToggleFault();
      fleet_.clock.Advance(milliseconds(random_() % 400));
    }
    ClearFaults();
    fleet_.clock.Advance(seconds(40));
    Check();
  }

  int edits() const { return edits_; }
  int confirmed() const { return confirmed_; }

 private:
  bool Chance(unsigned percent) { return random_() % 100 < percent; }
  int Host() { return static_cast<int>(random_() % fleet_.hosts.size()); }

  void Observe(std::size_t host) {
    fleet_.hosts[host]->active_config.Subscribe([this](const stored_row& row) {
      if (!IsTombstone(row.value)) seen_.insert(row.value["rate"].get<int>());
    });
  }

  void Edit() {
    const int host = Host();
    const std::string row = "r" + std::to_string(random_() % 3);
    const auto* held =
        fleet_.hosts[host]->active_config.FindStored("accounts/" + row);
    const int rate = ++edits_;
    const json value = {{"rate", rate}, {"burst", 10}};
    fleet_.hosts[host]->editor.Put(
        *FindTable("accounts"), row, value,
        held == nullptr ? revision() : held->version,
        [this, rate, row](const edit_result& edited) {
          ++answered_;
          if (edited) {
            stored_.insert(rate);
            EXPECT_TRUE(versions_.insert(edited->row.version).second);
            if (edited->confirmed) CheckMajority(edited->row);
          } else if (edited.error().what.run == executed::kNo) {
            refused_.insert(rate);
          }
        });
  }

  void CheckMajority(const stored_row& row) {
    ++confirmed_;
    const auto holders = std::count_if(
        fleet_.hosts.begin(), fleet_.hosts.end(), [&](const auto& host) {
          const auto* held = host->active_config.FindStored(row.name);
          return held != nullptr && held->version >= row.version;
        });
    EXPECT_GE(holders, 3);
  }

  void ToggleFault() {
    const int host = Host();
    auto& faults = fleet_.hosts[host]->store.faults();
    switch (random_() % 6) {
      case 0:
        faults.lose_answers = 2;
        break;
      case 1:
        faults.drop_requests = 2;
        break;
      case 2:
        faults.delay = milliseconds(random_() % 3000);
        break;
      case 3:
        faults.silent_watches = !faults.silent_watches;
        break;
      case 4:
        fleet_.network.SetIsolated(fleet_.members[host], Chance(50));
        break;
      case 5:
        if (fleet_.network.ClockOf(fleet_.members[host]).paused()) {
          fleet_.network.Resume(fleet_.members[host]);
        } else {
          fleet_.network.Pause(fleet_.members[host]);
        }
        break;
    }
  }

  void ClearFaults() {
    for (std::size_t i = 0; i < fleet_.hosts.size(); ++i) {
      fleet_.network.SetIsolated(fleet_.members[i], false);
      fleet_.network.Resume(fleet_.members[i]);
      fleet_.hosts[i]->store.faults() = store::memory_faults();
    }
  }

  void Check() {
    EXPECT_EQ(answered_, edits_);
    for (const int rate : refused_) EXPECT_EQ(seen_.count(rate), 0u) << rate;
    for (const int rate : stored_) EXPECT_EQ(seen_.count(rate), 1u) << rate;
    for (int row = 0; row < 3; ++row) {
      const std::string name = "accounts/r" + std::to_string(row);
      const auto platform_row = fleet_.platform.Peek("config/" + name);
      if (!platform_row) continue;
      for (const auto& host : fleet_.hosts) {
        EXPECT_EQ(host->active_config.FindStored(name)->version,
                  platform_row->version);
      }
    }
  }

  config_fleet fleet_;
  std::mt19937 random_;
  int edits_ = 0;
  int answered_ = 0;
  int confirmed_ = 0;
  std::set<int> seen_;
  std::set<int> stored_;
  std::set<int> refused_;
  std::set<revision> versions_;
};

// Guards against combinations of the faults above that lose an accepted edit,
// apply a refused one or leave hosts with different rows.
TEST(config_editor, ReportsCorrectOutcomesUnderRandomFaults) {
  int edits = 0;
  int confirmed = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    random_edits run(seed);
    run.Run();
    edits += run.edits();
    confirmed += run.confirmed();
  }
  // Ensures that the schedules do not refuse most edits.
  EXPECT_GT(confirmed, edits / 5) << edits;
}

}  // namespace
}  // namespace bluebell::config
