#include "serving/engine_view.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <random>

#include "serving/record_log.h"

namespace bluebell::serving {
namespace {

using testing::IsEmpty;

engine_record MakeRecord(int number, std::int64_t started_ms = 1,
                         bool leaving = false) {
  engine_record record;
  record.id = endpoint_id("e" + std::to_string(number));
  record.address = "10.0.0.1:" + std::to_string(8000 + number);
  record.started_ms = started_ms;
  record.leaving = leaving;
  return record;
}

// Guards against an older state that replaces a newer one when the source of
// the records changes.
TEST(engine_view, EarlierVersionsAreIgnored) {
  engine_view view;
  view.Apply({1, 5}, {MakeRecord(1, 1, true)}, {});
  view.Apply({1, 4}, {MakeRecord(1, 2), MakeRecord(2)}, {});
  EXPECT_EQ(view.Records(), std::vector<engine_record>{MakeRecord(1, 1, true)});
  // A restored store assigns lower revisions in a higher era.
  view.Apply({2, 1}, {MakeRecord(2)}, {});
  EXPECT_EQ(view.Records(), std::vector<engine_record>{MakeRecord(2)});
}

// Guards against an engine that returns with the records of a host which was
// cut off from the store while the engine left.
TEST(engine_view, KeptRecordDoesNotReplaceALaterListing) {
  engine_view view;
  view.Apply({1, 5}, {MakeRecord(1)}, {});
  view.Apply({1, 6}, {}, {});
  view.Apply({1, 7}, {MakeRecord(1)}, {{endpoint_id("e1"), {1, 4}}});
  EXPECT_THAT(view.Records(), IsEmpty());
}

// Guards against an outage of the store that removes engines which run.
TEST(engine_view, KeptRecordIsUsedIfNoLaterListingIsKnown) {
  engine_view view;
  view.Apply({1, 7}, {MakeRecord(1)}, {{endpoint_id("e1"), {1, 4}}});
  EXPECT_EQ(view.Records().size(), 1U);
}

// Guards against requests to an engine that has stated in an answer that it
// leaves, while the store's records still call it ready.
TEST(engine_view, StatementOfAnEngineSurvivesRecords) {
  engine_view view;
  view.Apply({1, 1}, {MakeRecord(1)}, {});
  EXPECT_TRUE(view.OnLeaving(endpoint_id("e1")));
  EXPECT_FALSE(view.OnLeaving(endpoint_id("e1")));
  view.Apply({1, 2}, {MakeRecord(1)}, {});
  EXPECT_TRUE(view.Records().at(0).leaving);
  view.Apply({1, 3}, {}, {});
  view.Apply({1, 4}, {MakeRecord(1)}, {});
  EXPECT_TRUE(view.Records().at(0).leaving);
  view.Apply({1, 5}, {MakeRecord(1, 2)}, {});
  EXPECT_FALSE(view.Records().at(0).leaving) << "another process";
}

// Random schedules: readers are cut off from the store and return, keep what
// they miss, and followers change their reader. No host that has seen an engine
// leaving or gone uses that process again.
TEST(engine_view, NoSourceRevivesAnEngine) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<engine_record> stored;
    std::int64_t started = 0;
    std::uint64_t revision = 0;
    std::vector<record_log> readers;
    std::vector<bool> cut(3, false);
    for (int i = 0; i < 3; ++i) readers.emplace_back("r" + std::to_string(i));
    engine_view view;
    std::set<std::int64_t> ended;
    for (int step = 0; step < 300; ++step) {
      ++revision;
      const auto number = static_cast<int>(random() % 6);
      const auto found =
          std::find_if(stored.begin(), stored.end(), [&](const auto& record) {
            return record.id == MakeRecord(number).id;
          });
      if (found == stored.end()) {
        stored.push_back(MakeRecord(number, ++started));
      } else if (random() % 2 == 0 && !found->leaving) {
        found->leaving = true;
      } else {
        stored.erase(found);
      }
      const auto changed = random() % 3;
      cut[changed] = random() % 2 == 0;
      for (std::size_t i = 0; i < readers.size(); ++i) {
        if (!cut[i] && random() % 2 == 0) {
          readers[i].Update({1, revision}, stored, random() % 2 == 0);
        }
      }
      const auto& reader = readers[random() % 3];
      std::vector<std::int64_t> before;
      for (const auto& record : view.Records()) {
        if (!record.leaving) before.push_back(record.started_ms);
      }
      view.Apply(reader.version(), reader.Records(), reader.Kept());
      std::set<std::int64_t> usable;
      for (const auto& record : view.Records()) {
        if (record.leaving) {
          ended.insert(record.started_ms);
        } else {
          usable.insert(record.started_ms);
          ASSERT_EQ(ended.count(record.started_ms), 0U)
              << "seed " << seed << " step " << step;
        }
      }
      for (const auto process : before) {
        if (usable.count(process) == 0) ended.insert(process);
      }
    }
  }
}

}  // namespace
}  // namespace bluebell::serving
