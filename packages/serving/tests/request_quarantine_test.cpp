#include "serving/request_quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/manual_clock.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using verdict = request_quarantine::verdict;

const char kRequest[] = "f";

/// Hosts that exchange what they count, in front of engines which a request
/// crashes.
class request_quarantine_test : public testing::Test {
 protected:
  request_quarantine_test() {
    for (int i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<request_quarantine>(clock_));
    }
  }
  /// Lets the hosts exchange digests for `span`.
  void Pass(seconds span) {
    for (const auto end = clock_.now() + span; clock_.now() < end;) {
      clock_.Advance(milliseconds(500));
      for (int from = 0; from < kHosts; ++from) {
        for (int to = 0; to < kHosts; ++to) {
          if (from != to) Send(from, *hosts_[to]);
        }
      }
    }
  }
  void Send(int from, request_quarantine& to) const {
    to.OnEvidence(hosts_[from]->TakeEvidence());
  }
  /// Another engine crashes under a request that the host has just sent.
  void Crash(int host) {
    hosts_[host]->OnCrash(kRequest,
                          endpoint_id("e" + std::to_string(++engines_)),
                          clock_.now(), clock_.now());
  }
  /// A round of the request at all hosts at once; returns its crashes.
  int Come() {
    int crashes = 0;
    for (int host = 0; host < kHosts; ++host) {
      if (hosts_[host]->Admit(kRequest, host) == verdict::kRefused) continue;
      Crash(host);
      ++crashes;
    }
    return crashes;
  }

  static constexpr int kHosts = 3;
  manual_clock clock_;
  std::vector<std::unique_ptr<request_quarantine>> hosts_;
  int engines_ = 0;
};

// Guards against a request that crashes engines again because its crashes were
// forgotten.
TEST_F(request_quarantine_test, RefusedRequestIsNotForgotten) {
  EXPECT_EQ(Come(), 3);
  Pass(seconds(3));
  int late = 0;
  for (int i = 0; i < 400; ++i) {
    late += Come();
    Pass(seconds(3));
  }
  EXPECT_LE(late, 3);
}

// Guards against a trial at each host at the same time.
TEST_F(request_quarantine_test, OneHostTestsAtATime) {
  Come();
  Pass(seconds(70));
  EXPECT_EQ(Come(), 1);
}

// Guards against refusing a sound request for good because it was in flight at
// several crashes.
TEST_F(request_quarantine_test, AnsweredTrialEndsTheRefusalAtAllHosts) {
  Come();
  Pass(seconds(65));
  ASSERT_EQ(hosts_[0]->Admit(kRequest, 0), verdict::kTrial);
  ASSERT_EQ(hosts_[0]->Admit(kRequest, 0), verdict::kRefused);
  hosts_[0]->OnAnswered(kRequest, clock_.now());
  Pass(seconds(2));
  for (auto& host : hosts_) {
    EXPECT_EQ(host->Admit(kRequest, 2), verdict::kAllowed);
  }
}

// Guards against an answer to a request that was sent before the crashes.
TEST_F(request_quarantine_test, EarlierRequestRefutesNoCrash) {
  const auto sent = clock_.now();
  Pass(seconds(1));
  Come();
  hosts_[0]->OnAnswered(kRequest, sent);
  EXPECT_EQ(hosts_[0]->Admit(kRequest, 0), verdict::kAllowed);
  Pass(seconds(1));
  EXPECT_EQ(hosts_[0]->Admit(kRequest, 0), verdict::kRefused);
}

// Guards against a sound request that is refused because of crashes that are
// far apart.
TEST_F(request_quarantine_test, FewCrashesAreForgotten) {
  for (int i = 0; i < 6; ++i) {
    Crash(i % kHosts);
    Pass(seconds(65));
    for (auto& host : hosts_) {
      EXPECT_EQ(host->Admit(kRequest, 0), verdict::kAllowed) << i;
    }
  }
}

