#include "serving/brittle_services.h"

#include <gtest/gtest.h>

#include "base/manual_clock.h"
#include "serving/host_digest.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kService("shop");

class brittle_fixture : public testing::Test {
 protected:
  brittle_fixture() { clock_.Advance(seconds(100)); }

  manual_clock clock_;
  brittle_services host_{clock_};
};

// Guards against a state that ends by an answer to a request that was sent
// before an engine named it.
TEST_F(brittle_fixture, EndsByALaterRequestOnly) {
  const auto sent = clock_.now();
  clock_.Advance(seconds(1));
  host_.OnNamed(kService, 8);
  host_.OnNoneNamed(kService, sent);
  EXPECT_EQ(host_.Refusals(kService), 8);
  clock_.Advance(seconds(1));
  host_.OnNoneNamed(kService, clock_.now());
  EXPECT_FALSE(host_.Refusals(kService));
}

// Guards against a host that is left behind in either state because it sends no
// requests itself.
TEST_F(brittle_fixture, OtherHostsLearnOfBeginAndEnd) {
  brittle_services other(clock_);
  host_.OnNamed(kService, 8);
  clock_.Advance(milliseconds(300));
  for (const auto& notice : host_.Notices()) other.OnNotice(notice, {});
  EXPECT_EQ(other.Refusals(kService), 8);
  host_.OnNoneNamed(kService, clock_.now());
  for (const auto& notice : other.Notices()) host_.OnNotice(notice, {});
  EXPECT_FALSE(host_.Refusals(kService));
  for (const auto& notice : host_.Notices()) other.OnNotice(notice, {});
  EXPECT_FALSE(other.Refusals(kService));
  clock_.Advance(seconds(11));
  EXPECT_TRUE(host_.Notices().empty());
}

// Guards against a notice that does not survive the way to another host.
TEST_F(brittle_fixture, DigestCarriesNotices) {
  host_.OnNamed(kService, 8);
  host_digest digest;
  digest.shares_room = true;
  digest.brittle = host_.Notices();
  const auto read = DecodeDigest(EncodeDigest(digest));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->shares_room);
  ASSERT_EQ(read->brittle.size(), 1U);
  EXPECT_EQ(read->brittle[0].service, kService);
  EXPECT_EQ(read->brittle[0].refusals_per_s, 8);
  EXPECT_FALSE(read->brittle[0].free_age);
}

}  // namespace
}  // namespace bluebell::serving
