#include "serving/record_log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

#include "serving/sync_messages.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

engine_record MakeRecord(int number, int slots) {
  engine_record record;
  record.id = endpoint_id("e" + std::to_string(number));
  record.service = service_id("llm");
  record.address = "10.0.0.1:" + std::to_string(8000 + number);
  record.slots = slots;
  record.software = software_version("v" + std::to_string(slots));
  return record;
}

// Guards against followers that do not learn that an engine is cold, and
// against responses of the previous build, whose records lack the column.
TEST(record_log, ColdTimeReachesFollowers) {
  record_log log("first");
  auto cold = MakeRecord(1, 2);
  cold.cold_remaining = milliseconds(3000);
  log.Update({1, 1}, {MakeRecord(1, 2)}, false);
  const auto position = log.end();
  log.Update({1, 2}, {cold}, false);
  EXPECT_GT(log.end(), position) << "the change of the column alone counts";
  const auto bytes =
      EncodeSyncResponse({1, 1, {}, log.Since(0, 16), 2, milliseconds(3)});
  const auto decoded = DecodeSyncResponse(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->records.changed.at(0), cold);
  auto previous = nlohmann::json::from_cbor(bytes);
  auto& row = previous.at(7).at(0);
  row.erase(11);
  const auto cbor = nlohmann::json::to_cbor(previous);
  const auto old = DecodeSyncResponse(std::string(cbor.begin(), cbor.end()));
  ASSERT_TRUE(old);
  EXPECT_EQ(old->records.changed.at(0), MakeRecord(1, 2));
}

// Random changes, lost and duplicate responses, and restarts of the log: the
// follower's copy equals the log whenever it is reported complete.
TEST(record_log, FollowerConvergesToLog) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    record_log log("first");
    record_follower follower;
    std::string name = "first";
    std::vector<engine_record> listed;
    int complete = 0;
    std::uint64_t revision = 0;
    for (int step = 0; step < 300; ++step) {
      listed.clear();
      for (int i = 0; i < 40; ++i) {
        if (random() % 4 != 0)
          listed.push_back(MakeRecord(i, random() % 3 + 1));
      }
      log.Update({1, ++revision}, listed, random() % 5 == 0);
      if (random() % 60 == 0) {
        name = "log-" + std::to_string(step);
        log = record_log(name);
        log.Update({1, ++revision}, listed, false);
      }
      const auto delta = log.Since(follower.PositionIn(name), 16);
      if (random() % 3 == 0) continue;  // lost
      const auto decoded = DecodeSyncResponse(
          EncodeSyncResponse({1, 1, {}, delta, 2, milliseconds(3)}));
      ASSERT_TRUE(decoded);
      ASSERT_EQ(decoded->store_era, 2U);
      ASSERT_EQ(decoded->records_age, milliseconds(3));
      ASSERT_EQ(decoded->records.version, log.version());
      ASSERT_EQ(decoded->records.kept, log.Kept());
      const bool done = follower.Apply(decoded->records);
      if (random() % 4 == 0) follower.Apply(decoded->records);
      if (!done) continue;
      ++complete;
      ASSERT_EQ(follower.Records(), log.Records()) << "seed " << seed;
    }
    // Without further changes the follower reaches the end of the log.
    bool done = false;
    for (int i = 0; i < 10 && !done; ++i) {
      done = follower.Apply(log.Since(follower.PositionIn(name), 16));
    }
    EXPECT_TRUE(done);
    EXPECT_EQ(follower.Records(), log.Records());
  }
}

// Guards against removing engines whose records expired while the store was
// unavailable, and against keeping an address for its previous engine.
TEST(record_log, KeepsMissingRecordsUnlessTheirAddressIsUsed) {
  record_log log("log");
  log.Update({1, 1}, {MakeRecord(1, 1), MakeRecord(2, 1)}, false);
  auto successor = MakeRecord(3, 1);
  successor.address = MakeRecord(2, 1).address;
  log.Update({1, 2}, {successor}, true);
  const auto kept = log.Records();
  ASSERT_EQ(kept.size(), 2U);
  EXPECT_EQ(kept[0].id, endpoint_id("e1"));
  EXPECT_EQ(kept[1].id, endpoint_id("e3"));
  EXPECT_EQ(
      log.Kept(),
      (std::map<endpoint_id, store_version>{{endpoint_id("e1"), {1, 1}}}));
  log.Update({1, 3}, {successor}, false);
  EXPECT_EQ(log.Records().size(), 1U);
}

