#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/asio_clock.h"
#include "base/digest.h"
#include "gateway/gateway.h"

namespace bluebell::gateway {

/// Admits requests up to a settable budget and records settlements.
class fake_admission final : public limits::admission {
 public:
  void Reserve(const account_id& account, token_count tokens,
               std::function<void(reserve_result)> done) override {
    if (tokens > budget) {
      done(tl::unexpected(limits::admission_refusal::kRateExceeded));
      return;
    }
    done(limits::reservation{1, account, tokens});
  }
  void Settle(const limits::reservation& reserved, token_count used) override {
    settled.emplace_back(reserved.tokens, used);
  }

  token_count budget{100'000};
  std::vector<std::pair<token_count, token_count>> settled;
};

/// Keeps records in memory and counts the filter's calls.
class fake_deduplicator final : public idempotency::deduplicator {
 public:
  void Begin(const idempotency::idempotent_request& request,
             std::function<void(idempotency::begin_outcome)> done) override {
    const auto found = answers.find(request.key);
    if (found != answers.end()) {
      done(found->second);
    } else {
      done(idempotency::attempt{request.key});
    }
  }
  bool MarkDispatched(const idempotency::attempt&) override {
    return may_dispatch;
  }
  void MarkNotRun(const idempotency::attempt&) override { ++not_run; }
  void Complete(const idempotency::attempt& current,
                const idempotency::recorded_response& response) override {
    answers[current.id] = response;
  }
  void Abandon(const idempotency::attempt&) override { ++abandoned; }

  std::map<std::string, idempotency::recorded_response> answers;
  bool may_dispatch = true;
  std::atomic<int> not_run{0};
  std::atomic<int> abandoned{0};
};

/// Assigns the first endpoint of a list that is not excluded.
class fake_scheduler final : public routing::scheduler {
 public:
  std::uint64_t Acquire(const routing::routing_request& request,
                        std::function<void(acquire_result)> done) override {
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      const endpoint_id id("endpoint-" + std::to_string(i));
      const auto& excluded = request.excluded;
      if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
        continue;
      done(routing::assignment{++next_, id, addresses[i]});
      return 0;
    }
    done(tl::unexpected(
        problem{problem_code::kNoEndpoint, "none", executed::kNo}));
    return 0;
  }
  void Cancel(std::uint64_t) override {}
  void Release(const routing::assignment&, routing::dispatch_outcome outcome,
               token_count) override {
    outcomes.push_back(outcome);
  }
  bool TakeRetry(const account_id&) override { return true; }

  std::vector<std::string> addresses;
  std::vector<routing::dispatch_outcome> outcomes;

 private:
  std::uint64_t next_ = 0;
};

class fake_fleet final : public fleet::fleet_view {
 public:
  fleet::host_status status() const override { return current; }
  bool HoldsLease() const override { return true; }
  host_id self() const override { return host_id("a"); }
  incarnation_id incarnation() const override { return incarnation_id("1"); }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    return {{host_id("a"), "127.0.0.1:1", zone_id("z")},
            {host_id("b"), "127.0.0.1:2", zone_id("z")}};
  }
  std::vector<host_id> LiveHosts() const override { return {self()}; }
  std::vector<host_id> Members() const override { return {self()}; }
  bool MayReclaim(const host_id&, const incarnation_id&) const override {
    return false;
  }

  std::atomic<fleet::host_status> current{fleet::host_status::kConnected};
};

/// What an endpoint does after its last script. A crash closes its listener
/// before the last connection.
enum class after_scripts { kListen, kCrash };

/// Accepts connections one at a time and answers each with the next script: a
/// function from the received request to the raw bytes to send. The connection
/// is closed afterwards.
class scripted_endpoint {
 public:
  using script = std::function<std::string(const std::string& request)>;

  explicit scripted_endpoint(std::vector<script> scripts,
                             after_scripts then = after_scripts::kListen)
      : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        address_(acceptor_.local_endpoint()),
        scripts_(std::move(scripts)),
        then_(then),
        thread_([this] { Run(); }) {}
  ~scripted_endpoint() {
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket last(context_);
    last.connect(address_, ignored);
    last.close(ignored);
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(address_.port());
  }
  /// Raw requests in order of arrival.
  std::vector<std::string> requests() {
    std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

 private:
  void Run();

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  std::vector<script> scripts_;
  after_scripts then_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  std::thread thread_;
};

/// Value of the header field `name` in a raw request.
std::string HeaderValue(const std::string& request, const std::string& name);
/// A raw response with matching request id and content length.
std::string FullResponse(const std::string& request, const std::string& body);
/// The same without a length: it ends with the connection.
std::string UnframedResponse(const std::string& request,
                             const std::string& body);
/// The head of a raw event stream without a length.
std::string StreamHeader(const std::string& request);
/// Event with token `index`.
std::string TokenEvent(int index);

/// A gateway on a loopback port with fake dependencies.
class gateway_test : public ::testing::Test {
 protected:
  gateway_test();
  ~gateway_test() override;

  void Start(std::vector<std::string> endpoint_addresses);
  /// Sends raw bytes and returns everything received until the gateway closes
  /// the connection or sends nothing for 2 s.
  std::string Exchange(const std::string& bytes);
  /// Sends a POST with the valid key, `Connection: close` and a JSON body.
  std::string Post(const std::string& path, const std::string& body,
                   const std::string& extra_fields = "");
  void ApplyRow(const std::string& name, const nlohmann::json& value);

  static constexpr char kKey[] = "secret-key-of-ndiaye";

  boost::asio::io_context context_;
  asio_clock time_{context_};
  event_log events_{time_, host_id("a")};
  config::snapshot rows_;
  fake_fleet fleet_;
  fake_admission admission_;
  fake_deduplicator records_;
  fake_scheduler scheduler_;
  gateway_metrics metrics_;
  gateway_options options_;
  std::unique_ptr<gateway> gateway_;

 private:
  std::uint64_t next_version_ = 1;
  std::thread thread_;
};

}  // namespace bluebell::gateway
