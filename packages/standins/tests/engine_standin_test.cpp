#include "standins/engine_standin.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "recorded_exchange.h"
#include "standins/token_text.h"

namespace bluebell::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An engine of 100 bytes with the models m (60 bytes) and n (10 bytes), 10
// tokens a second, 1 s to load and 100 ms to unload.
engine_options SmallEngine() {
  engine_options options;
  options.memory_bytes = 100;
  options.tokens_per_second = 10;
  options.slots = 2;
  options.first_token = milliseconds(100);
  options.times = {seconds(1), milliseconds(10), milliseconds(100)};
  options.models = {{"m", 60}, {"n", 10}};
  options.incarnation = "first";
  return options;
}

class engine_test : public testing::Test {
 protected:
  engine_test() { Restart(SmallEngine()); }

  void Restart(const engine_options& options) {
    engine_ = std::make_unique<engine_standin>(time_, options);
  }
  std::shared_ptr<recorded_exchange> Complete(json body) {
    body.emplace("model", "m");
    body.emplace("prompt", "p");
    return Request(*engine_, "POST", "/v1/completions", body,
                   {{"x-request-id", body.value("id", "r")}});
  }
  int Order(const std::string& id, const std::string& operation,
            const std::string& target, std::int64_t bytes, int fence = 1) {
    const auto answer = Request(*engine_, "POST", "/v1/orders",
                                {{"order_id", id},
                                 {"fence", fence},
                                 {"operation", operation},
                                 {"target", target},
                                 {"memory_bytes", bytes}});
    return answer->response->status;
  }
  json Counter(const std::string& name) { return engine_->Counters()[name]; }

  manual_clock time_;
  std::unique_ptr<engine_standin> engine_;
};

// The token events of a stream; fails if an index is lost or doubled.
std::string TextOf(const std::string& stream, std::int64_t first) {
  std::string text;
  std::size_t at = 0;
  while ((at = stream.find("data: {", at)) != std::string::npos) {
    const auto end = stream.find("\n\n", at);
    const auto event = json::parse(stream.substr(at + 6, end - at - 6));
    EXPECT_EQ(event["index"], first++);
    text += event["text"].get<std::string>();
    at = end;
  }
  return text;
}

// Guards against a judge of overcommitment that counts a load only when it is
// finished, or stops counting an unload before it is finished.
TEST_F(engine_test, MemoryCountsFromLoadStartToUnloadEnd) {
  EXPECT_EQ(Counter("memory_used"), 70);
  EXPECT_EQ(Order("1", "load_model", "x", 30), 202);
  EXPECT_EQ(Counter("memory_used"), 100);
  EXPECT_EQ(Counter("overcommits"), 0);
  EXPECT_EQ(engine_->LoadReport()["loading"], json({"x"}));
  EXPECT_EQ(Complete({{"model", "x"}})->response->status, 404);
  time_.Advance(seconds(1));
  EXPECT_EQ(engine_->LoadReport()["models"], json({"m", "n", "x"}));

  Order("2", "unload_model", "n", 0);
  EXPECT_EQ(Counter("memory_used"), 100);
  Order("3", "load_adapter", "a", 1);
  EXPECT_EQ(Counter("overcommits"), 1);
  EXPECT_EQ(Counter("peak_memory"), 101);
  time_.Advance(milliseconds(100));
  EXPECT_EQ(Counter("memory_used"), 91);
  EXPECT_EQ(Counter("peak_memory"), 101);
  EXPECT_EQ(engine_->LoadReport()["adapters"], json({"a"}));
}

// Guards against memory that is free in the books while streams still use it.
TEST_F(engine_test, UnloadWaitsForTheStreamsOfTheModel) {
  const auto running = Complete({{"max_tokens", 10}});
  Order("1", "unload_model", "m", 0);
  EXPECT_EQ(Complete({})->response->status, 404);
  time_.Advance(milliseconds(900));
  EXPECT_EQ(Counter("memory_used"), 70);
  time_.Advance(milliseconds(200));
  ASSERT_TRUE(running->response);
  EXPECT_EQ(Counter("memory_used"), 10);
}