// Guards against new crashes that are taken for a repeated notice: of a host
// that has restarted, and of one that has forgotten earlier ones.
TEST_F(request_quarantine_test, CountThatStartsAgainIsNoRepetition) {
  Crash(0);
  Pass(seconds(1));
  hosts_[0] = std::make_unique<request_quarantine>(clock_);
  Crash(0);
  Crash(1);
  Pass(seconds(1));
  EXPECT_TRUE(hosts_[2]->IsQuarantined(kRequest));
}

TEST_F(request_quarantine_test, CrashesAfterForgottenOnesAreNoRepetition) {
  Crash(0);
  Crash(0);
  Pass(seconds(61));
  for (int i = 0; i < 3; ++i) Crash(0);
  Pass(seconds(1));
  for (auto& host : hosts_) EXPECT_TRUE(host->IsQuarantined(kRequest));
}

// Guards against a host that has just started and lets the request through.
TEST_F(request_quarantine_test, HostThatStartsLearnsOfOlderCrashes) {
  Come();
  Pass(seconds(100));
  request_quarantine started(clock_);
  for (int from = 0; from < kHosts; ++from) Send(from, started);
  EXPECT_EQ(started.Admit(kRequest, 0), verdict::kRefused);
}

// Guards against a host that was killed and lets a request through whose
// crashes it had counted itself.
TEST_F(request_quarantine_test, RestartedHostLearnsItsOwnCrashesFromOthers) {
  for (int i = 0; i < 4; ++i) Crash(0);
  Pass(seconds(10));
  hosts_[0] = std::make_unique<request_quarantine>(clock_);
  for (int other = 1; other < kHosts; ++other) Send(other, *hosts_[0]);
  EXPECT_EQ(hosts_[0]->Admit(kRequest, 0), verdict::kRefused);
}

// Guards against losing what was learned when all hosts restart, and against a
// restored refusal that no answer ends.
TEST_F(request_quarantine_test, RestoredRequestIsRefusedUntilItIsAnswered) {
  Come();
  Pass(seconds(1));
  EXPECT_EQ(hosts_[0]->TakeQuarantined(), std::vector<std::string>{kRequest});
  EXPECT_TRUE(hosts_[0]->TakeQuarantined().empty());
  const auto age = hosts_[0]->UnansweredAge(kRequest);
  ASSERT_TRUE(age);
  for (auto& host : hosts_) {
    host = std::make_unique<request_quarantine>(clock_);
    EXPECT_TRUE(host->Restore(kRequest, *age));
    EXPECT_TRUE(host->TakeQuarantined().empty());
    EXPECT_EQ(host->Admit(kRequest, 0), verdict::kRefused);
  }
  Pass(seconds(65));
  ASSERT_EQ(hosts_[0]->Admit(kRequest, 0), verdict::kTrial);
  hosts_[0]->OnAnswered(kRequest, clock_.now());
  EXPECT_FALSE(hosts_[0]->UnansweredAge(kRequest));
  Pass(seconds(1));
  EXPECT_EQ(hosts_[1]->Admit(kRequest, 1), verdict::kAllowed);
  EXPECT_FALSE(hosts_[2]->Restore("old", std::chrono::hours(1)));
  EXPECT_FALSE(hosts_[2]->Restore("future", -std::chrono::hours(1)));
}

// Guards against one crash that counts once for each alike request that it
// ends, and once for each host that has lost one.
TEST_F(request_quarantine_test, OneCrashCountsOnce) {
  for (int i = 0; i < 6; ++i) {
    clock_.Advance(milliseconds(30));
    hosts_[i % kHosts]->OnCrash(kRequest, endpoint_id("e"), clock_.now(),
                                clock_.now());
  }
  Pass(seconds(5));
  for (auto& host : hosts_) {
    EXPECT_EQ(host->Admit(kRequest, 2), verdict::kAllowed);
  }
}

