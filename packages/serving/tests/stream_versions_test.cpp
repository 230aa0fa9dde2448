#include "serving/stream_versions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kService("llm");

software_version Version(int number) {
  return software_version("v" + std::to_string(number));
}

/// The store: compare-and-swap by name, calls that fail, and writes that take
/// effect although they were not answered.
class fake_store {
 public:
  explicit fake_store(std::mt19937_64& random) : random_(random) {}

  bool Answers() { return up && random_() % 20 != 0; }
  std::optional<std::uint64_t> WriteTable(version_table table) {
    return Write(listing.tables, std::move(table),
                 [](const auto& entry) { return entry.service.value(); });
  }
  std::optional<std::uint64_t> WriteBatch(start_batch batch) {
    return Write(listing.batches, std::move(batch),
                 [](const auto& entry) { return entry.name; });
  }
  version_listing List() {
    auto sorted = listing;
    std::sort(sorted.batches.begin(), sorted.batches.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return sorted;
  }

  /// Keeps a copy of what is stored, for `Restore`.
  void Copy() { copy_ = listing; }
  /// Loses what was stored since the copy was made.
  void Restore() {
    copy_.era = listing.era + 1;
    listing = copy_;
  }

  bool up = true;
  version_listing listing;

 private:
  template <class Object, class Name>
  std::optional<std::uint64_t> Write(std::vector<Object>& objects,
                                     Object written, Name name) {
    if (!up) return std::nullopt;
    const bool lost = random_() % 20 == 0;
    if (lost && random_() % 2 == 0) return std::nullopt;
    const auto found = std::find_if(
        objects.begin(), objects.end(),
        [&](const auto& entry) { return name(entry) == name(written); });
    const auto before = found == objects.end() ? 0 : found->revision;
    if (before != written.revision) return std::nullopt;
    written.revision = ++revision_;
    if (found == objects.end()) {
      objects.push_back(std::move(written));
    } else {
      *found = std::move(written);
    }
    if (lost) return std::nullopt;
    return revision_;
  }

  std::mt19937_64& random_;
  std::uint64_t revision_ = 0;
  version_listing copy_;
};

/// Hosts that see the engines up to two seconds late, begin streams, take them
/// up, and are killed.
class fleet_replay {
 public:
  explicit fleet_replay(std::uint64_t seed, bool restores = false,
                        bool loses_step = false)
      : restores_(restores),
        loses_step_(loses_step),
        random_(seed),
        store_(random_) {
    clock_.Advance(seconds(100));
    listed_.insert(Version(1));
    for (int i = 0; i < 4; ++i) hosts_.push_back(NewHost());
  }

  void Run(seconds length) {
    for (const auto end = clock_.now() + length; clock_.now() < end;) {
      clock_.Advance(kStep);
      ChangeEngines();
      if (random_() % 400 == 0) store_.up = false;
      if (!store_.up && random_() % 60 == 0) store_.up = true;
      if (random_() % 300 == 0) hosts_[Draw(hosts_.size())] = NewHost();
      if (random_() % 600 == 0) {
        for (auto& host : hosts_) host = NewHost();
      }
      if (restores_) RestoreStore();
      if (loses_step_) LoseStep();
      for (auto& host : hosts_) Step(host);
      for (auto& host : hosts_) Begin(host);
      for (auto& host : hosts_) Report(host);
      TakeUp();
    }
  }

  int joined = 0;
  int taken_up = 0;
  int known = 0;
  int begun_elsewhere = 0;

 private:
  static constexpr milliseconds kStep{100};

  struct host {
    std::unique_ptr<stream_versions> versions;
    milliseconds lag{0};
    std::vector<std::pair<std::uint64_t, stream_start>> waiting;
    /// Until when it stands still, hears no other host, and reaches no store.
    clock::time_point frozen_until;
    clock::time_point alone_until;
    clock::time_point without_store_until;
    /// A response of the store that came while it stood still, and the ticket
    /// of its request.
    std::optional<std::pair<version_listing, std::uint64_t>> late_listing;
  };

