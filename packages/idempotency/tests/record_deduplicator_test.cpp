#include "idempotency/record_deduplicator.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

#include "idempotency/tests/simulated_host.h"

namespace bluebell::idempotency {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const account_id kAccount{"gallagher"};

/// How the endpoint ends a request.
enum class ending { kAnswer, kConnectionRefused, kNoAnswer };

/// One request of a caller.
struct call {
  std::string key;
  std::optional<begin_outcome> outcome;
  bool dispatched = false;
};

struct process : testing::simulated_process<testing::settable_view> {
  using simulated_process::simulated_process;
  std::unique_ptr<record_deduplicator> dedup;
  /// Requests in the queue and at the endpoint; they end with the process.
  std::vector<timer_handle> work;
};

/// Hosts, platform and an endpoint that counts dispatches.
class world {
 public:
  explicit world(int hosts) : platform(time), network(time) {
    for (int i = 0; i < hosts; ++i) ids.emplace_back(std::string(1, 'a' + i));
    for (int i = 0; i < hosts; ++i) Start(i);
  }

  void Start(int host) {
    const incarnation_id run(ids[host].value() + std::to_string(++runs_));
    auto& made = running[ids[host]];
    made.reset();
    network.Resume(ids[host]);
    made = std::make_unique<process>(network, platform, ids[host], run);
    made->view.live = made->view.members = ids;
    made->dedup = *record_deduplicator::Create(
        {}, made->store, *made->peers, made->view, made->time, made->events);
  }

  void Kill(int host) { running[ids[host]].reset(); }
  process* At(int host) { return running[ids[host]].get(); }

  /// Sends a request that waits in the queue and then runs for a while.
  std::shared_ptr<call> Send(int host, const std::string& key,
                             ending how = ending::kAnswer,
                             milliseconds queued = milliseconds(100),
                             const std::string& digest = "d") {
    auto made = std::make_shared<call>();
    made->key = key;
    calls.push_back(made);
    process* at = At(host);
    if (!at) return made;
    at->dedup->Begin({kAccount, key, digest}, [=](begin_outcome outcome) {
      EXPECT_FALSE(made->outcome) << "Begin answered twice";
      made->outcome = outcome;
      const auto* granted = std::get_if<attempt>(&outcome);
      if (!granted) return;
      at->work.push_back(at->time.CallAfter(
          queued, [=, id = *granted] { Dispatch(at, id, made, how); }));
    });
    return made;
  }

  void Dispatch(process* at, const attempt& id, std::shared_ptr<call> made,
                ending how) {
    if (!at->dedup->MarkDispatched(id)) return;
    if (how == ending::kConnectionRefused) return at->dedup->MarkNotRun(id);
    made->dispatched = true;
    ++dispatches[made->key];
    at->work.push_back(at->time.CallAfter(milliseconds(200), [=] {
      if (how == ending::kNoAnswer) return at->dedup->Abandon(id);
      at->dedup->Complete(id, {200, "text/plain", "run of " + made->key});
    }));
  }

  /// The checks of every schedule.
  void Check(const std::string& schedule) {
    for (const auto& [key, count] : dispatches) {
      EXPECT_LE(count, 1) << key << " ran twice: " << schedule;
    }
    for (const auto& each : calls) {
      if (!each->outcome) continue;
      const auto* refusal = std::get_if<problem>(&*each->outcome);
      const auto* answer = std::get_if<recorded_answer>(&*each->outcome);
      if (refusal && refusal->run == executed::kNo) {
        EXPECT_FALSE(each->dispatched) << "refused as not run: " << schedule;
      }
      if (answer) {
        EXPECT_EQ(answer->body, "run of " + each->key) << schedule;
        EXPECT_EQ(dispatches[each->key], 1) << schedule;
      }
    }
  }

  void CutPlatform(bool cut) { platform.faults().outage = cut; }

  manual_clock time;
  store::memory_platform platform;
  peer::memory_network network;
  std::vector<host_id> ids;
  std::map<host_id, std::unique_ptr<process>> running;
  std::vector<std::shared_ptr<call>> calls;
  std::map<std::string, int> dispatches;