// Guards against a refusal that no answer ends, because none of the answers is
// to a request that was sent after the last crash.
TEST_F(request_quarantine_test, AnswerSentAfterTheFirstCrashRefutesIt) {
  Crash(0);
  clock_.Advance(milliseconds(100));
  const auto sent = clock_.now();
  clock_.Advance(milliseconds(100));
  Crash(1);
  clock_.Advance(milliseconds(100));
  Crash(2);
  Pass(seconds(1));
  EXPECT_EQ(hosts_[0]->Admit(kRequest, 1), verdict::kRefused);
  hosts_[1]->OnAnswered(kRequest, sent);
  Pass(seconds(1));
  for (auto& host : hosts_) {
    EXPECT_EQ(host->Admit(kRequest, 1), verdict::kAllowed);
  }
}

// Guards against digests that are too large to send: many requests are in
// flight at engines that crash, and many are refused.
TEST_F(request_quarantine_test, EvidenceIsBoundedAndNamesAllRefusedInTurn) {
  constexpr int kRefused = 40;
  for (int engine = 0; engine < 3; ++engine) {
    for (int i = 0; i < kRefused; ++i) {
      hosts_[0]->OnCrash("r" + std::to_string(i),
                         endpoint_id(std::to_string(engine)), clock_.now(),
                         clock_.now());
    }
    clock_.Advance(seconds(1));
  }
  clock_.Advance(seconds(100));
  for (int i = 0; i < 2000; ++i) {
    hosts_[0]->OnCrash("n" + std::to_string(i), endpoint_id("e"), clock_.now(),
                       clock_.now());
  }
  for (int i = 0; i < 3; ++i) {
    const auto evidence = hosts_[0]->TakeEvidence();
    EXPECT_LE(evidence.size(), 32U);
    hosts_[1]->OnEvidence(evidence);
  }
  for (int i = 0; i < kRefused; ++i) {
    EXPECT_TRUE(hosts_[1]->IsQuarantined("r" + std::to_string(i))) << i;
  }
}

// Guards against losing what was learned while builds that count requests and
// builds with evidence run side by side.
TEST_F(request_quarantine_test, CountsOfOlderBuildsAreUnderstood) {
  const host_id older("older");
  hosts_[0]->OnCount(older, "1", kRequest, 2);
  hosts_[0]->OnCount(older, "1", kRequest, 2);
  Pass(seconds(1));
  EXPECT_EQ(hosts_[0]->Admit(kRequest, 1), verdict::kAllowed);
  hosts_[0]->OnCount(older, "1", kRequest, 3);
  Pass(seconds(1));
  EXPECT_EQ(hosts_[1]->Admit(kRequest, 1), verdict::kRefused);
  EXPECT_GE(hosts_[1]->CountsOf(hosts_[1]->TakeEvidence())[kRequest], 3);
  hosts_[1]->OnAnswered(kRequest, clock_.now());
  EXPECT_TRUE(hosts_[1]->CountsOf(hosts_[1]->TakeEvidence()).empty());
  EXPECT_GE(hosts_[1]->RefutedCounts()[kRequest], 3);
}

