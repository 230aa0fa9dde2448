#include "serving/host_digest.h"

#include <gtest/gtest.h>

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

// Guards against evidence on prompt parts that is lost or changed between two
// hosts.
TEST(host_digest, KeepsEvidenceOnPromptParts) {
  host_digest digest;
  digest.host = host_id("h");
  digest.incarnation = "1";
  digest.parts = {{prompt_part_id("bad"),
                   {{endpoint_id("e1"), milliseconds(200), milliseconds(230)},
                    {endpoint_id("e2"), milliseconds(10), milliseconds(40)}},
                   std::nullopt},
                  {prompt_part_id("a"), {}, milliseconds(5)}};
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  ASSERT_TRUE(decoded) << decoded.error().detail;
  ASSERT_EQ(decoded->parts.size(), 2U);
  const auto& bad = decoded->parts[0];
  EXPECT_EQ(bad.part, prompt_part_id("bad"));
  ASSERT_EQ(bad.crashes.size(), 2U);
  EXPECT_EQ(bad.crashes[0].engine, endpoint_id("e1"));
  EXPECT_EQ(bad.crashes[0].age, milliseconds(200));
  EXPECT_EQ(bad.crashes[1].sent_age, milliseconds(40));
  EXPECT_FALSE(bad.answered_age);
  EXPECT_EQ(decoded->parts[1].answered_age, milliseconds(5));
}

// Guards against evidence on requests that is lost or changed between two
// hosts.
TEST(host_digest, KeepsEvidenceOnRequests) {
  host_digest digest;
  digest.host = host_id("h");
  digest.incarnation = "1";
  digest.requests = {
      {"f1",
       {{endpoint_id("e1"), milliseconds(200), milliseconds(230)}},
       milliseconds(5)},
      {"f2", {{endpoint_id("e2"), milliseconds(1), milliseconds(2)}}, {}}};
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  ASSERT_TRUE(decoded) << decoded.error().detail;
  ASSERT_EQ(decoded->requests.size(), 2U);
  const auto& first = decoded->requests[0];
  EXPECT_EQ(first.fingerprint, "f1");
  ASSERT_EQ(first.crashes.size(), 1U);
  EXPECT_EQ(first.crashes[0].engine, endpoint_id("e1"));
  EXPECT_EQ(first.crashes[0].age, milliseconds(200));
  EXPECT_EQ(first.crashes[0].sent_age, milliseconds(230));
  EXPECT_EQ(first.answered_age, milliseconds(5));
  EXPECT_FALSE(decoded->requests[1].answered_age);
}

// Guards against a cold period that does not reach the other hosts.
TEST(host_digest, KeepsColdPeriods) {
  host_digest digest;
  digest.host = host_id("h");
  digest.incarnation = "1";
  digest.limits.push_back({endpoint_id("e1"), 7, 2.5, milliseconds(60), {}});
  digest.limits.push_back(
      {endpoint_id("e2"),
       8,
       0,
       {},
       {},
       cold_notice{12, milliseconds(900), milliseconds(10)}});
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  ASSERT_TRUE(decoded) << decoded.error().detail;
  ASSERT_EQ(decoded->limits.size(), 2U);
  EXPECT_EQ(decoded->limits[0].named_age, milliseconds(60));
  EXPECT_FALSE(decoded->limits[0].cold);
  EXPECT_FALSE(decoded->limits[1].named_age);
  ASSERT_TRUE(decoded->limits[1].cold);
  EXPECT_EQ(decoded->limits[1].cold->per_s, 12);
  EXPECT_EQ(decoded->limits[1].cold->remaining, milliseconds(900));
  EXPECT_EQ(decoded->limits[1].cold->age, milliseconds(10));
}

}  // namespace
}  // namespace bluebell::serving
