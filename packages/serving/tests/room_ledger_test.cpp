#include "serving/room_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "base/manual_clock.h"
#include "serving/room_messages.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint_id kEngine("e1");

class room_fixture : public testing::Test {
 protected:
  room_answer Ask(const std::string& holder, std::uint64_t number,
                  milliseconds wait = milliseconds(0), int urgency = 5) {
    return ledger_.Ask({kEngine, holder, number, urgency, wait}, room_);
  }
  void Release(const std::string& holder, std::uint64_t number,
               const room_outcome& outcome = {}) {
    ledger_.Release(kEngine, holder, number, outcome);
  }

  manual_clock clock_;
  room_ledger ledger_{clock_};
  engine_room room_{2, 8, 0, 0, milliseconds(60)};
};

// Guards against more requests at an engine than it runs at once, from several
// hosts that each see only their own.
TEST_F(room_fixture, GrantsTheSlotsOverAllHosts) {
  EXPECT_EQ(Ask("a", 1), room_answer::kGranted);
  EXPECT_EQ(Ask("b", 1), room_answer::kGranted);
  EXPECT_EQ(Ask("c", 1), room_answer::kDenied);
  Release("a", 1);
  EXPECT_EQ(Ask("c", 2), room_answer::kGranted);
}

// Guards against room that is taken twice because a datagram was lost.
TEST_F(room_fixture, RepeatedRequestTakesRoomOnce) {
  EXPECT_EQ(Ask("a", 1), room_answer::kGranted);
  EXPECT_EQ(Ask("a", 1), room_answer::kGranted);
  EXPECT_EQ(ledger_.Held(kEngine), 1);
}

// Guards against a less urgent request that is served before a more urgent one.
TEST_F(room_fixture, MostUrgentWaitingRequestIsNext) {
  Ask("a", 1);
  Ask("a", 2);
  EXPECT_EQ(Ask("b", 1, milliseconds(200), 5), room_answer::kQueued);
  EXPECT_EQ(Ask("b", 2, milliseconds(200), 2), room_answer::kQueued);
  Release("a", 1);
  const auto decided = ledger_.TakeDecided();
  ASSERT_EQ(decided.size(), 1U);
  EXPECT_EQ(decided[0].first.number, 2U);
  EXPECT_EQ(decided[0].second, room_answer::kGranted);
}

// Guards against a request that waits although it can't be served in time.
TEST_F(room_fixture, RequestThatGetsNoRoomInTimeIsDeniedAtOnce) {
  Ask("a", 1);
  Ask("a", 2);
  EXPECT_EQ(Ask("b", 1, milliseconds(20)), room_answer::kDenied);
  EXPECT_EQ(Ask("b", 2, milliseconds(200)), room_answer::kQueued);
  clock_.Advance(milliseconds(210));
  const auto decided = ledger_.TakeDecided();
  ASSERT_EQ(decided.size(), 1U);
  EXPECT_EQ(decided[0].second, room_answer::kDenied);
}

// Guards against an engine that falls over because its room is smaller than
// its slots.
TEST_F(room_fixture, EngineThatRefusesMuchGetsNothingForASecond) {
  for (std::uint64_t i = 1; i <= 4; ++i) {
    EXPECT_EQ(Ask("a", i), room_answer::kGranted);
    Release("a", i, {true, std::nullopt});
  }
  EXPECT_EQ(Ask("a", 5), room_answer::kDenied);
  clock_.Advance(milliseconds(1001));
  EXPECT_EQ(Ask("a", 6), room_answer::kGranted);
}

// Guards against room that is lost with a host or with a datagram.
TEST_F(room_fixture, RoomThatIsNoLongerUsedIsFree) {
  Ask("a", 1);
  Ask("b", 1);
  ledger_.OnHolderGone("a");
  EXPECT_EQ(Ask("c", 1), room_answer::kGranted);
  clock_.Advance(seconds(2));
  ledger_.OnInFlight("b", {{kEngine, 1}});
  EXPECT_EQ(Ask("c", 2), room_answer::kDenied);
  ledger_.OnInFlight("b", {});
  EXPECT_EQ(Ask("c", 3), room_answer::kGranted);
}

// Guards against an owner that grants all slots while requests that it did not
// grant are at the engine: as it takes over, or from hosts of an older build.
TEST_F(room_fixture, RequestsThatItDidNotGrantTakeRoom) {
  room_.in_flight = 2;
  EXPECT_EQ(Ask("a", 1), room_answer::kDenied);
  clock_.Advance(milliseconds(1500));
  EXPECT_EQ(Ask("a", 2), room_answer::kGranted);
  room_.others = 1;
  EXPECT_EQ(Ask("a", 3), room_answer::kDenied);
}

// Guards against the same where only the engine's answers show them, and
// against room that is lost because requests end one after the other.
TEST_F(room_fixture, LoadBeyondTheGrantsTakesRoom) {
  std::uint64_t number = 0;
  Ask("a", ++number);
  Release("a", number);
  clock_.Advance(seconds(2));
  const auto run_beside = [&](int others) {
    for (int i = 0; i < 60; ++i) {
      Ask("a", ++number);
      Ask("a", ++number);
      const int load = others + ledger_.Held(kEngine);
      Release("a", number - 1, {false, load});
      Release("a", number, {false, load});
    }
  };
  run_beside(0);
  EXPECT_EQ(Ask("a", ++number), room_answer::kGranted);
  EXPECT_EQ(Ask("a", ++number), room_answer::kGranted);
  Release("a", number, {});
  Release("a", number - 1, {});
  run_beside(1);
  EXPECT_EQ(Ask("a", ++number), room_answer::kGranted);
  EXPECT_EQ(Ask("a", ++number), room_answer::kDenied);
  Release("a", number - 1, {});
  run_beside(5);
  EXPECT_EQ(Ask("a", ++number), room_answer::kGranted)
      << "an engine that gets nothing would never be used again";
  Release("a", number, {});
  run_beside(0);
  EXPECT_EQ(Ask("a", ++number), room_answer::kGranted);
  EXPECT_EQ(Ask("a", ++number), room_answer::kGranted);
}