// Guards against more streams at a time than the engine has slots, and against
// a queue that ignores priorities.
TEST_F(engine_test, WaitingStreamsStartByPriorityAndArrival) {
  const auto first = Complete({{"max_tokens", 1}});
  const auto second = Complete({{"max_tokens", 5}});
  const auto low = Complete({{"max_tokens", 1}, {"priority", 9}});
  const auto normal = Complete({{"max_tokens", 1}});
  const auto high = Complete({{"max_tokens", 1}, {"priority", 0}});
  EXPECT_EQ(engine_->LoadReport()["running"], 2);
  EXPECT_EQ(engine_->LoadReport()["queued"], 3);
  time_.Advance(milliseconds(130));
  EXPECT_TRUE(first->response);
  EXPECT_TRUE(high->response);
  EXPECT_FALSE(normal->response);
  time_.Advance(milliseconds(30));
  EXPECT_TRUE(normal->response);
  EXPECT_FALSE(low->response);
  time_.Advance(seconds(1));
  EXPECT_TRUE(low->response);
  EXPECT_TRUE(second->response);
  EXPECT_EQ(Counter("peak_running"), 2);
  EXPECT_EQ(Counter("peak_queued"), 3);
}

// Guards against whole answers that differ from the expected text, which tests
// compare with.
TEST_F(engine_test, WholeAnswersHoldTextUsageAndRequestId) {
  const auto plain = Complete({{"max_tokens", 3}, {"id", "r7"}});
  const json messages = {{{"role", "user"}, {"content", "hello"}}};
  const auto chat =
      Request(*engine_, "POST", "/v1/chat/completions",
              {{"model", "n"}, {"messages", messages}, {"max_tokens", 2}});
  time_.Advance(seconds(1));
  EXPECT_EQ(plain->Body()["choices"][0]["text"], GeneratedText("m", "p", 0, 3));
  EXPECT_EQ(plain->Body()["usage"]["completion_tokens"], 3);
  EXPECT_EQ(plain->Body()["usage"]["prompt_tokens"], 1);
  EXPECT_EQ(plain->response->headers[0].second, "r7");
  EXPECT_EQ(chat->Body()["choices"][0]["message"]["content"],
            GeneratedText("n", "user: hello\n", 0, 2));
  EXPECT_EQ(Counter("tokens"), 5);
  EXPECT_NE(TokenText("m", "p", 0), TokenText("n", "p", 0));
  EXPECT_NE(TokenText("m", "p", 0), TokenText("m", "q", 0));
}

// Guards against lost or doubled tokens when a broken stream is resumed.
TEST_F(engine_test, ResumedStreamContinuesAtTheToken) {
  const json body = {{"max_tokens", 8}, {"stream", true}, {"stream_id", "s"}};
  const auto broken = Complete(body);
  time_.Advance(milliseconds(350));
  const auto begun = TextOf(broken->stream, 0);
  EXPECT_EQ(begun, GeneratedText("m", "p", 0, 3));
  json resumed_body = body;
  resumed_body["resume_from"] = 3;
  const auto resumed = Complete(resumed_body);
  EXPECT_TRUE(broken->closed);
  time_.Advance(seconds(1));
  EXPECT_EQ(begun + TextOf(resumed->stream, 3), GeneratedText("m", "p", 0, 8));
  EXPECT_NE(resumed->stream.find("data: [DONE]\n\n"), std::string::npos);
  EXPECT_TRUE(resumed->ended);
  EXPECT_EQ(TextOf(broken->stream, 0), begun);
}

// Guards against slots that stay taken by streams nobody waits for.
TEST_F(engine_test, CancelledAndDisconnectedStreamsFreeTheirSlots) {
  Complete({{"stream", true}, {"stream_id", "a"}, {"max_tokens", 99}});
  const auto lost = Complete({{"stream", true}, {"max_tokens", 99}});
  const auto waiting = Complete({{"max_tokens", 1}});
  EXPECT_EQ(Request(*engine_, "DELETE", "/v1/streams/a")->response->status,
            200);
  EXPECT_EQ(Request(*engine_, "DELETE", "/v1/streams/a")->response->status,
            404);
  EXPECT_EQ(engine_->LoadReport()["queued"], 0);
  lost->on_disconnect();
  EXPECT_EQ(engine_->LoadReport()["running"], 1);
  time_.Advance(seconds(1));
  EXPECT_TRUE(waiting->response);
  EXPECT_EQ(Counter("cancelled"), 1);
  EXPECT_EQ(Counter("disconnected"), 1);
  EXPECT_EQ(Counter("finished"), 1);
}

