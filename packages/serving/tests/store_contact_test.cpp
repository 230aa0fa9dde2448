#include "serving/store_contact.h"

#include <gtest/gtest.h>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class store_contact_fixture : public testing::Test {
 protected:
  /// Reads the store twice a second.
  void ReadFor(store_contact& host, clock::duration span) {
    for (const auto end = clock_.now() + span; clock_.now() < end;) {
      host.OnRead(clock_.now());
      clock_.Advance(milliseconds(500));
    }
  }

  manual_clock clock_;
  store_contact host_{clock_};
};

TEST_F(store_contact_fixture, RecordsAreCompleteWhileTheStoreAnswers) {
  ReadFor(host_, seconds(1));
  EXPECT_FALSE(host_.MayLackRecords());
}

// Guards against an outage that removes engines: their records expire
// meanwhile and return within two seconds.
TEST_F(store_contact_fixture, RecordsMayBeMissingAfterAnOutage) {
  ReadFor(host_, seconds(5));
  clock_.Advance(seconds(4));
  host_.OnRead(clock_.now());
  clock_.Advance(seconds(2));
  EXPECT_TRUE(host_.MayLackRecords());
  clock_.Advance(milliseconds(200));
  EXPECT_FALSE(host_.MayLackRecords());
}

// Guards against a host that keeps engines which have left, because it was cut
// off from the store while the store served others.
TEST_F(store_contact_fixture, OwnLossIsNoOutage) {
  store_contact other(clock_);
  ReadFor(host_, seconds(5));
  ReadFor(other, seconds(8));
  host_.OnRead(clock_.now());
  EXPECT_TRUE(host_.MayLackRecords()) << "nothing was heard of others";
  host_.OnPeer(*other.Report(), clock::duration(0));
  EXPECT_FALSE(host_.MayLackRecords());
}

TEST_F(store_contact_fixture, ReportsOfOthersBridgeTheOwnLoss) {
  store_contact other(clock_);
  ReadFor(host_, seconds(5));
  for (int i = 0; i < 10; ++i) {
    ReadFor(other, milliseconds(500));
    host_.OnPeer(*other.Report(), clock::duration(0));
  }
  host_.OnRead(clock_.now());
  EXPECT_FALSE(host_.MayLackRecords());
}

// Guards against a report from before an outage that hides it.
TEST_F(store_contact_fixture, LateReportDoesNotHideAnOutage) {
  store_contact other(clock_);
  ReadFor(host_, seconds(5));
  other.OnRead(clock_.now());
  clock_.Advance(milliseconds(100));
  const auto report = *other.Report();
  clock_.Advance(seconds(4));
  host_.OnRead(clock_.now());
  host_.OnPeer(report, seconds(4));
  EXPECT_TRUE(host_.MayLackRecords());
}

TEST_F(store_contact_fixture, ReportEndsWithTheContact) {
  EXPECT_FALSE(host_.Report());
  host_.OnRead(clock_.now());
  EXPECT_TRUE(host_.Report());
  clock_.Advance(milliseconds(1500));
  EXPECT_FALSE(host_.Report());
}

TEST_F(store_contact_fixture, RestoredStoreMayLackRecords) {
  ReadFor(host_, seconds(5));
  host_.OnRestored();
  EXPECT_TRUE(host_.MayLackRecords());
}

}  // namespace
}  // namespace bluebell::serving