TEST(room_messages, AreReadAsWritten) {
  const auto request =
      DecodeRoomRequest(EncodeRoomRequest({kEngine, "x", 7, 2, seconds(1)}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->engine, kEngine);
  EXPECT_EQ(request->number, 7U);
  EXPECT_EQ(request->urgency, 2);
  EXPECT_EQ(request->wait, seconds(1));
  const auto response =
      DecodeRoomResponse(EncodeRoomResponse({8, room_answer::kQueued}));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->number, 8U);
  EXPECT_EQ(response->answer, room_answer::kQueued);
  const auto release =
      DecodeRoomRelease(EncodeRoomRelease({kEngine, 9, {true, 4}}));
  ASSERT_TRUE(release);
  EXPECT_EQ(release->number, 9U);
  EXPECT_TRUE(release->outcome.refused);
  EXPECT_EQ(release->outcome.load, 4);
  EXPECT_FALSE(DecodeRoomRequest("?"));
  EXPECT_FALSE(DecodeRoomResponse("?"));
  EXPECT_FALSE(DecodeRoomRelease("?"));
}

/// Hosts that send 300 requests a second to three engines of six slots through
/// one ledger, whose answers take some milliseconds.
class room_replay {
 public:
  explicit room_replay(std::uint64_t seed, double load)
      : random_(seed), load_(load) {}

  void Run(seconds length) {
    clock_.Advance(seconds(5));
    const auto end = clock_.now() + length;
    auto next = clock_.now();
    while (clock_.now() < end) {
      clock_.Advance(milliseconds(1));
      for (; next <= clock_.now(); next += Gap()) Arrive();
      EndRuns();
      for (const auto& [request, answer] : ledger_.TakeDecided()) {
        if (answer == room_answer::kGranted) {
          Begin(request);
        } else {
          ++refused;
        }
      }
    }
  }

  int arrived = 0;
  int refused = 0;
  std::size_t most_at_engine = 0;

 private:
  static constexpr int kEngines = 3;
  static constexpr int kSlots = 6;
  static constexpr milliseconds kWork{60};
  static constexpr milliseconds kMessage{3};

  clock::duration Gap() {
    const double per_s = load_ * kEngines * kSlots /
                         std::chrono::duration<double>(kWork).count();
    return std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(
            std::exponential_distribution<double>(per_s)(random_)));
  }
  room_request Request(int engine, milliseconds wait) {
    return {endpoint_id("e" + std::to_string(engine)), "h", ++number_, 5, wait};
  }
  void Arrive() {
    ++arrived;
    const engine_room room{kSlots, 8, 0, 0, kWork + 2 * kMessage};
    const int first = static_cast<int>(random_() % kEngines);
    for (int i = 0; i < kEngines; ++i) {
      const auto request = Request((first + i) % kEngines, milliseconds(0));
      if (ledger_.Ask(request, room) != room_answer::kGranted) continue;
      return Begin(request);
    }
    const auto request = Request(first, milliseconds(100));
    if (ledger_.Ask(request, room) == room_answer::kDenied) ++refused;
  }
  void Begin(const room_request& request) {
    runs_.emplace(clock_.now() + kWork + 2 * kMessage, request);
    auto& there = at_engine_[request.engine];
    most_at_engine = std::max(most_at_engine, ++there);
  }
  void EndRuns() {
    while (!runs_.empty() && runs_.begin()->first <= clock_.now()) {
      const auto request = runs_.begin()->second;
      runs_.erase(runs_.begin());
      --at_engine_[request.engine];
      ledger_.Release(request.engine, request.holder, request.number, {});
    }
  }

  manual_clock clock_;
  room_ledger ledger_{clock_};
  std::mt19937_64 random_;
  double load_;
  std::uint64_t number_ = 0;
  std::multimap<clock::time_point, room_request> runs_;
  std::map<endpoint_id, std::size_t> at_engine_;
};

// Guards against engines that get more than their slots, and against refusing
// callers who can be served, at four fifths of what the engines carry.
TEST(room_replay_test, NearlyAllAreServedWithinTheSlots) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    room_replay replay(seed, 0.8);
    replay.Run(seconds(20));
    EXPECT_LE(replay.most_at_engine, 6U) << "seed " << seed;
    EXPECT_LT(replay.refused, replay.arrived / 50) << "seed " << seed;
  }
}

// Guards against engines that stand idle, or fall over, beyond what they carry.
TEST(room_replay_test, EnginesAreBusyBeyondTheirLoad) {
  room_replay replay(1, 1.5);
  replay.Run(seconds(20));
  EXPECT_LE(replay.most_at_engine, 6U);
  EXPECT_LT(replay.refused, replay.arrived * 45 / 100);
}

}  // namespace
}  // namespace bluebell::serving
