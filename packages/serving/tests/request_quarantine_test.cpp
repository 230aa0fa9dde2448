#include "serving/request_quarantine.h"

#include <gtest/gtest.h>

#include <memory>
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
    for (const auto& [fingerprint, crashes] : hosts_[from]->OwnCrashes()) {
      to.OnNotice(host_id("h" + std::to_string(from)), incarnations_[from],
                  fingerprint, crashes);
    }
    for (const auto& [fingerprint, crashes] : hosts_[from]->Refuted()) {
      to.OnRefuted(fingerprint, crashes);
    }
  }
  /// A round of the request at all hosts at once; returns its crashes.
  int Come() {
    int crashes = 0;
    for (int host = 0; host < kHosts; ++host) {
      if (hosts_[host]->Admit(kRequest, host) == verdict::kRefused) continue;
      hosts_[host]->OnCrash(kRequest);
      ++crashes;
    }
    return crashes;
  }

  static constexpr int kHosts = 3;
  manual_clock clock_;
  std::vector<std::unique_ptr<request_quarantine>> hosts_;
  std::vector<std::string> incarnations_{"1", "1", "1"};
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
    hosts_[i % kHosts]->OnCrash(kRequest);
    Pass(seconds(65));
    for (auto& host : hosts_) {
      EXPECT_EQ(host->Admit(kRequest, 0), verdict::kAllowed) << i;
    }
  }
}

// Guards against new crashes that are taken for a repeated notice: of a host
// that has restarted, and of one that has forgotten earlier ones.
TEST_F(request_quarantine_test, CountThatStartsAgainIsNoRepetition) {
  hosts_[0]->OnCrash(kRequest);
  Pass(seconds(1));
  hosts_[0] = std::make_unique<request_quarantine>(clock_);
  incarnations_[0] = "2";
  hosts_[0]->OnCrash(kRequest);
  hosts_[1]->OnCrash(kRequest);
  Pass(seconds(1));
  EXPECT_TRUE(hosts_[2]->IsQuarantined(kRequest));
}

TEST_F(request_quarantine_test, CrashesAfterForgottenOnesAreNoRepetition) {
  hosts_[0]->OnCrash(kRequest);
  hosts_[0]->OnCrash(kRequest);
  Pass(seconds(61));
  for (int i = 0; i < 3; ++i) hosts_[0]->OnCrash(kRequest);
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

}  // namespace
}  // namespace bluebell::serving