  struct begun_stream {
    stream_start start;
    clock::time_point at;
  };

  std::size_t Draw(std::size_t count) { return random_() % count; }

  host NewHost() {
    host created;
    created.versions = std::make_unique<stream_versions>(
        clock_, "p" + std::to_string(++processes_));
    created.versions->SetServices({kService});
    created.lag = milliseconds(100 * Draw(20));
    return created;
  }

  void ChangeEngines() {
    history_.emplace_back(clock_.now(), listed_);
    if (random_() % 150 == 0) listed_.insert(Version(1 + Draw(4)));
    if (listed_.size() > 1 && random_() % 100 == 0) {
      listed_.erase(std::next(listed_.begin(), Draw(listed_.size())));
    }
  }

  // Every 40 seconds the store is restored from a copy that is 3 to 10 seconds
  // old; half of the hosts are killed while it is away.
  void RestoreStore() {
    const auto phase = steps_++ % 400;
    if (phase == 0) copied_at_ = 290 + static_cast<int>(Draw(70));
    if (phase == copied_at_) store_.Copy();
    if (phase == 380) {
      store_.up = false;
      for (auto& host : hosts_) {
        if (Draw(2) == 0) host = NewHost();
      }
    }
    if (phase == 390) {
      store_.Restore();
      store_.up = true;
    }
  }

  // Freezes hosts and cuts them off for up to 6 seconds.
  void LoseStep() {
    for (auto& host : hosts_) {
      const auto until = clock_.now() + milliseconds(500 + 100 * Draw(55));
      switch (random_() % 600) {
        case 0:
          if (IsFrozen(host)) break;
          host.frozen_until = until;
          host.late_listing = {store_.List(), host.versions->wanted_listing()};
          break;
        case 1:
          host.alone_until = until;
          break;
        case 2:
          host.without_store_until = until;
          host.lag = milliseconds(100 * Draw(60));
          break;
      }
    }
  }
  bool IsFrozen(const host& self) const {
    return self.frozen_until > clock_.now();
  }
  bool ReachesStore(const host& self) const {
    return self.without_store_until <= clock_.now();
  }
  // Handles what arrived while the host stood still.
  static void Wake(host& self) {
    if (!self.late_listing) return;
    self.versions->OnListing(self.late_listing->first,
                             self.late_listing->second);
    self.late_listing.reset();
  }

  // Sends the starts of `self` to the others; some datagrams are lost.
  void Report(host& self) {
    if (IsFrozen(self) || self.alone_until > clock_.now()) return;
    const auto starts = self.versions->TakeUnreported();
    for (auto& other : hosts_) {
      if (&other == &self || random_() % 20 == 0) continue;
      if (IsFrozen(other) || other.alone_until > clock_.now()) continue;
      other.versions->OnReported(starts);
    }
  }

  // What any host knows of a stream that `self` does not find.
  std::optional<found_version> Ask(const host& self,
                                   const request_id& attempt) {
    if (self.alone_until > clock_.now()) return std::nullopt;
    for (auto& host : hosts_) {
      if (IsFrozen(host) || host.alone_until > clock_.now()) continue;
      if (const auto known = host.versions->Known(attempt)) return known;
    }
    return std::nullopt;
  }

  void Step(host& self) {
    if (IsFrozen(self)) return;
    Wake(self);
    if (!ReachesStore(self)) return;
    const auto as_of = clock_.now() - self.lag;
    const auto seen =
        std::find_if(history_.rbegin(), history_.rend(),
                     [&](const auto& entry) { return entry.first <= as_of; });
    if (seen == history_.rend()) return;
    self.versions->OnEngines({{kService, seen->second}}, as_of);
    if (self.versions->WantsListing(store_.listing.era, false) &&
        store_.Answers()) {
      self.versions->OnListing(store_.List(), self.versions->wanted_listing());
    }
    if (auto table = self.versions->NextTable()) {
      if (const auto revision = store_.WriteTable(*table)) {
        table->revision = *revision;
        self.versions->OnTableWritten(*table);
      } else {
        self.versions->RequestListing();
      }
    }
    if (const auto batch = self.versions->NextBatch()) {
      if (const auto revision = store_.WriteBatch(*batch)) {
        self.versions->OnBatchWritten(*revision);
      } else {
        self.versions->OnBatchFailed();
      }
    }
    for (const auto& name : self.versions->TakeExpired(false)) {
      auto& batches = store_.listing.batches;
      batches.erase(
          std::remove_if(batches.begin(), batches.end(),
                         [&](const auto& entry) { return entry.name == name; }),
          batches.end());
    }
  }

