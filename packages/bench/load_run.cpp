#include "bench/load_run.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <memory>

#include "base/nested_json.h"
#include "gateway/endpoint_connection.h"
#include "gateway/event_stream.h"
#include "gateway/network.h"

namespace bluebell::bench {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kConnectTime{2'000};
constexpr milliseconds kAnswerTime{40'000};
constexpr std::size_t kProblemBytes = 64 * 1024;
constexpr int kHttpOk = 200;
constexpr double kBytesPerToken = 4;

double SecondsSince(steady::time_point start) {
  return std::chrono::duration<double>(steady::now() - start).count();
}

// The run's state, used by one coroutine per request.
class load_run {
 public:
  load_run(const load_plan& plan, double phase_s)
      : plan_(plan),
        phase_s_(phase_s),
        phases_(static_cast<std::size_t>(plan.duration_s / phase_s) + 1) {
    for (const auto& account : plan.accounts) {
      buckets_.emplace_back(account.rate, account.burst);
    }
  }

  void Run(double drain_s) {
    start_ = steady::now();
    gateway::SpawnTask(context_, [this](auto yield) { Arrive(yield); });
    context_.run_for(std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(plan_.duration_s + drain_s)));
  }

  std::vector<std::map<std::string, account_result>> take_phases() {
    return std::move(phases_);
  }

 private:
  void Arrive(boost::asio::yield_context yield) {
    boost::asio::steady_timer timer(context_);
    for (const auto& request : MakeRequests(plan_)) {
      timer.expires_at(start_ +
                       std::chrono::duration_cast<steady::duration>(
                           std::chrono::duration<double>(request.at_s)));
      boost::system::error_code ignored;
      timer.async_wait(yield[ignored]);
      gateway::SpawnTask(context_, [this, request](auto inner) {
        Finish(request, Send(request, inner));
      });
    }
  }

  void Finish(const planned_request& request, const request_outcome& outcome) {
    const auto phase = static_cast<std::size_t>(request.at_s / phase_s_);
    const std::string& name = plan_.accounts[request.account].account;
    phases_[std::min(phase, phases_.size() - 1)][name].Add(outcome);
  }

  gateway::http_request ToHttp(const planned_request& request) const {
    const account_plan& account = plan_.accounts[request.account];
    std::string prompt = std::to_string(request.prompt_seed % 64) + " ";
    prompt.resize(static_cast<std::size_t>(account.prompt_bytes), 'p');
    gateway::http_request message;
    message.method = "POST";
    message.path = "/v1/completions";
    message.fields.Add("Host", plan_.hosts[request.host]);
    message.fields.Add("Authorization", "Bearer " + account.key);
    message.fields.Add("Content-Type", "application/json");
    message.body = nlohmann::json{
        {"model", request.target},
        {"prompt", prompt},
        {"max_tokens", request.max_tokens},
        {"stream",
         true}}.dump();
    return message;
  }

  // Callers try the other hosts if one does not accept connections.
  std::unique_ptr<gateway::endpoint_connection> Connect(
      const planned_request& request, boost::asio::yield_context yield) {
    for (std::size_t i = 0; i < plan_.hosts.size(); ++i) {
      const auto& address =
          plan_.hosts[(request.host + i) % plan_.hosts.size()];
      auto opened = gateway::endpoint_connection::Connect(context_, address,
                                                          kConnectTime, yield);
      if (opened) return std::move(*opened);
    }
    return nullptr;
  }

  request_outcome Send(const planned_request& request,
                       boost::asio::yield_context yield) {
    const account_plan& account = plan_.accounts[request.account];
    const double cost =
        std::ceil(account.prompt_bytes / kBytesPerToken) + request.max_tokens;
    reference_bucket& bucket = buckets_[request.account];
    const auto sent_at = steady::now();
    const bool admissible = bucket.WouldAdmit(SecondsSince(start_), cost);
    if (admissible) bucket.Charge(SecondsSince(start_), cost);

    request_outcome outcome;
    outcome.admissible = admissible;
    const auto connection = Connect(request, yield);
    if (!connection || !connection->Send(ToHttp(request), kAnswerTime, yield)) {
      return outcome;
    }
    const auto head = connection->ReadHead(kAnswerTime, yield);
    if (!head) return outcome;
    outcome.status = head->status;
    if (head->status == kHttpOk) {
      TakeStream(*connection, sent_at, outcome, yield);
      return outcome;
    }
    const auto body = connection->ReadBody(kProblemBytes, kAnswerTime, yield);
    if (body) {
      const auto problem = ParseJson(*body);
      if (problem.is_object()) outcome.code = problem.value("code", "");
    }
    return outcome;
  }

  void TakeStream(gateway::endpoint_connection& connection,
                  steady::time_point sent_at, request_outcome& outcome,
                  boost::asio::yield_context yield) {
    gateway::event_stream_parser parser;
    double last_s = 0;
    while (true) {
      const auto part = connection.ReadSome(kAnswerTime, yield);
      if (!part || part->empty()) return;
      for (const auto& data : parser.Feed(*part)) {
        if (data == gateway::kStreamEnd) {
          outcome.complete = true;
          if (outcome.tokens > 1) {
            outcome.token_gap_s =
                (last_s - outcome.first_token_s) / (outcome.tokens - 1);
          }
          return;
        }
        last_s = SecondsSince(sent_at);
        if (outcome.tokens++ == 0) outcome.first_token_s = last_s;
      }
    }
  }

  const load_plan& plan_;
  double phase_s_;
  boost::asio::io_context context_;
  steady::time_point start_;
  std::vector<reference_bucket> buckets_;
  std::vector<std::map<std::string, account_result>> phases_;
};

}  // namespace

std::vector<std::map<std::string, account_result>> RunLoad(
    const load_plan& plan, double phase_s, double drain_s) {
  load_run run(plan, phase_s);
  run.Run(drain_s);
  return run.take_phases();
}

}  // namespace bluebell::bench
