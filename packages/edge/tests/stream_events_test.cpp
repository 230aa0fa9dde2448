#include "edge/stream_events.h"

#include <gtest/gtest.h>

namespace bluebell::edge {
namespace {

// Guards against forwarding an incomplete event to the caller.
TEST(stream_events, FindsTheEndOfTheLastCompleteEvent) {
  EXPECT_EQ(CompleteEvents(""), 0U);
  EXPECT_EQ(CompleteEvents("id: 1\ndata: x\n"), 0U);
  EXPECT_EQ(CompleteEvents("id: 1\n\nid: 2\nda"), 7U);
  EXPECT_EQ(CompleteEvents("id: 1\r\n\r\nid"), 9U);
}

// Guards against an event that is held back, or taken for an incomplete one,
// because its lines end in different ways.
TEST(stream_events, BlankLineOfEitherKindEndsAnEvent) {
  EXPECT_EQ(CompleteEvents("data: x\n\r\nid"), 10U);
  EXPECT_EQ(CompleteEvents("data: x\r\n\nid"), 10U);
  EXPECT_EQ(CompleteEvents("data: x\r\n\r"), 0U);
}

// Guards against a stream that was cut inside an event and is taken as whole,
// and against the opposite.
TEST(stream_events, OnlyBlankLinesAndCommentsArePartOfNoEvent) {
  for (const char* rest : {"", "\n", "\r\n", "\r", ": bye\n", "\n:\r\n\r"}) {
    EXPECT_FALSE(HoldsPartOfEvent(rest)) << rest;
  }
  for (const char* rest : {"i", "id: 2\n", "data: x\r\n", "\nid: 2\n", ": by",
                           ": bye\nid", "x-weight-versions: 5\n"}) {
    EXPECT_TRUE(HoldsPartOfEvent(rest)) << rest;
  }
}

// Guards against resuming a stream after the wrong event.
TEST(stream_events, FindsTheLastId) {
  EXPECT_EQ(LastEventId("id: 7\ndata: x\n\nid: 8\ndata: id: 9\n\n"), "8");
  EXPECT_EQ(LastEventId("id:5\r\n\r\n"), "5");
  EXPECT_EQ(LastEventId("data: x\n\n"), "");
  EXPECT_EQ(LastEventId("id:\n\n"), "");
}

TEST(stream_events, CountsEventsOfBothLineEnds) {
  EXPECT_EQ(CountEvents(""), 0);
  EXPECT_EQ(CountEvents("id: 1\ndata: x\n\n"), 1);
  EXPECT_EQ(CountEvents("id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n"), 2);
}

// Guards against missing the end of an event that arrives in several parts, and
// against scanning a long event anew for each of them.
TEST(stream_events, EndOfAnEventThatIsSplitIsFound) {
  for (const std::string event :
       {"id: 1\ndata: x\n\n", "data: x\r\n\r\n", "data: x\n\r\n"}) {
    for (std::size_t split = 0; split < event.size(); ++split) {
      EXPECT_EQ(CompleteEvents(event, split), event.size()) << split;
    }
  }
}

}  // namespace
}  // namespace bluebell::edge
