#include "edge/edge_host.h"

#include <fmt/format.h>

#include <random>

#include "edge/digest_exchange.h"
#include "edge/edge_state.h"
#include "edge/pause.h"
#include "edge/placement_runner.h"
#include "edge/request_relay.h"
#include "edge/store_sync.h"
#include "gateway/http_server.h"
#include "gateway/network.h"

namespace bluebell::edge {
namespace {

using gateway::http_server;
using gateway::response_writer;

// A stopping host serves new requests for this long: callers keep an address
// answer for up to three times its lifetime.
constexpr milliseconds kServeWhileStopping{3200};
// The process ends this long before the platform would end it.
constexpr milliseconds kStopMargin{700};
constexpr milliseconds kStopStep{50};
// Bounds the log lines on engines to one a second and engine.
constexpr milliseconds kVerdictInterval{1000};

http_server::error_handler RefuseUnreadable(const request_dialect& dialect) {
  return [&dialect](problem_code code, const std::string&) {
    int status = 400;
    if (code == problem_code::kHeadersTooLarge) status = 431;
    if (code == problem_code::kBodyTooLarge) status = 413;
    if (code == problem_code::kRequestTimeout) status = 408;
    return dialect.OwnAnswer(status, request_id(), std::nullopt);
  };
}

gateway::http_limits ToHttpLimits(const serving::caller_limits& caller) {
  gateway::http_limits limits;
  limits.max_header_bytes = static_cast<std::uint32_t>(caller.max_header_bytes);
  limits.max_body_bytes = caller.max_body_bytes;
  limits.header_timeout = caller.header_timeout;
  limits.idle_timeout = caller.idle_timeout;
  return limits;
}

std::string NewIncarnation() {
  std::random_device source;
  return std::to_string(source()) + "-" + std::to_string(source());
}

// Tells of engines that turn slow or start to fail, and of their recovery.
void LogVerdicts(edge_state& state, boost::asio::yield_context yield) {
  while (true) {
    Pause(state.io, kVerdictInterval, yield);
    for (const auto& change : state.fleet.TakeVerdictChanges()) {
      state.log.Write("engine_judged",
                      {{"engine", change.engine.value()},
                       {"verdict", serving::ToString(change.verdict)},
                       {"pace", fmt::format("{:.2f}", change.pace)},
                       {"failing", fmt::format("{:.2f}", change.failing)}});
    }
  }
}

}  // namespace

struct edge_host::parts {
  parts(boost::asio::io_context& context, clock& source,
        const edge_settings& settings, const request_dialect& dialect,
        deployment_store& store)
      : state(context, source, settings, dialect, store, NewIncarnation(),
              std::random_device()()),
        sync(state) {}