  void Begin(host& self) {
    if (IsFrozen(self)) return;
    for (auto it = self.waiting.begin(); it != self.waiting.end();) {
      if (!self.versions->IsStored(it->first)) {
        ++it;
        continue;
      }
      OnBegun(self, it->second);
      it = self.waiting.erase(it);
    }
    const auto allowed = self.versions->AllowedForNew(kService);
    if (allowed.empty()) return;
    const stream_start start{request_id("a" + std::to_string(++attempts_)),
                             *std::next(allowed.begin(), Draw(allowed.size()))};
    const auto ticket = self.versions->RecordStart(kService, start, false);
    if (ticket) {
      self.waiting.emplace_back(*ticket, start);
    } else {
      OnBegun(self, start);
    }
  }

  void OnBegun(host& self, const stream_start& start) {
    self.versions->OnBegun(start);
    begun_.push_back({start, clock_.now()});
    if (start.software != Version(1)) ++begun_elsewhere;
  }

  void TakeUp() {
    constexpr seconds kLongestTry{20};
    if (begun_.size() < 10) return;
    for (int i = 0; i < 5; ++i) {
      const auto& stream = begun_[begun_.size() - 1 - Draw(begun_.size())];
      if (clock_.now() - stream.at > kLongestTry) continue;
      auto& self = hosts_[Draw(hosts_.size())];
      auto& versions = *self.versions;
      ++taken_up;
      // A host that stood still takes the stream up before it does all else.
      self.frozen_until = clock_.now();
      auto found = versions.Known(stream.start.attempt);
      if (!found && ReachesStore(self) && store_.Answers()) {
        const auto ticket = versions.RequestListing();
        Wake(self);
        if (!versions.HasListing(ticket)) {
          versions.OnListing(store_.List(), ticket);
        }
        found = versions.VersionOf(kService, stream.start.attempt);
      }
      if (!found) found = Ask(self, stream.start.attempt);
      if (found) ++known;
      if (found && found->software != stream.start.software) ++joined;
    }
  }

  manual_clock clock_;
  bool restores_;
  bool loses_step_;
  int steps_ = 0;
  int copied_at_ = 0;
  std::mt19937_64 random_;
  fake_store store_;
  std::set<software_version> listed_;
  std::vector<std::pair<clock::time_point, std::set<software_version>>>
      history_;
  std::vector<host> hosts_;
  std::vector<begun_stream> begun_;
  int processes_ = 0;
  int attempts_ = 0;
};

// Guards against a stream that goes on at another version, over rollouts,
// killed hosts, outages of the store and writes without an answer; and against
// hosts that refuse what they could know.
TEST(stream_versions_replay, StreamsGoOnAtTheirVersion) {
  int taken_up = 0;
  int known = 0;
  int begun_elsewhere = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    fleet_replay replay(seed);
    replay.Run(seconds(150));
    EXPECT_EQ(replay.joined, 0) << "seed " << seed;
    taken_up += replay.taken_up;
    known += replay.known;
    begun_elsewhere += replay.begun_elsewhere;
  }
  EXPECT_GT(begun_elsewhere, 100);
  EXPECT_GT(known, taken_up / 2);
}

// Guards against a stream that goes on at another version because the store was
// restored from an older copy and its host was killed; and against hosts that
// refuse what one of them knows.
TEST(stream_versions_replay, StreamsGoOnAtTheirVersionAfterTheStoreIsRestored) {
  int taken_up = 0;
  int known = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    fleet_replay replay(seed, true);
    replay.Run(seconds(150));
    EXPECT_EQ(replay.joined, 0) << "seed " << seed;
    taken_up += replay.taken_up;
    known += replay.known;
  }
  EXPECT_GT(known, taken_up / 2);
}