 private:
  int runs_ = 0;
};

problem_code CodeOf(const call& made) {
  return std::get<problem>(made.outcome.value()).code;
}

enum class fault {
  kNone,
  kKill,
  kPause,
  kOutage,
  kLostAnswers,
  kLateWrite,
  kCutOff,
};

void Inject(world& at, fault what) {
  switch (what) {
    case fault::kNone:
      return;
    case fault::kKill:
      return at.Kill(0);
    case fault::kPause:
      return at.network.Pause(at.ids[0]);
    case fault::kOutage:
      return at.CutPlatform(true);
    case fault::kLostAnswers:
      at.At(0)->store.faults().lose_answers = 3;
      return;
    case fault::kLateWrite:
      at.At(0)->store.faults().delay = seconds(5);
      return;
    case fault::kCutOff:
      return at.network.SetIsolated(at.ids[0], true);
  }
}

void Heal(world& at) {
  at.network.SetIsolated(at.ids[0], false);
  at.CutPlatform(false);
  if (at.At(0)) at.At(0)->store.faults() = {};
  if (!at.At(0)) at.Start(0);
}

// Guards against a second run, and against a false "not run", for each fault at
// each step of the first request: before and after the write takes effect, in
// the queue, at the endpoint, while the answer is recorded, and afterwards.
// Repeats reach the same and another host soon after the fault, at the moment
// the fault ends, and later.
TEST(record_deduplicator, RunsOnceUnderEachFaultAtEachStep) {
  const std::array<milliseconds, 7> steps{
      milliseconds(0),   milliseconds(1),   milliseconds(2),  milliseconds(50),
      milliseconds(150), milliseconds(303), milliseconds(400)};
  for (int what = 0; what <= static_cast<int>(fault::kCutOff); ++what) {
    for (const auto step : steps) {
      for (const auto how :
           {ending::kAnswer, ending::kConnectionRefused, ending::kNoAnswer}) {
        for (const auto& order : {std::array<int, 2>{0, 1}, {1, 0}}) {
          // An early fault is in place before the request is sent.
          for (const bool early : {false, true}) {
            world at(2);
            const std::string schedule =
                "fault " + std::to_string(what) + " at " +
                std::to_string(step.count()) + " ms, ending " +
                std::to_string(static_cast<int>(how)) + ", first repeat at " +
                std::to_string(order[0]) + (early ? ", early" : "");
            if (early) {
              Inject(at, static_cast<fault>(what));
              at.time.Advance(step);
            }
            at.Send(0, "order", how);
            if (!early) {
              at.time.Advance(step);
              Inject(at, static_cast<fault>(what));
            }
            at.time.Advance(milliseconds(10));
            for (const int host : order) at.Send(host, "order");
            at.time.Advance(seconds(2));
            at.Send(1, "order");
            at.time.Advance(seconds(8));
            // The repeat meets the first host while it wakes up.
            at.Send(1, "order");
            at.network.Resume(at.ids[0]);
            Heal(at);
            at.Send(0, "order");
            at.time.Advance(seconds(60));
            at.Send(1, "order");
            at.time.Advance(seconds(60));
            at.Check(schedule);
          }
        }
      }
    }
  }
}

void ActAtRandom(world& at, std::mt19937_64& random) {
  const auto pick = [&](int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random);
  };
  const int hosts = static_cast<int>(at.ids.size());
  const int host = pick(hosts);
  const int other = pick(hosts);
  const int choice = pick(100);
  if (choice < 60) {
    at.Send(host, "order " + std::to_string(pick(12)),
            static_cast<ending>(std::max(0, pick(6) - 3)),
            milliseconds(pick(3) * 400));
  } else if (choice < 66) {
    at.network.Pause(at.ids[host]);
  } else if (choice < 76) {
    at.network.Resume(at.ids[host]);
  } else if (choice < 79) {
    at.Kill(host);
  } else if (choice < 84) {
    if (!at.At(host)) at.Start(host);
  } else if (choice < 86) {
    at.CutPlatform(true);
  } else if (choice < 90) {
    at.CutPlatform(false);
  } else if (choice < 93) {
    at.platform.faults().lose_answers = pick(4);
  } else if (choice < 95) {
    if (at.At(host)) at.At(host)->store.faults().delay = seconds(pick(5));
  } else if (choice < 98) {
    at.network.SetCut(at.ids[host], at.ids[other], pick(3) == 0);
  } else {
    at.network.SetLoss(at.ids[host], at.ids[other], pick(2) * 0.3);
  }
}

// Guards against a second run under combinations of faults that the table above
// does not list.
TEST(record_deduplicator, RunsOnceInRandomSchedules) {
  int runs = 0;
  int answers = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    world at(seed % 2 == 0 ? 2 : 3);
    for (int i = 0; i < 400; ++i) {
      ActAtRandom(at, random);
      at.time.Advance(milliseconds(random() % 150));
    }
    at.Check("seed " + std::to_string(seed));
    for (const auto& each : at.dispatches) runs += each.second;
    for (const auto& each : at.calls) {
      answers += each->outcome &&
                 std::holds_alternative<recorded_answer>(*each->outcome);
    }
  }
  // Guards against schedules so broken that nothing runs in them.
  EXPECT_GT(runs, 300);
  EXPECT_GT(answers, 300);
}

TEST(record_deduplicator, RepeatGetsTheRecordedAnswerOnEveryHost) {
  world at(2);
  at.Send(0, "order");
  at.time.Advance(seconds(1));
  const auto repeat = at.Send(1, "order");
  at.time.Advance(seconds(1));
  EXPECT_EQ(std::get<recorded_answer>(*repeat->outcome).body, "run of order");
}