  edge_state state;
  store_sync sync;
  std::unique_ptr<digest_exchange> exchange;
  std::unique_ptr<placement_runner> placement;
  std::unique_ptr<http_server> callers;
  std::unique_ptr<http_server> ready;
  std::unique_ptr<http_server> directory;
  std::unique_ptr<http_server> metrics;
  std::function<void()> on_stopped;
  bool stopping = false;
};

result<std::unique_ptr<edge_host>> edge_host::Create(
    boost::asio::io_context& context, clock& source,
    const edge_settings& settings, const request_dialect& dialect,
    deployment_store& store) {
  auto created =
      std::make_unique<parts>(context, source, settings, dialect, store);
  auto* all = created.get();
  auto exchange = digest_exchange::Create(all->state, all->sync);
  if (!exchange) return tl::unexpected(exchange.error());
  all->exchange = std::move(*exchange);
  all->placement =
      std::make_unique<placement_runner>(all->state, *all->exchange);
  all->state.want_adapter = [all](const serving::adapter_want& want) {
    all->exchange->SendWant(want);
  };

  std::optional<error> failed;
  const auto listen = [&](const std::string& address,
                          gateway::http_limits limits,
                          http_server::handler handler) {
    auto server =
        http_server::Listen(context, address, limits, std::move(handler),
                            RefuseUnreadable(dialect));
    if (!server) {
      failed = server.error();
      return std::unique_ptr<http_server>();
    }
    return std::move(*server);
  };
  all->state.on_config = [all] {
    all->callers->SetLimits(ToHttpLimits(all->state.config->limits));
  };
  all->callers = listen(settings.callers_listen, ToHttpLimits({}),
                        [all](const auto& request, auto& sink, auto yield) {
                          RelayRequest(all->state, request, sink, yield);
                        });
  all->ready = listen(
      settings.ready_listen, {}, [all](const auto&, auto& sink, auto yield) {
        sink.SendResponse(
            all->state.dialect.OwnAnswer(all->state.Serving() ? 200 : 503,
                                         request_id(), std::nullopt),
            yield);
      });
  all->directory =
      listen(settings.directory_listen, {},
             [all](const auto& request, auto& sink, auto yield) {
               const auto& dialect = all->state.dialect;
               const auto question = dialect.ReadAddressQuestion(request);
               if (!question) {
                 sink.SendResponse(
                     dialect.OwnAnswer(404, request_id(), std::nullopt), yield);
                 return;
               }
               const auto addresses = all->state.directory.Addresses(
                   question->zone, all->state.Serving());
               sink.SendResponse(
                   addresses.empty()
                       ? dialect.OwnAnswer(503, request_id(), std::nullopt)
                       : dialect.AddressAnswer(
                             addresses, all->state.settings.directory_lifetime),
                   yield);
             });
  all->metrics = listen(
      settings.metrics_listen, {}, [all](const auto&, auto& sink, auto yield) {
        gateway::http_response answer;
        answer.fields.Add("Content-Type", "text/plain; version=0.0.4");
        answer.body = all->state.metrics.Serialize();
        sink.SendResponse(answer, yield);
      });
  if (failed) return tl::unexpected(*failed);

  gateway::SpawnTask(context, [all](auto y) { all->sync.RunConfig(y); });
  gateway::SpawnTask(context, [all](auto y) { all->sync.RunEngines(y); });
  gateway::SpawnTask(context, [all](auto y) { all->sync.RunFollow(y); });
  gateway::SpawnTask(context, [all](auto y) { all->exchange->RunReceive(y); });
  gateway::SpawnTask(context, [all](auto y) { all->exchange->RunSend(y); });
  gateway::SpawnTask(context, [all](auto y) { all->exchange->RunListing(y); });
  gateway::SpawnTask(context, [all](auto y) { all->placement->RunDuty(y); });
  gateway::SpawnTask(context,
                     [all](auto y) { all->placement->RunPlanning(y); });
  gateway::SpawnTask(context, [all](auto y) { LogVerdicts(all->state, y); });
  all->state.log.Write("host_started", {{"incarnation", all->state.incarnation},
                                        {"zone", settings.zone.value()},
                                        {"callers", settings.callers_listen}});
  return std::unique_ptr<edge_host>(new edge_host(std::move(created)));
}

edge_host::edge_host(std::unique_ptr<parts> created)
    : parts_(std::move(created)) {}

edge_host::~edge_host() = default;

void edge_host::Stop() {
  auto* all = parts_.get();
  if (all->stopping) return;
  all->stopping = true;
  auto& state = all->state;
  const auto begun = state.time.now();
  state.leaving = true;
  state.refuse_from = begun + kServeWhileStopping;
  state.log.Write(
      "host_stopping",
      {{"open_requests", std::to_string(all->callers->open_requests())}});
  all->callers->CloseAfterResponses();
  all->exchange->SendNow();
  gateway::SpawnTask(state.io, [all, begun](auto yield) {
    auto& state = all->state;
    all->placement->Resign(yield);
    const auto removed = state.store.RemoveHost(state.settings.id, yield);
    if (!removed) {
      state.log.Write("host_not_removed", {{"detail", removed.error().detail}});
    }
    const auto last = begun + state.settings.stop_grace - kStopMargin;
    while (state.time.now() < last) {
      const bool served = state.time.now() >= state.refuse_from;
      if (served && all->callers->open_requests() == 0) break;
      Pause(state.io, kStopStep, yield);
    }
    state.log.Write(
        "host_stopped",
        {{"open_requests", std::to_string(all->callers->open_requests())}});
    if (all->on_stopped) all->on_stopped();
  });
}

void edge_host::OnStopped(std::function<void()> callback) {
  parts_->on_stopped = std::move(callback);
}

void edge_host::OnReload() {
  parts_->state.log.Write("reload_requested", {{"applied", "at next start"}});
}

void edge_host::LogUnreadable(const std::string& kind, const std::string& name,
                              const std::string& why) {
  parts_->state.log.Write("object_unreadable",
                          {{"kind", kind}, {"name", name}, {"detail", why}});
}

}  // namespace bluebell::edge