// Guards against a stream that goes on at another version at a host that stood
// still, or was cut off from other hosts or the store, while engines of new
// versions joined.
TEST(stream_versions_replay, StreamsGoOnAtTheirVersionAtAHostOutOfStep) {
  int taken_up = 0;
  int known = 0;
  int begun_elsewhere = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    fleet_replay replay(seed, false, true);
    replay.Run(seconds(150));
    EXPECT_EQ(replay.joined, 0) << "seed " << seed;
    taken_up += replay.taken_up;
    known += replay.known;
    begun_elsewhere += replay.begun_elsewhere;
  }
  EXPECT_GT(begun_elsewhere, 200);
  EXPECT_GT(known, taken_up / 2);
}

class stream_versions_fixture : public testing::Test {
 protected:
  void List(const std::set<software_version>& versions) {
    host_.OnEngines({{kService, versions}}, clock_.now());
  }
  /// Writes what the host wants to be written.
  void WriteTable() {
    auto table = host_.NextTable();
    ASSERT_TRUE(table);
    table->revision = ++revision_;
    host_.OnTableWritten(*table);
  }
  void Start(const std::set<software_version>& versions) {
    host_.SetServices({kService});
    List(versions);
    host_.OnListing({}, host_.wanted_listing());
    WriteTable();
  }

  manual_clock clock_;
  std::uint64_t revision_ = 0;
  stream_versions host_{clock_, "p1"};
};

// Guards against work for each stream of a service with one version.
TEST_F(stream_versions_fixture, NothingIsStoredForOneVersion) {
  Start({Version(1)});
  EXPECT_EQ(host_.AllowedForNew(kService), std::set({Version(1)}));
  EXPECT_FALSE(
      host_.RecordStart(kService, {request_id("a"), Version(1)}, false));
  EXPECT_FALSE(host_.NextBatch());
  EXPECT_FALSE(host_.NextTable());
  clock_.Advance(seconds(10));
  host_.OnConfirmed(clock_.now());
  EXPECT_FALSE(host_.WantsListing(0, true));
}

// Guards against a stream at a new version before the store says that there is
// one.
TEST_F(stream_versions_fixture, NewVersionWaitsForTheTable) {
  Start({Version(1)});
  List({Version(1), Version(2)});
  EXPECT_EQ(host_.AllowedForNew(kService), std::set({Version(1)}));
  WriteTable();
  EXPECT_EQ(host_.AllowedForNew(kService), std::set({Version(1), Version(2)}));
}

// Guards against a base version that is replaced while callers may still take
// up its streams.
TEST_F(stream_versions_fixture, BaseVersionIsReplacedAfterItsStreams) {
  Start({Version(1)});
  for (int i = 0; i < 80; ++i) {
    clock_.Advance(seconds(1));
    List({Version(1), Version(2)});
  }
  WriteTable();
  for (int i = 0; i < 65; ++i) {
    clock_.Advance(seconds(1));
    List({Version(2)});
    EXPECT_FALSE(host_.NextTable());
  }
  for (int i = 0; i < 8; ++i) {
    clock_.Advance(seconds(1));
    List({Version(2)});
  }
  const auto table = host_.NextTable();
  ASSERT_TRUE(table);
  EXPECT_EQ(table->base, Version(2));
}

// Guards against a host that begins streams unrecorded although others may have
// replaced the base version meanwhile.
TEST_F(stream_versions_fixture, StaleHostBeginsNoStreams) {
  Start({Version(1)});
  clock_.Advance(seconds(25));
  EXPECT_TRUE(host_.AllowedForNew(kService).empty());
  host_.OnConfirmed(clock_.now());
  EXPECT_TRUE(host_.AllowedForNew(kService).empty());
  EXPECT_TRUE(host_.WantsListing(0, false));
}