// Guards against an engine that enforces or ignores fencing contrary to its
// option, and against a repeated order that is carried out twice.
TEST_F(engine_test, FencingIsEnforcedOnlyIfTheEngineChecksIt) {
  for (const bool checks : {true, false}) {
    auto options = SmallEngine();
    options.checks_fencing = checks;
    Restart(options);
    EXPECT_EQ(Order("1", "load_model", "x", 1, 5), 202);
    EXPECT_EQ(Order("2", "load_model", "y", 1, 4), checks ? 409 : 202);
    EXPECT_EQ(Order("3", "load_model", "z", 1, 5), 202);
    EXPECT_EQ(Order("3", "load_model", "z", 1, 5), 202);
    EXPECT_EQ(Counter("loads"), checks ? 2 : 3);
    EXPECT_EQ(Counter("orders_stale"), checks ? 1 : 0);
    EXPECT_EQ(Counter("orders_outdated_accepted"), checks ? 0 : 1);
    EXPECT_EQ(Counter("orders_repeated"), 1);
    EXPECT_EQ(Counter("highest_fence"), 5);
  }
}

// Guards against faults of orders that have no effect, or the wrong one.
TEST_F(engine_test, OrdersAreLostOrLateOnRequest) {
  ASSERT_TRUE(engine_->ApplyFaults({{"lose_orders", 1}}));
  EXPECT_EQ(Order("1", "load_model", "x", 1), 202);
  EXPECT_EQ(Counter("loads"), 0);
  ASSERT_TRUE(engine_->ApplyFaults({{"order_delay_ms", 500}}));
  EXPECT_EQ(Order("2", "load_model", "y", 1), 202);
  EXPECT_EQ(Counter("loads"), 0);
  time_.Advance(milliseconds(500));
  EXPECT_EQ(Counter("loads"), 1);
}

// Guards against tests of stale reports that pass with fresh ones.
TEST_F(engine_test, LoadReportLagsBehindTheState) {
  auto options = SmallEngine();
  options.report_lag = milliseconds(200);
  Restart(options);
  Complete({{"max_tokens", 99}});
  time_.Advance(milliseconds(150));
  EXPECT_EQ(engine_->LoadReport()["running"], 0);
  EXPECT_EQ(engine_->LoadReport()["sampled_ms_ago"], 150);
  time_.Advance(milliseconds(50));
  EXPECT_EQ(engine_->LoadReport()["running"], 1);
  EXPECT_EQ(engine_->LoadReport()["incarnation"], "first");
}

// Guards against cache events that arrive complete and at once, as no real
// engine sends them.
TEST_F(engine_test, CacheEventsAreLateAndHaveGaps) {
  auto options = SmallEngine();
  options.report_lag = milliseconds(200);
  options.slots = 20;
  Restart(options);
  for (int i = 0; i < 10; ++i) Complete({{"prompt", std::to_string(i)}});
  const auto events = [&] {
    return Request(*engine_, "GET", "/v1/cache-events?after=2")
        ->Body()["events"];
  };
  EXPECT_EQ(events().size(), 0u);
  time_.Advance(milliseconds(200));
  EXPECT_EQ(events().size(), 7u);
}

TEST_F(engine_test, InvalidBodiesAreRefused) {
  for (const json& body :
       {json("text"), json::array(), json{{"prompt", "p"}}, json{{"model", 1}},
        json{{"model", "m"}, {"max_tokens", "many"}},
        json{{"model", "m"}, {"messages", {1}}}}) {
    const auto answer = Request(*engine_, "POST", "/v1/completions", body);
    EXPECT_EQ(answer->response->status, 400) << body;
  }
  EXPECT_EQ(Order("1", "explode", "x", 1), 400);
}

}  // namespace
}  // namespace bluebell::standins
