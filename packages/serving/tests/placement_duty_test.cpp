#include "serving/placement_duty.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPause{3000};

// The store's object with conditional writes, some of which are carried out
// late if their condition still holds.
struct stored_object {
  duty_record record;
  std::uint64_t next_revision = 1;
  struct late_write {
    clock::time_point due;
    duty_record wanted;
  };
  std::vector<late_write> late;

  std::optional<std::uint64_t> Write(const duty_record& wanted) {
    if (wanted.revision != record.revision) return std::nullopt;
    record = wanted;
    record.revision = next_revision++;
    return record.revision;
  }
  void CarryOutLate(clock::time_point now) {
    for (auto& write : late) {
      if (write.due > now) continue;
      Write(write.wanted);
      write.wanted.revision = ~0ULL;
    }
  }
};

struct host {
  std::unique_ptr<placement_duty> duty;
  clock::time_point frozen_until;
  clock::time_point cut_until;
};

// Random schedules of freezes, cuts from the store, lost answers, writes
// carried out late, restarts and resignations. Guards against two holders that
// give orders within the pause of each other, and against a reused or lower
// fencing number.
TEST(placement_duty, NoTwoHoldersWithinThePauseInRandomSchedules) {
  int handovers = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    manual_clock clock;
    std::mt19937_64 random(seed);
    const auto chance = [&](int in) { return random() % in == 0; };
    stored_object store;
    std::vector<host> hosts(3);
    int incarnations = 0;
    const auto start = [&](int i) {
      hosts[i].duty = std::make_unique<placement_duty>(
          clock, host_id("host-" + std::to_string(i)),
          std::to_string(++incarnations), kPause);
    };
    for (int i = 0; i < 3; ++i) start(i);
    int last_holder = -1;
    clock::time_point last_order;
    std::uint64_t last_number = 0;
    for (int step = 0; step < 1200; ++step) {
      clock.Advance(milliseconds(50));
      const auto now = clock.now();
      store.CarryOutLate(now);
      for (int i = 0; i < 3; ++i) {
        auto& own = hosts[i];
        if (now < own.frozen_until) continue;
        if (chance(400)) own.frozen_until = now + milliseconds(random() % 6000);
        if (chance(300)) own.cut_until = now + milliseconds(random() % 7000);
        if (chance(900)) start(i);
        if (chance(1500)) own.duty->Resign();
        const bool reaches = now >= own.cut_until;
        if (reaches && chance(10)) own.duty->OnRead(store.record);
        const auto wanted = own.duty->NextWrite();
        if (wanted && reaches) {
          if (chance(12)) {
            store.late.push_back(
                {now + milliseconds(random() % 6000), *wanted});
          } else if (const auto revision = store.Write(*wanted)) {
            // An answer may be lost, or arrive while the host is frozen.
            if (!chance(8)) {
              own.duty->OnWritten(*revision, wanted->released, now);
            }
          } else {
            own.duty->OnRead(store.record);
          }
        }
        if (!own.duty->MayAct()) continue;
        const auto number = own.duty->fencing_number();
        if (last_holder >= 0 && last_holder != i) {
          ++handovers;
          ASSERT_GE(now - last_order, kPause)
              << "seed " << seed << ", step " << step;
          ASSERT_GT(number, last_number) << "seed " << seed;
        }
        ASSERT_GE(number, last_number) << "seed " << seed;
        last_holder = i;
        last_order = now;
        last_number = number;
      }
    }
  }
  EXPECT_GT(handovers, 400);
}

// Guards against a takeover that takes longer than the validity, the pause and
// the margin together.
TEST(placement_duty, TakesOverAfterSilence) {
  manual_clock clock;
  placement_duty duty(clock, host_id("b"), "1", kPause);
  duty.OnRead({7, host_id("a"), "1", false});
  const auto silence =
      kPause + placement_duty::kValidity + placement_duty::kMargin;
  clock.Advance(silence - milliseconds(1));
  EXPECT_FALSE(duty.NextWrite());
  clock.Advance(milliseconds(1));
  ASSERT_TRUE(duty.NextWrite());
  EXPECT_EQ(duty.NextWrite()->revision, 7U);
}

TEST(placement_duty, ReleasedDutyIsTakenAfterThePause) {
  manual_clock clock;
  placement_duty duty(clock, host_id("b"), "1", kPause);
  duty.OnRead({7, host_id("a"), "1", true});
  clock.Advance(kPause + placement_duty::kMargin);
  EXPECT_TRUE(duty.NextWrite());
}

// Guards against a holder that goes on after it was suspended.
TEST(placement_duty, SuspendedHolderStops) {
  manual_clock clock;
  placement_duty duty(clock, host_id("a"), "1", kPause);
  duty.OnRead({});
  duty.OnWritten(1, false, clock.now());
  EXPECT_TRUE(duty.MayAct());
  clock.Advance(placement_duty::kValidity);
  EXPECT_FALSE(duty.MayAct());
}

// Guards against a holder that acts on a grant of unknown age, whose answer
// was lost.
TEST(placement_duty, GrantThatWasReadBackIsRenewedFirst) {
  manual_clock clock;
  placement_duty duty(clock, host_id("a"), "1", kPause);
  duty.OnRead({3, host_id("a"), "1", false});
  EXPECT_FALSE(duty.MayAct());
  ASSERT_TRUE(duty.NextWrite());
  duty.OnWritten(4, false, clock.now());
  EXPECT_TRUE(duty.MayAct());
  EXPECT_EQ(duty.fencing_number(), 3U);
}

}  // namespace
}  // namespace bluebell::serving