// Guards against an older start of an attempt that was sent to two engines.
TEST_F(stream_versions_fixture, LaterStartOfAnAttemptReplacesTheEarlier) {
  Start({Version(1), Version(2)});
  host_.RecordStart(kService, {request_id("a"), Version(2)}, false);
  const auto ticket =
      host_.RecordStart(kService, {request_id("a"), Version(1)}, true);
  ASSERT_TRUE(ticket);
  const auto batch = host_.NextBatch();
  ASSERT_TRUE(batch);
  host_.OnBatchWritten(7);
  EXPECT_TRUE(host_.IsStored(*ticket));
  host_.OnListing({0, {{kService, Version(1), true, 1}}, {*batch}},
                  host_.RequestListing());
  const auto found = host_.VersionOf(kService, request_id("a"));
  ASSERT_TRUE(found);
  EXPECT_EQ(found->software, Version(1));
}

// Guards against starts that are lost when a write is answered late or never.
TEST_F(stream_versions_fixture, UnansweredWriteIsRepeatedUnderAnotherName) {
  Start({Version(1), Version(2)});
  const auto ticket =
      host_.RecordStart(kService, {request_id("a"), Version(2)}, false);
  const auto first = host_.NextBatch();
  host_.OnBatchFailed();
  EXPECT_FALSE(host_.IsStored(*ticket));
  EXPECT_EQ(host_.AllowedForNew(kService), std::set({Version(1)}));
  const auto second = host_.NextBatch();
  ASSERT_TRUE(second);
  EXPECT_LT(first->name, second->name);
  host_.OnBatchWritten(8);
  EXPECT_TRUE(host_.IsStored(*ticket));
}

class restored_versions : public stream_versions_fixture {
 protected:
  static version_listing Listing(std::uint64_t era,
                                 const version_table& table) {
    return {era, {table}, {}};
  }
  std::optional<software_version> Find(const char* attempt) const {
    const auto found = host_.VersionOf(kService, request_id(attempt));
    if (!found) return std::nullopt;
    return found->software;
  }
  /// Starts a host that lists `table` in `era`, with the engines of `versions`.
  void Start(const std::set<software_version>& versions, std::uint64_t era,
             const version_table& table) {
    host_.SetServices({kService});
    List(versions);
    host_.OnListing(Listing(era, table), host_.wanted_listing());
  }
  /// Lets time pass while the engines stay listed.
  void Pass(int count) {
    for (int i = 0; i < count; ++i) {
      clock_.Advance(seconds(1));
      host_.OnConfirmed(clock_.now());
    }
  }
};

// Guards against a guess about a stream whose start the store may have lost.
TEST_F(restored_versions, UnknownStreamIsNotTakenForOneOfTheBaseVersion) {
  const version_table table{kService, Version(1), true, 1, 4};
  Start({Version(1), Version(2)}, 4, table);
  EXPECT_EQ(Find("a"), Version(1));
  host_.OnListing(Listing(5, table), host_.RequestListing());
  EXPECT_EQ(Find("a"), std::nullopt);
  Pass(75);
  EXPECT_EQ(Find("a"), Version(1));
}

// Guards against the same at a host that has started since.
TEST_F(restored_versions, HostThatStartedSinceTakesUpNoUnknownStream) {
  const version_table table{kService, Version(1), true, 1, 4};
  Start({Version(1), Version(2)}, 5, table);
  EXPECT_EQ(Find("a"), std::nullopt);
  EXPECT_FALSE(host_.NextTable());
  Pass(75);
  const auto complete = host_.NextTable();
  ASSERT_TRUE(complete);
  EXPECT_EQ(complete->complete_era, 5);
  EXPECT_EQ(Find("a"), Version(1));
}

// Guards against hosts that start later and take the table of a restored store
// for one that an older build wrote.
TEST_F(restored_versions, TableOfAnOlderBuildIsMarkedAfterARestoration) {
  const version_table table{kService, Version(1), true, 1};
  Start({Version(1), Version(2)}, 4, table);
  host_.OnListing(Listing(5, table), host_.RequestListing());
  const auto marked = host_.NextTable();
  ASSERT_TRUE(marked);
  EXPECT_EQ(marked->complete_era, 4);
}

