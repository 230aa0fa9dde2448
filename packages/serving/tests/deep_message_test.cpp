#include <gtest/gtest.h>
#include <pthread.h>

#include <string>

#include "serving/host_digest.h"
#include "serving/permit_messages.h"
#include "serving/sync_messages.h"

namespace bluebell::serving {
namespace {

void* DecodeNested(void* accepted) {
  constexpr std::size_t kDatagramBytes = 60'000;
  const std::string nested(kDatagramBytes, '\x81');
  *static_cast<bool*>(accepted) =
      DecodeDigest(nested) || DecodeSyncRequest(nested) ||
      DecodeSyncResponse(nested) || DecodePermitRequest(nested);
  return nullptr;
}

// Guards against a datagram of nested arrays that ends the process: datagrams
// are decoded on the small stacks of coroutines.
TEST(deep_message, NestedArraysAreRejected) {
  constexpr std::size_t kStackBytes = 512 * 1024;
  pthread_attr_t small;
  pthread_attr_init(&small);
  ASSERT_EQ(pthread_attr_setstacksize(&small, kStackBytes), 0);
  pthread_t thread;
  bool accepted = true;
  ASSERT_EQ(pthread_create(&thread, &small, DecodeNested, &accepted), 0);
  pthread_join(thread, nullptr);
  EXPECT_FALSE(accepted);
}

}  // namespace
}  // namespace bluebell::serving
