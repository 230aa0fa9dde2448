#include "store_harness.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "base/asio_clock.h"
#include "base/manual_clock.h"
#include "standins/platform_standin.h"
#include "store/http_object_store.h"
#include "store/memory_object_store.h"

namespace bluebell::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class memory_harness final : public store_harness {
 public:
  explicit memory_harness(milliseconds call_limit)
      : store_(platform_, call_limit), call_limit_(call_limit) {}

  object_store& store() override { return store_; }
  void Inject(store_fault fault) override {
    auto& faults = platform_.faults();
    faults.outage = fault == store_fault::kOutage;
    faults.drop_requests = fault == store_fault::kDropRequest ? 1 : 0;
    faults.lose_answers = fault == store_fault::kLoseAnswer ? 1 : 0;
    faults.silent_watches = fault == store_fault::kSilentWatches;
    const bool delay = fault == store_fault::kDelayBeyondLimit;
    faults.delay = delay ? 2 * call_limit_ : milliseconds(0);
  }
  void ClearFaults() override { platform_.faults() = {}; }
  bool RunUntil(const std::function<bool()>& done) override {
    for (int step = 0; step < 10'000 && !done(); ++step) {
      time_.Advance(milliseconds(1));
    }
    return done();
  }
  std::int64_t calls() const override { return platform_.counts().total(); }
  void SetHosts(const std::vector<listed_host>& hosts) override {
    platform_.SetHosts(hosts);
  }
  bool DetectsUnsentRequests() const override { return true; }

 private:
  manual_clock time_;
  memory_platform platform_{time_};
  memory_object_store store_;
  milliseconds call_limit_;
};

class http_harness final : public store_harness {
 public:
  explicit http_harness(milliseconds call_limit) : call_limit_(call_limit) {
    address_ = server_.Listen("127.0.0.1:0").value();
    standin_.set_on_outage([this](bool outage) {
      if (outage) return server_.Stop();
      ASSERT_TRUE(server_.Listen(address_));
    });
    standin_.set_on_freeze([this](const standins::http_exchange* excluded) {
      server_.FreezeConnections(excluded);
    });
    http_store_options options;
    options.addresses = {address_};
    options.call_limit = call_limit;
    options.watch_margin = call_limit;
    store_ = http_object_store::Create(context_, options).value();
  }

  object_store& store() override { return *store_; }
  void Inject(store_fault fault) override {
    const bool delay = fault == store_fault::kDelayBeyondLimit;
    const nlohmann::json fields = {
        {"outage", fault == store_fault::kOutage},
        // A read on a reused connection is retried once on a new one.
        {"drop_requests", fault == store_fault::kDropRequest ? 2 : 0},
        {"lose_answers", fault == store_fault::kLoseAnswer ? 1 : 0},
        {"delay_ms", delay ? 2 * call_limit_.count() : 0},
        {"silent_watches", fault == store_fault::kSilentWatches},
        {"freeze_connections", fault == store_fault::kSilentConnections}};
    ASSERT_TRUE(standin_.ApplyFaults(fields));
  }
  void ClearFaults() override { Inject(store_fault::kNone); }
  bool RunUntil(const std::function<bool()>& done) override {
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(milliseconds(20));
    }
    return done();
  }
  std::int64_t calls() const override { return standin_.Counters()["calls"]; }
  void SetHosts(const std::vector<listed_host>& hosts) override {
    auto list = nlohmann::json::array();
    for (const auto& host : hosts) {
      list.push_back({{"id", host.id.value()},
                      {"state", host.leaving ? "leaving" : "live"}});
    }
    standin_.SetHosts(list);
  }
  bool DetectsUnsentRequests() const override { return false; }

 private:
  boost::asio::io_context context_;
  asio_clock time_{context_};
  standins::platform_standin standin_{time_, milliseconds(0)};
  standins::http_server server_{
      context_, [this](const auto& exchange) { standin_.Handle(exchange); }};
  std::string address_;
  std::unique_ptr<http_object_store> store_;
  milliseconds call_limit_;
};

}  // namespace

std::unique_ptr<store_harness> MakeMemoryHarness(milliseconds call_limit) {
  return std::make_unique<memory_harness>(call_limit);
}

std::unique_ptr<store_harness> MakeHttpHarness(milliseconds call_limit) {
  return std::make_unique<http_harness>(call_limit);
}

}  // namespace bluebell::store