TEST(record_log, UnchangedListingIsNoChange) {
  record_log log("log");
  log.Update({1, 1}, {MakeRecord(1, 1)}, false);
  const auto end = log.end();
  EXPECT_GT(end, 0U);
  log.Update({1, 2}, {MakeRecord(1, 1)}, false);
  EXPECT_EQ(log.end(), end);
}

// Guards against a response of the previous build that reads as "no zone is
// evacuated".
TEST(sync_messages, EvacuatedZonesAreOptional) {
  using zones = std::set<zone_id>;
  for (const auto& evacuated :
       {std::optional<zones>(), std::optional<zones>(zones{}),
        std::optional<zones>(zones{zone_id("dakar"), zone_id("thies")})}) {
    sync_response response;
    response.evacuated = evacuated;
    const auto decoded = DecodeSyncResponse(EncodeSyncResponse(response));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->evacuated, evacuated);
  }
  using nlohmann::json;
  auto message =
      json::from_cbor(EncodeSyncResponse({1, 1, {}, record_delta(), 2, {}}));
  message.erase(message.size() - 1);
  const auto bytes = json::to_cbor(message);
  const auto previous = DecodeSyncResponse(
      {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  ASSERT_TRUE(previous);
  EXPECT_EQ(previous->store_era, 2U);
  EXPECT_FALSE(previous->evacuated);
}

TEST(sync_messages, RejectsInvalidBytes) {
  EXPECT_FALSE(DecodeSyncRequest("garbage"));
  EXPECT_FALSE(DecodeSyncResponse(""));
  const auto request = DecodeSyncRequest(EncodeSyncRequest({3, "log", 9}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->position, 9U);
}

// Guards against requests to an engine that leaves: a store that was restored
// from an older copy lists it as ready, or at all, until the engine writes
// again.
TEST(record_log, LeavingEngineDoesNotReturnWithAnOlderRecord) {
  record_log log("first");
  auto ready = MakeRecord(1, 4);
  ready.started_ms = 5;
  auto leaving = ready;
  leaving.leaving = true;
  log.Update({1, 1}, {ready}, false);
  log.Update({1, 2}, {leaving}, false);
  log.Update({1, 3}, {ready}, false);
  EXPECT_TRUE(log.Records().at(0).leaving);
  log.Update({1, 4}, {}, false);
  log.Update({1, 5}, {ready}, false);
  EXPECT_TRUE(log.Records().at(0).leaving);
  ready.started_ms = 6;
  log.Update({1, 6}, {ready}, false);
  EXPECT_FALSE(log.Records().at(0).leaving) << "another process";
}

// Guards against a name that no request can carry, or a version, which a host
// of an older build passes on.
TEST(record_log, FollowersTakeNoRecordThatRequestsCannotName) {
  record_log log("first");
  auto odd = MakeRecord(2, 2);
  odd.id = endpoint_id("e2\r\nX-Injected: 1");
  auto nameless = MakeRecord(3, 2);
  nameless.id = endpoint_id("");
  auto versioned = MakeRecord(4, 2);
  versioned.software = software_version("v1\r\nX-Injected: 1");
  log.Update({1, 1}, {MakeRecord(1, 2), odd, nameless, versioned}, false);
  const auto decoded = DecodeSyncResponse(
      EncodeSyncResponse({1, 1, {}, log.Since(0, 16), 2, milliseconds(3)}));
  ASSERT_TRUE(decoded);
  const auto& changed = decoded->records.changed;
  ASSERT_EQ(changed.size(), 2U);
  EXPECT_EQ(changed[0], MakeRecord(1, 2));
  EXPECT_EQ(changed[1].id, endpoint_id("e4"));
  EXPECT_EQ(changed[1].software, software_version());
}

}  // namespace
}  // namespace bluebell::serving