// Guards against a stream of a killed host that is refused although another
// host knows its version.
TEST_F(restored_versions, ReportedStreamIsTakenUpAtItsVersion) {
  const version_table table{kService, Version(1), true, 1, 4};
  Start({Version(1), Version(2)}, 4, table);
  host_.OnReported({{request_id("a"), Version(2)}});
  host_.OnListing(Listing(5, table), host_.RequestListing());
  EXPECT_EQ(Find("a"), Version(2));
}

// Guards against starts that are forgotten although this host listed them
// before the store was restored.
TEST_F(restored_versions, ListedStartIsKeptOverARestoration) {
  const version_table table{kService, Version(1), true, 1, 4};
  Start({Version(1), Version(2)}, 4, table);
  auto listing = Listing(4, table);
  listing.batches.push_back({"p2-1", 3, {{request_id("a"), Version(2)}}});
  host_.OnListing(listing, host_.RequestListing());
  host_.OnListing(Listing(5, table), host_.RequestListing());
  EXPECT_EQ(Find("a"), Version(2));
}

// Guards against an earlier start of an attempt that is taken for its last one,
// because the restored store holds that alone.
TEST_F(restored_versions, LastStartIsStoredAgainAfterARestoration) {
  const version_table table{kService, Version(1), true, 1, 4};
  Start({Version(1), Version(2)}, 4, table);
  host_.RecordStart(kService, {request_id("a"), Version(2)}, false);
  const auto first = host_.NextBatch();
  ASSERT_TRUE(first);
  host_.OnBatchWritten(7);
  host_.RecordStart(kService, {request_id("a"), Version(1)}, true);
  ASSERT_TRUE(host_.NextBatch());
  host_.OnBatchWritten(8);
  host_.OnBegun({request_id("a"), Version(1)});
  auto listing = Listing(5, table);
  listing.batches.push_back(*first);
  host_.OnListing(listing, host_.RequestListing());
  const auto again = host_.NextBatch();
  ASSERT_TRUE(again);
  EXPECT_EQ(again->starts.back().attempt, request_id("a"));
  EXPECT_EQ(again->starts.back().software, Version(1));
}

// Guards against refused streams of a service that has had one version only.
TEST_F(restored_versions, OnlyVersionOfAServiceIsKnownSoonAfterwards) {
  const version_table table{kService, Version(1), false, 1, 4};
  Start({Version(1)}, 4, table);
  host_.OnListing(Listing(5, table), host_.RequestListing());
  EXPECT_EQ(Find("a"), std::nullopt);
  Pass(4);
  EXPECT_EQ(Find("a"), Version(1));
  const auto complete = host_.NextTable();
  ASSERT_TRUE(complete);
  EXPECT_EQ(complete->complete_era, 5);
}

// Guards against a guess where the store lost that there were other versions.
TEST_F(restored_versions, LostTableOfSeveralVersionsIsRemembered) {
  Start({Version(1), Version(2)}, 4, {kService, Version(1), true, 2, 4});
  host_.OnListing(Listing(5, {kService, Version(1), false, 1, 4}),
                  host_.RequestListing());
  List({Version(1)});
  Pass(10);
  EXPECT_EQ(Find("a"), std::nullopt);
  const auto table = host_.NextTable();
  ASSERT_TRUE(table);
  EXPECT_TRUE(table->several);
}

// Guards against datagrams for each stream of a service with one version.
TEST_F(restored_versions, StartsAreReportedOnlyWhileThereAreSeveralVersions) {
  const version_table table{kService, Version(1), false, 1, 4};
  Start({Version(1)}, 4, table);
  host_.OnBegun({request_id("a"), Version(1)});
  EXPECT_TRUE(host_.TakeUnreported().empty());
  List({Version(1), Version(2)});
  WriteTable();
  EXPECT_EQ(host_.TakeUnreported().size(), 1U);
  EXPECT_TRUE(host_.TakeUnreported().empty());
}

}  // namespace
}  // namespace bluebell::serving
