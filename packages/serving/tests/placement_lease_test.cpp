#include "serving/placement_lease.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPause{3000};

// The store's object with conditional writes. Some are applied with a delay if
// their condition still holds. A restoration from a copy brings back the record
// and the revisions of its time.
struct stored_object {
  lease_record record;
  std::uint64_t next_revision = 1;
  std::uint64_t era = 1;
  struct copy {
    clock::time_point taken;
    lease_record record;
    std::uint64_t next_revision;
  };
  std::deque<copy> copies;
  struct delayed_write {
    clock::time_point due;
    lease_record wanted;
  };
  std::vector<delayed_write> delayed_writes;

  std::optional<store_version> Write(const lease_record& wanted) {
    if (wanted.revision != record.revision) return std::nullopt;
    record = wanted;
    record.revision = next_revision++;
    return store_version{era, record.revision};
  }
  lease_record Read() const {
    auto read = record;
    read.store_era = era;
    return read;
  }
  // Other objects take revisions, too.
  void TakeCopy(clock::time_point now) {
    ++next_revision;
    copies.push_back({now, record, next_revision});
  }
  void Restore(clock::time_point from) {
    while (copies.size() > 1 && copies.back().taken > from) copies.pop_back();
    record = copies.back().record;
    next_revision = copies.back().next_revision;
    ++era;
  }
  void ApplyDelayed(clock::time_point now) {
    for (auto& write : delayed_writes) {
      if (write.due > now) continue;
      Write(write.wanted);
      write.wanted.revision = ~0ULL;
    }
  }
};

struct host {
  std::unique_ptr<placement_lease> lease;
  clock::time_point frozen_until;
  clock::time_point disconnected_until;
};

// Random schedules of freezes, lost connections to the store, lost responses,
// delayed writes, restarts and resignations and, if `restores`, restorations of
// the store. Returns the number of handovers.
int PlayRandomSchedules(bool restores) {
  int handovers = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    manual_clock clock;
    std::mt19937_64 random(seed);
    const auto chance = [&](int in) { return random() % in == 0; };
    stored_object store;
    std::vector<host> hosts(3);
    int incarnations = 0;
    const auto start_process = [&](int i) {
      hosts[i].lease = std::make_unique<placement_lease>(
          clock, host_id("host-" + std::to_string(i)),
          std::to_string(++incarnations), kPause);
    };
    for (int i = 0; i < 3; ++i) start_process(i);
    int last_holder = -1;
    clock::time_point last_order;
    std::uint64_t last_number = 0;
    clock::time_point store_back_at;
    for (int step = 0; step < 1200; ++step) {
      clock.Advance(milliseconds(50));
      const auto now = clock.now();
      store.ApplyDelayed(now);
      store.TakeCopy(now);
      if (restores && step > 0 && chance(250)) {
        store.Restore(now - milliseconds(random() % 12000));
        if (chance(2)) store_back_at = now + milliseconds(random() % 8000);
      }
      for (int i = 0; i < 3; ++i) {
        auto& own = hosts[i];
        if (now < own.frozen_until) continue;
        if (chance(400)) own.frozen_until = now + milliseconds(random() % 6000);
        if (chance(300)) {
          own.disconnected_until = now + milliseconds(random() % 7000);
        }
        if (chance(900)) start_process(i);
        if (chance(1500)) own.lease->Resign();
        const bool is_connected =
            now >= own.disconnected_until && now >= store_back_at;
        if (is_connected && chance(10)) own.lease->OnRead(store.Read());
        const auto wanted = own.lease->NextWrite();
        if (wanted && is_connected) {
          if (chance(12)) {
            store.delayed_writes.push_back(
                {now + milliseconds(random() % 6000), *wanted});
          } else if (const auto version = store.Write(*wanted)) {
            // The response may be lost or arrive while the host is frozen.
            if (!chance(8)) {
              own.lease->OnWritten(*version, wanted->released, now);
            }
          } else {
            own.lease->OnRead(store.Read());
          }
        }
        if (!own.lease->MayAct()) continue;
        const auto number = own.lease->fencing_number();
        if (last_holder >= 0 && last_holder != i) {
          ++handovers;
          EXPECT_GE(now - last_order, kPause)
              << "seed " << seed << ", step " << step;
          EXPECT_GT(number, last_number) << "seed " << seed;
        }
        EXPECT_GE(number, last_number) << "seed " << seed;
        if (testing::Test::HasFailure()) return handovers;
        last_holder = i;
        last_order = now;
        last_number = number;
      }
    }
  }
  return handovers;
}

// Guards against two holders that send orders within the pause, and against a
// reused or lower fencing number.
TEST(placement_lease, NoTwoHoldersWithinThePauseInRandomSchedules) {
  EXPECT_GT(PlayRandomSchedules(false), 400);
}

// The same around restorations of the store, which forget renewals and
// takeovers and give out revisions again.
TEST(placement_lease, NoTwoHoldersWithinThePauseAroundRestorations) {
  EXPECT_GT(PlayRandomSchedules(true), 400);
}

// Guards against a takeover that takes longer than the sum of the validity, the
// pause and the margin.
TEST(placement_lease, TakesOverAfterSilence) {
  manual_clock clock;
  placement_lease lease(clock, host_id("b"), "1", kPause);
  lease.OnRead({7, host_id("a"), "1", false});
  const auto silence =
      kPause + placement_lease::kValidity + placement_lease::kMargin;
  clock.Advance(silence - milliseconds(1));
  EXPECT_FALSE(lease.NextWrite());
  clock.Advance(milliseconds(1));
  ASSERT_TRUE(lease.NextWrite());
  EXPECT_EQ(lease.NextWrite()->revision, 7U);
}

TEST(placement_lease, ReleasedLeaseIsTakenAfterThePause) {
  manual_clock clock;
  placement_lease lease(clock, host_id("b"), "1", kPause);
  lease.OnRead({7, host_id("a"), "1", true});
  clock.Advance(kPause + placement_lease::kMargin);
  EXPECT_TRUE(lease.NextWrite());
}

// Guards against a holder that continues after it was suspended.
TEST(placement_lease, SuspendedHolderStops) {
  manual_clock clock;
  placement_lease lease(clock, host_id("a"), "1", kPause);
  lease.OnRead({});
  lease.OnWritten({0, 1}, false, clock.now());
  EXPECT_TRUE(lease.MayAct());
  clock.Advance(placement_lease::kValidity);
  EXPECT_FALSE(lease.MayAct());
}

// Guards against a holder that acts on a grant of unknown age because the
// response to its write was lost.
TEST(placement_lease, GrantThatWasReadBackIsRenewedFirst) {
  manual_clock clock;
  placement_lease lease(clock, host_id("a"), "1", kPause);
  lease.OnRead({3, host_id("a"), "1", false});
  EXPECT_FALSE(lease.MayAct());
  ASSERT_TRUE(lease.NextWrite());
  lease.OnWritten({0, 4}, false, clock.now());
  EXPECT_TRUE(lease.MayAct());
  EXPECT_EQ(lease.fencing_number(), 3U);
}

}  // namespace
}  // namespace bluebell::serving