// A fleet in front of engines that crash for another reason than a request
// which is often sent alike. An answer takes 100 ms to begin, and 400 ms until
// it shows that the engine survives it.
class alike_requests_replay {
 public:
  alike_requests_replay(unsigned seed, int hosts, int exchange_ms)
      : random_(seed), exchange_ms_(exchange_ms) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<request_quarantine>(clock_));
    }
    up_at_.resize(kEngines);
  }

  /// Plays half a minute. From second 5 to 20 `together` engines crash at once
  /// in each interval of `interval_ms`.
  void Run(double per_s, int together, int interval_ms) {
    for (now_ms_ = 0; now_ms_ < 30'000; now_ms_ += kTickMs) {
      clock_.Advance(milliseconds(kTickMs));
      std::poisson_distribution<int> arrivals(per_s * kTickMs / 1000);
      for (int due = arrivals(random_); due > 0; --due) Send();
      const bool crashes = now_ms_ >= 5000 && now_ms_ < 20'000 &&
                           (now_ms_ - 5000) % interval_ms == 0;
      for (int i = 0; crashes && i < together; ++i) Crash(Uniform(kEngines));
      Progress();
      if (now_ms_ % exchange_ms_ == 0) Exchange();
    }
  }

  int sent = 0;
  int refused = 0;
  /// In the last five seconds.
  int refused_late = 0;

 private:
  static constexpr int kEngines = 12;
  static constexpr int kTickMs = 10;

  struct run {
    int host;
    int engine;
    clock::time_point sent_at;
    int survived_ms;
  };

  int Uniform(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  void Send() {
    const int host = Uniform(static_cast<int>(hosts_.size()));
    ++sent;
    if (hosts_[host]->Admit("f", host) == verdict::kRefused) {
      ++refused;
      if (now_ms_ >= 25'000) ++refused_late;
      return;
    }
    const int engine = Uniform(kEngines);
    if (up_at_[engine] > now_ms_) return;
    runs_.push_back({host, engine, clock_.now(), now_ms_ + 500});
  }
  void Crash(int engine) {
    up_at_[engine] = now_ms_ + 3000;
    const auto lost =
        std::stable_partition(runs_.begin(), runs_.end(),
                              [&](const run& r) { return r.engine != engine; });
    for (auto it = lost; it != runs_.end(); ++it) {
      hosts_[it->host]->OnCrash("f", endpoint_id("e" + std::to_string(engine)),
                                it->sent_at, clock_.now());
    }
    runs_.erase(lost, runs_.end());
  }
  void Progress() {
    const auto ended = std::stable_partition(
        runs_.begin(), runs_.end(),
        [&](const run& r) { return now_ms_ < r.survived_ms; });
    for (auto it = ended; it != runs_.end(); ++it) {
      hosts_[it->host]->OnAnswered("f", it->sent_at);
    }
    runs_.erase(ended, runs_.end());
  }
  void Exchange() {
    for (auto& from : hosts_) {
      const auto evidence = from->TakeEvidence();
      for (auto& to : hosts_) {
        if (to != from && Uniform(10) > 0) to->OnEvidence(evidence);
      }
    }
  }

  std::mt19937 random_;
  manual_clock clock_;
  int exchange_ms_;
  int now_ms_ = 0;
  std::vector<std::unique_ptr<request_quarantine>> hosts_;
  std::vector<int> up_at_;
  std::vector<run> runs_;
};

struct alike_case {
  const char* name;
  int hosts;
  int exchange_ms;
  double per_s;
  int together;
  int interval_ms;
};

class alike_requests : public testing::TestWithParam<alike_case> {};

// Guards against refusing a sound request that is often sent alike, because
// engines crash while they have it. Bound of the users' pages: it begins at
// least half as often as before; and the refusal ends with the crashes.
TEST_P(alike_requests, AreServedWhileEnginesCrash) {
  const auto& values = GetParam();
  for (unsigned seed = 1; seed <= 20; ++seed) {
    alike_requests_replay replay(seed, values.hosts, values.exchange_ms);
    replay.Run(values.per_s, values.together, values.interval_ms);
    EXPECT_LE(2 * replay.refused, replay.sent) << "seed " << seed;
    EXPECT_EQ(replay.refused_late, 0) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    days, alike_requests,
    testing::Values(alike_case{"one_a_second", 8, 200, 40, 1, 1000},
                    alike_case{"three_a_second", 8, 200, 40, 1, 300},
                    alike_case{"rare", 8, 200, 2, 1, 1000},
                    alike_case{"large", 80, 900, 40, 1, 1000},
                    alike_case{"three_at_once", 8, 200, 40, 3, 5000},
                    alike_case{"all_at_once", 8, 200, 40, 36, 20'000}),
    [](const auto& tested) { return tested.param.name; });

// Guards against refusing anybody because engines that had alike requests are
// lost together.
TEST(alike_requests_at_once, EnginesLostTogetherRefuseNobody) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    alike_requests_replay replay(seed, 8, 200);
    replay.Run(40, 3, 20'000);
    EXPECT_EQ(replay.refused, 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace bluebell::serving