// Guards against one key that is used for two orders.
TEST(record_deduplicator, OtherDigestUnderTheSameKeyIsAConflict) {
  world at(2);
  at.Send(0, "order");
  const auto same_host = at.Send(0, "order", {}, milliseconds(0), "other");
  at.time.Advance(seconds(1));
  const auto other_host = at.Send(1, "order", {}, milliseconds(0), "other");
  at.time.Advance(seconds(1));
  EXPECT_EQ(CodeOf(*same_host), problem_code::kIdempotencyConflict);
  EXPECT_EQ(CodeOf(*other_host), problem_code::kIdempotencyConflict);
}

// Guards against a repeat that is refused although the first request certainly
// did not run: refused connection, and attempts that the platform confirmed too
// late, one of them of a host that died since.
TEST(record_deduplicator, RepeatRunsWhenTheFirstDidNot) {
  world at(3);
  at.Send(0, "refused connection", ending::kConnectionRefused);
  for (const int host : {0, 2}) {
    at.At(host)->store.faults().delay = seconds(4);
    const auto late = at.Send(host, "late at " + std::to_string(host));
    at.time.Advance(seconds(10));
    EXPECT_EQ(CodeOf(*late), problem_code::kPlatformUnavailable);
    at.At(host)->store.faults() = {};
  }
  at.time.Advance(seconds(10));
  at.Kill(2);
  for (const char* key : {"refused connection", "late at 0", "late at 2"}) {
    at.Send(1, key);
    at.time.Advance(seconds(1));
    EXPECT_EQ(at.dispatches[key], 1) << key;
  }
}

// Guards against a request that is refused because one answer was lost.
TEST(record_deduplicator, LostAnswerIsReadBack) {
  world at(1);
  at.At(0)->store.faults().lose_answers = 1;
  at.Send(0, "order");
  at.time.Advance(seconds(1));
  EXPECT_EQ(at.dispatches["order"], 1);
}

// Guards against a repeat on the same host that is answered "outcome unknown"
// although the first request is about to end.
TEST(record_deduplicator, RepeatOnTheSameHostWaitsWithinALimit) {
  world at(1);
  at.Send(0, "order");
  const auto waits = at.Send(0, "order");
  at.Send(0, "slow", ending::kAnswer, seconds(60));
  const auto gives_up = at.Send(0, "slow");
  at.time.Advance(seconds(31));
  EXPECT_TRUE(std::holds_alternative<recorded_answer>(*waits->outcome));
  EXPECT_EQ(CodeOf(*gives_up), problem_code::kOutcomeUnknown);
}

// Guards against an answer that is lost in an outage, and against one above the
// platform's limit.
TEST(record_deduplicator, AnswerIsStoredAfterAnOutageWithinTheSizeLimit) {
  world at(2);
  auto& dedup = *at.At(0)->dedup;
  std::optional<attempt> granted;
  dedup.Begin({kAccount, "order", "d"},
              [&](begin_outcome what) { granted = std::get<attempt>(what); });
  at.time.Advance(seconds(1));
  ASSERT_TRUE(dedup.MarkDispatched(*granted));
  at.CutPlatform(true);
  dedup.Complete(*granted, {201, "text/plain", std::string(600u << 10, 'x')});
  const auto repeat = at.Send(0, "order");
  at.time.Advance(hours(1));
  EXPECT_EQ(std::get<recorded_answer>(*repeat->outcome).http_status, 201);
  EXPECT_EQ(dedup.unstored(), 1u);
  at.CutPlatform(false);
  at.time.Advance(seconds(10));
  EXPECT_EQ(dedup.unstored(), 0u);
  const auto elsewhere = at.Send(1, "order");
  at.time.Advance(seconds(1));
  const auto& answer = std::get<recorded_answer>(*elsewhere->outcome);
  EXPECT_EQ(answer.http_status, 201);
  EXPECT_TRUE(answer.body_omitted);
}

TEST(record_deduplicator, IsolatedHostRefuses) {
  world at(1);
  at.At(0)->view.current = fleet::host_status::kIsolated;
  EXPECT_EQ(CodeOf(*at.Send(0, "order")), problem_code::kHostIsolated);
}

// Guards against records that stay for ever, and against records that are
// removed while a repeat must still find them.
TEST(record_deduplicator, SweepRemovesOwnRecordsAfterTheRetentionTime) {
  world at(2);
  at.Send(0, "order");
  const std::string name = RecordName(kAccount, "order");
  at.time.Advance(hours(23));
  EXPECT_TRUE(at.platform.Peek(name));
  at.time.Advance(hours(5));
  EXPECT_FALSE(at.platform.Peek(name));
}

TEST(record, KeepsEveryByteOfTheBody) {
  record made;
  std::string bytes;
  for (int i = 0; i < 256; ++i) bytes.push_back(static_cast<char>(i));
  for (int length = 0; length < 5; ++length) {
    made.answer = recorded_answer{200, "a/b", bytes.substr(0, 252 + length)};
    const auto read = ParseRecord(ToJson(made));
    ASSERT_TRUE(read) << read.error().detail;
    EXPECT_EQ(read->answer->body, made.answer->body);
  }
}

}  // namespace
}  // namespace bluebell::idempotency
