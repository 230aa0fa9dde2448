#include "peer/memory_peer_network.h"

#include <gtest/gtest.h>

#include <optional>

#include "base/manual_clock.h"

namespace bluebell::peer {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class memory_network_test : public ::testing::Test {
 protected:
  memory_network_test() {
    b_->SetHandler("echo", [this](const host_id&, const json& body,
                                  const peer_network::respond& answer) {
      ++handled_;
      answer(body);
    });
  }

  void SendRequest() {
    outcome_.reset();
    a_->Request(host_id("b"), "echo", {{"x", 1}}, seconds(1),
                [this](result<json> got) { outcome_ = std::move(got); });
  }

  manual_clock clock_;
  memory_network network_{clock_};
  std::unique_ptr<peer_network> a_ = network_.Attach(host_id("a"));
  std::unique_ptr<peer_network> b_ = network_.Attach(host_id("b"));
  std::optional<result<json>> outcome_;
  int handled_ = 0;
};

TEST_F(memory_network_test, AnswersAfterBothDelays) {
  network_.SetDelay(host_id("a"), host_id("b"), milliseconds(20));
  network_.SetDelay(host_id("b"), host_id("a"), milliseconds(30));
  SendRequest();
  clock_.Advance(milliseconds(49));
  EXPECT_FALSE(outcome_);
  clock_.Advance(milliseconds(1));
  ASSERT_TRUE(outcome_ && *outcome_);
  EXPECT_EQ((**outcome_)["x"], 1);
}

// Guards against a one-way cut that blocks both directions.
TEST_F(memory_network_test, CutOfTheAnswerStillRunsTheHandler) {
  network_.SetCut(host_id("b"), host_id("a"), true);
  SendRequest();
  clock_.Advance(seconds(1));
  EXPECT_EQ(handled_, 1);
  ASSERT_TRUE(outcome_);
  EXPECT_EQ(outcome_->error().code, error_code::kTimeout);
}

TEST_F(memory_network_test, PausedHostHandlesMessagesWhenItResumes) {
  network_.Pause(host_id("b"));
  SendRequest();
  clock_.Advance(milliseconds(500));
  EXPECT_EQ(handled_, 0);
  network_.Resume(host_id("b"));
  clock_.Advance(milliseconds(1));
  EXPECT_TRUE(outcome_ && *outcome_);
}

// Guards against an answer that reaches a new process of the requesting host.
TEST_F(memory_network_test, SuccessorGetsNoAnswerOfEndedProcess) {
  SendRequest();
  a_.reset();
  a_ = network_.Attach(host_id("a"));
  std::optional<result<json>> other;
  a_->Request(host_id("b"), "no handler", {}, seconds(1),
              [&](result<json> got) { other = std::move(got); });
  clock_.Advance(seconds(2));
  EXPECT_FALSE(outcome_);
  ASSERT_TRUE(other);
  EXPECT_FALSE(*other);
}

TEST_F(memory_network_test, UnknownHostIsUnavailable) {
  b_.reset();
  SendRequest();
  clock_.Advance(milliseconds(0));
  ASSERT_TRUE(outcome_);
  EXPECT_EQ(outcome_->error().code, error_code::kUnavailable);
}

}  // namespace
}  // namespace bluebell::peer
