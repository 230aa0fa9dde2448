#include "edge/edge_host.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <utility>

#include "edge/digest_exchange.h"
#include "edge/edge_state.h"
#include "edge/engine_prober.h"
#include "edge/pause.h"
#include "edge/peer_cut_off.h"
#include "edge/placement_runner.h"
#include "edge/quarantine_sync.h"
#include "edge/request_relay.h"
#include "edge/room_exchange.h"
#include "edge/start_exchange.h"
#include "edge/store_sync.h"
#include "edge/version_sync.h"
#include "gateway/http_server.h"
#include "gateway/network.h"

namespace bluebell::edge {
namespace {

using gateway::http_server;
using gateway::response_writer;

// The process exits this long before the platform would kill it.
constexpr milliseconds kStopMargin{700};
constexpr milliseconds kStopPollInterval{50};
// Maximum time before the exit in which the answers to requests that are still
// open are sent.
constexpr milliseconds kLastAnswersPeriod{400};
// The process ends this long after the last answers were due, also if a task of
// the stop has failed.
constexpr milliseconds kStopTimerMargin{100};
// The process ends after this long without a new request, or this long after
// the last one that is accepted: callers may go on to be refused.
constexpr milliseconds kQuietPeriod{200};
constexpr milliseconds kMaxQuietWait{1000};
// Limits these log lines to one per second and engine or part.
constexpr milliseconds kChangeLogInterval{1000};
// Requests to the listeners of the platform have no body.
constexpr std::uint64_t kMaxLocalBodyBytes = 4096;
// A loop that fails again and again must not take the processor.
constexpr milliseconds kTaskRestartDelay{500};

// Shares of the descriptors of the process that the listeners may use. The rest
// is for engines, the store, other hosts and files.
constexpr std::size_t kCallerShare = 2;
constexpr std::size_t kForwardShare = 8;
constexpr std::size_t kDirectoryShare = 16;
constexpr std::size_t kReadyShare = 32;
constexpr std::size_t kMetricsShare = 32;

std::size_t DescriptorShare(std::size_t share) {
  return std::max<std::size_t>(gateway::DescriptorLimit() / share, 1);
}

http_server::error_handler RejectMalformed(edge_state& host) {
  return [&host](problem_code code, const std::string& detail) {
    if (code == problem_code::kInternalError) {
      host.log.Write("request_failed", {{"detail", detail}});
    }
    int status = 400;
    if (code == problem_code::kHeadersTooLarge) status = 431;
    if (code == problem_code::kBodyTooLarge) status = 413;
    if (code == problem_code::kRequestTimeout) status = 408;
    if (code == problem_code::kNotReady) status = 503;
    if (code == problem_code::kInternalError) status = 502;
    return host.dialect.LocalAnswer(status, request_id(), std::nullopt);
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

// The fields that carry a forwarded call come on top of the caller's.
gateway::http_limits ToForwardLimits(gateway::http_limits limits) {
  constexpr std::uint32_t kForwardFieldBytes = 4096;
  limits.max_header_bytes += kForwardFieldBytes;
  return limits;
}

// Runs `loop`, which never ends, and begins it again after an exception.
void SpawnLoop(edge_state& host, const char* name,
               std::function<void(boost::asio::yield_context)> loop) {
  gateway::SpawnTask(host.io, [&host, name, loop = std::move(loop)](
                                  boost::asio::yield_context yield) {
    while (true) {
      try {
        return loop(yield);
      } catch (const std::exception& failure) {
        host.log.Write("task_failed",
                       {{"task", name}, {"detail", failure.what()}});
      }
      Pause(host.io, kTaskRestartDelay, yield);
    }
  });
}

std::string NewIncarnation() {
  std::random_device source;
  return std::to_string(source()) + "-" + std::to_string(source());
}

// Reports a connection of a caller or another host that was closed for the size
// of a request.
void LogRequestCutOff(edge_state& state, const char* kind,
                      const gateway::connection_status& last) {
  if (!last.cut_off) return;
  auto cause = gateway::excess::kMemory;
  if (*last.cut_off == problem_code::kHeadersTooLarge) {
    cause = gateway::excess::kUnparsed;
  }
  if (*last.cut_off == problem_code::kBodyTooLarge) {
    cause = gateway::excess::kBody;
  }
  ReportCutOff(state, kind, last.peer, cause);
}

// While the host stops, logs each caller's connection that ends; before that
// only those that end within a request or with unread bytes.
void LogConnectionEnd(edge_state& state,
                      const gateway::connection_status& last) {
  const bool within_request =
      last.phase == gateway::connection_phase::kReading ||
      last.phase == gateway::connection_phase::kServing;
  const auto stop = state.stop.begun();
  if (!stop && !within_request && !last.unread) return;
  state.log.Write(
      "connection_end",
      {{"connection", std::to_string(last.position.connection)},
       {"requests", std::to_string(last.position.requests)},
       {"phase", ToString(last.phase)},
       {"cause", ToString(last.cause)},
       {"detail", last.detail},
       {"request", last.request
                       ? state.dialect.ReadRequest(*last.request).id.value()
                       : ""},
       {"unread", last.unread ? "yes" : "no"},
       {"stop_ms", stop ? MillisecondText(state.time.now() - *stop) : ""}});
}

// Counts what happens to the connections of a listener, and logs at most once a
// second how many were refused or closed to make room.
class connection_counts {
 public:
  connection_counts(edge_state& state, std::string listener)
      : state_(state), listener_(std::move(listener)) {}

  void OnEnd(const gateway::connection_status& last) {
    state_.metrics.Count("connection_end_" + std::string(ToString(last.cause)));
    if (last.cause == gateway::connection_cause::kMadeRoom) {
      Add(ToString(last.cause), "");
    }
  }
  void OnRefusal(gateway::refusal reason, const std::string& detail) {
    state_.metrics.Count("connection_refused_" + std::string(ToString(reason)));
    Add(ToString(reason), detail);
  }
  void Log() {
    for (const auto& [cause, noted] : noted_) {
      state_.log.Write("connections_refused",
                       {{"listener", listener_},
                        {"cause", cause},
                        {"count", std::to_string(noted.count)},
                        {"detail", noted.detail}});
    }
    noted_.clear();
  }

 private:
  struct notes {
    int count = 0;
    std::string detail;
  };

  void Add(const std::string& cause, const std::string& detail) {
    auto& noted = noted_[cause];
    ++noted.count;
    noted.detail = detail;
  }

  edge_state& state_;
  std::string listener_;
  std::map<std::string, notes> noted_;
};

// Logs the connections that are open when the process ends.
void LogOpenConnections(edge_state& state, const http_server& callers) {
  std::map<gateway::connection_phase, int> counts;
  for (const auto& open : callers.Connections()) {
    ++counts[open.phase];
    if (open.phase == gateway::connection_phase::kIdle) continue;
    LogConnectionEnd(state, open);
  }
  using gateway::connection_phase;
  state.log.Write(
      "host_stopped",
      {{"open_requests", std::to_string(callers.open_requests())},
       {"idle", std::to_string(counts[connection_phase::kIdle])},
       {"reading", std::to_string(counts[connection_phase::kReading])},
       {"serving", std::to_string(counts[connection_phase::kServing])},
       {"closing", std::to_string(counts[connection_phase::kClosing])}});
}

// Whether a caller sends a request or still receives an answer.
bool HasActiveConnection(const http_server& callers) {
  const auto open = callers.Connections();
  return std::any_of(open.begin(), open.end(), [](const auto& status) {
    return status.phase != gateway::connection_phase::kIdle;
  });
}

// Logs refused connections, engines that become slow or start to fail, their
// recovery, shares of requests to other zones, and prompt parts that are
// quarantined; these are stored.
void LogChanges(edge_state& state, quarantine_sync& quarantine,
                std::list<connection_counts>& connections,
                boost::asio::yield_context yield) {
  while (true) {
    Pause(state.io, kChangeLogInterval, yield);
    for (auto& counts : connections) counts.Log();
    for (const auto& change : state.fleet.TakeHealthChanges()) {
      state.log.Write("engine_judged",
                      {{"engine", change.engine.value()},
                       {"verdict", serving::ToString(change.health)},
                       {"pace", fmt::format("{:.2f}", change.step_time_ratio)},
                       {"failing", fmt::format("{:.2f}", change.error_rate)}});
    }
    for (const auto& change : state.fleet.TakeShareChanges()) {
      state.log.Write("zone_share",
                      {{"service", change.service.value()},
                       {"model", change.model.value()},
                       {"share", fmt::format("{:.2f}", change.share)}});
    }
    state.metrics.SetGauge("zone_share_largest",
                           state.fleet.LargestZoneShare());
    for (const auto& part : state.parts.TakeQuarantined()) {
      state.log.Write("part_quarantined", {{"part", part.value()}});
      quarantine.OnQuarantined(part);
    }
    for (const auto& request : state.crashes.TakeQuarantined()) {
      state.log.Write("request_quarantined", {{"fingerprint", request}});
      quarantine.OnRequestQuarantined(request);
    }
  }
}

}  // namespace

struct edge_host::impl {
  impl(boost::asio::io_context& context, clock& source,
       const edge_settings& settings, const request_dialect& dialect,
       deployment_store& store)
      : state(context, source, settings, dialect, store, NewIncarnation(),
              std::random_device()()),
        sync(state),
        quarantine(state),
        versions(state),
        starts(state),
        room(state),
        prober(state) {}

  std::size_t OpenRequests() const {
    return callers->open_requests() + forwards->open_requests();
  }

  edge_state state;
  store_sync sync;
  quarantine_sync quarantine;
  version_sync versions;
  start_exchange starts;
  room_exchange room;
  engine_prober prober;
  std::unique_ptr<digest_exchange> exchange;
  std::unique_ptr<placement_runner> placement;
  std::unique_ptr<http_server> callers;
  std::unique_ptr<http_server> forwards;
  std::unique_ptr<http_server> ready;
  std::unique_ptr<http_server> directory;
  std::unique_ptr<http_server> metrics;
  /// Of each listener; addresses are stable.
  std::list<connection_counts> counts;
  std::function<void()> on_stopped;
  bool stopping = false;
  timer_handle stop_timer;
  /// The placement lease and the entry in the store's list are given up.
  bool signed_off = false;
};

result<std::unique_ptr<edge_host>> edge_host::Create(
    boost::asio::io_context& context, clock& source,
    const edge_settings& settings, const request_dialect& dialect,
    deployment_store& store) {
  auto created =
      std::make_unique<impl>(context, source, settings, dialect, store);
  auto* host = created.get();
  auto exchange = digest_exchange::Create(host->state, host->sync, host->starts,
                                          host->room);
  if (!exchange) return tl::unexpected(exchange.error());
  host->exchange = std::move(*exchange);
  host->placement =
      std::make_unique<placement_runner>(host->state, *host->exchange);
  host->state.request_adapter =
      [host](const serving::adapter_request& request) {
        host->exchange->SendAdapterRequest(request);
      };
  host->state.ask_permit = [host](const endpoint_id& engine, auto yield) {
    return host->exchange->AskPermit(engine, yield);
  };
  host->state.take_room = [host](const endpoint_id& engine, int urgency,
                                 clock::duration wait, auto yield) {
    return host->room.Take(engine, urgency, wait, yield);
  };
  host->state.ask_start = [host](const request_id& attempt) {
    host->starts.Ask(attempt);
  };

  using end_handler = std::function<void(const gateway::connection_status&)>;
  std::optional<error> failed;
  const auto listen = [&](const char* name, const std::string& address,
                          std::size_t share, gateway::http_limits limits,
                          http_server::handler handler,
                          end_handler on_end = nullptr) {
    limits.max_connections = DescriptorShare(share);
    auto server =
        http_server::Listen(context, address, limits, std::move(handler),
                            RejectMalformed(host->state));
    if (!server) {
      failed = server.error();
      return std::unique_ptr<http_server>();
    }
    auto& counts = host->counts.emplace_back(host->state, name);
    (*server)->OnConnectionEnd([&counts, on_end](const auto& last) {
      counts.OnEnd(last);
      if (on_end) on_end(last);
    });
    (*server)->OnRefusal([&counts](auto reason, const auto& detail) {
      counts.OnRefusal(reason, detail);
    });
    return std::move(*server);
  };
  host->state.on_config = [host] {
    if (host->state.settings.prefer_own_zone) {
      for (const auto& service : host->state.config->services) {
        host->state.fleet.SetPrefersOwnZone(service.id, true);
      }
    }
    auto limits = ToHttpLimits(host->state.config->limits);
    limits.memory = host->state.memory;
    limits.max_connections = DescriptorShare(kCallerShare);
    host->callers->SetLimits(limits);
    limits.max_connections = DescriptorShare(kForwardShare);
    host->forwards->SetLimits(ToForwardLimits(limits));
  };
  // The platform's own calls do not depend on what callers hold.
  gateway::http_limits local;
  local.max_body_bytes = kMaxLocalBodyBytes;
  auto shared = ToHttpLimits({});
  shared.memory = host->state.memory;
  host->callers = listen(
      "callers", settings.callers_listen, kCallerShare, shared,
      [host](const auto& request, auto& sink, auto yield) {
        RelayRequest(host->state, request, sink, yield);
      },
      [host](const auto& last) {
        LogRequestCutOff(host->state, "caller", last);
        LogConnectionEnd(host->state, last);
      });
  host->forwards = listen(
      "forwards", settings.forwards_listen, kForwardShare,
      ToForwardLimits(shared),
      [host](const auto& request, auto& sink, auto yield) {
        RelayForwarded(host->state, request, sink, yield);
      },
      [host](const auto& last) {
        LogRequestCutOff(host->state, "host", last);
      });
  host->ready = listen(
      "ready", settings.ready_listen, kReadyShare, local,
      [host](const auto&, auto& sink, auto yield) {
        sink.SendResponse(
            host->state.dialect.LocalAnswer(host->state.Serving() ? 200 : 503,
                                            request_id(), std::nullopt),
            yield);
      });
  host->directory = listen(
      "directory", settings.directory_listen, kDirectoryShare, local,
      [host](const auto& request, auto& sink, auto yield) {
        const auto& dialect = host->state.dialect;
        const auto query = dialect.ReadAddressQuery(request);
        if (!query) {
          sink.SendResponse(
              dialect.LocalAnswer(404, request_id(), std::nullopt), yield);
          return;
        }
        const auto addresses = host->state.directory.Addresses(
            query->zone, host->state.Serving(), !host->state.reach.lost());
        sink.SendResponse(
            addresses.empty()
                ? dialect.LocalAnswer(503, request_id(), std::nullopt)
                : dialect.AddressAnswer(
                      addresses, host->state.settings.directory_lifetime),
            yield);
      });
  host->metrics =
      listen("metrics", settings.metrics_listen, kMetricsShare, local,
             [host](const auto&, auto& sink, auto yield) {
               host->state.metrics.SetGauge(
                   "log_lines_dropped",
                   static_cast<double>(host->state.log.dropped()));
               gateway::http_response answer;
               answer.fields.Add("Content-Type", "text/plain; version=0.0.4");
               answer.body = host->state.metrics.Serialize();
               sink.SendResponse(answer, yield);
             });
  if (failed) return tl::unexpected(*failed);

  SpawnLoop(host->state, "config",
            [host](auto yield) { host->sync.RunConfig(yield); });
  SpawnLoop(host->state, "engines",
            [host](auto yield) { host->sync.RunEngines(yield); });
  SpawnLoop(host->state, "follow",
            [host](auto yield) { host->sync.RunFollow(yield); });
  SpawnLoop(host->state, "receive",
            [host](auto yield) { host->exchange->RunReceive(yield); });
  SpawnLoop(host->state, "send",
            [host](auto yield) { host->exchange->RunSend(yield); });
  SpawnLoop(host->state, "hosts",
            [host](auto yield) { host->exchange->RunHostListing(yield); });
  SpawnLoop(host->state, "lease",
            [host](auto yield) { host->placement->RunLease(yield); });
  SpawnLoop(host->state, "planning",
            [host](auto yield) { host->placement->RunPlanning(yield); });
  SpawnLoop(host->state, "quarantine",
            [host](auto yield) { host->quarantine.Run(yield); });
  SpawnLoop(host->state, "tables",
            [host](auto yield) { host->versions.RunTables(yield); });
  SpawnLoop(host->state, "starts",
            [host](auto yield) { host->versions.RunStarts(yield); });
  SpawnLoop(host->state, "start_exchange",
            [host](auto yield) { host->starts.Run(yield); });
  SpawnLoop(host->state, "room", [host](auto yield) { host->room.Run(yield); });
  SpawnLoop(host->state, "prober",
            [host](auto yield) { host->prober.Run(yield); });
  SpawnLoop(host->state, "changes", [host](auto yield) {
    LogChanges(host->state, host->quarantine, host->counts, yield);
  });
  host->state.log.Write("host_started",
                        {{"incarnation", host->state.incarnation},
                         {"zone", settings.zone.value()},
                         {"callers", settings.callers_listen}});
  return std::unique_ptr<edge_host>(new edge_host(std::move(created)));
}

edge_host::edge_host(std::unique_ptr<impl> created)
    : impl_(std::move(created)) {}

edge_host::~edge_host() = default;

std::uint16_t edge_host::callers_port() const { return impl_->callers->port(); }

void edge_host::Stop() {
  auto* host = impl_.get();
  if (host->stopping) return;
  auto& state = host->state;
  const auto begun = state.time.now();
  const auto last = begun + state.settings.stop_grace - kStopMargin;
  // Ends the process even if a task below fails.
  host->stop_timer = state.time.CallAfter(
      last - begun + kLastAnswersPeriod + kStopTimerMargin, [host] {
        if (host->on_stopped) host->on_stopped();
      });
  host->stopping = true;
  state.leaving = true;
  state.stop.Begin(last);
  state.log.Write(
      "host_stopping",
      {{"open_requests", std::to_string(host->callers->open_requests())}});
  host->callers->CloseAfterResponses();
  host->forwards->CloseAfterResponses();
  host->exchange->SendToEveryHost();
  const auto accepts_until = begun + serving::stop_admission::kAcceptPeriod;
  gateway::SpawnTask(state.io, [host](auto yield) {
    auto& state = host->state;
    host->placement->Resign(yield);
    const auto removed = state.store.RemoveHost(state.settings.id, yield);
    if (!removed) {
      state.log.Write("host_not_removed", {{"detail", removed.error().detail}});
    }
    host->signed_off = true;
  });
  gateway::SpawnTask(state.io, [host, accepts_until, last](auto yield) {
    auto& state = host->state;
    auto received = state.requests_received;
    auto active_at = state.time.now();
    while (state.time.now() < last) {
      const auto now = state.time.now();
      if (host->OpenRequests() > 0 || HasActiveConnection(*host->callers) ||
          state.requests_received != received) {
        received = state.requests_received;
        active_at = now;
      }
      const bool quiet = now - active_at >= kQuietPeriod ||
                         now >= accepts_until + kMaxQuietWait;
      if (now >= accepts_until && host->signed_off &&
          host->OpenRequests() == 0 && quiet) {
        break;
      }
      Pause(state.io, kStopPollInterval, yield);
    }
    // An engine may not have begun to answer; its caller learns that the answer
    // is lost instead of waiting on a closed connection.
    EndOpenRequests(state);
    const auto exit = state.time.now() + kLastAnswersPeriod;
    while ((host->OpenRequests() > 0 || HasActiveConnection(*host->callers) ||
            HasActiveConnection(*host->forwards)) &&
           state.time.now() < exit) {
      Pause(state.io, kStopPollInterval, yield);
    }
    LogOpenConnections(state, *host->callers);
    if (host->on_stopped) host->on_stopped();
  });
}

void edge_host::OnStopped(std::function<void()> callback) {
  impl_->on_stopped = std::move(callback);
}

void edge_host::OnReload() {
  impl_->state.log.Write("reload_requested", {{"applied", "at next start"}});
}

void edge_host::LogHandlerFailure(const std::string& detail) {
  impl_->state.log.Write("handler_failed", {{"detail", detail}});
}

void edge_host::LogUnreadable(const std::string& kind, const std::string& name,
                              const std::string& why) {
  impl_->state.log.Write("object_unreadable",
                         {{"kind", kind}, {"name", name}, {"detail", why}});
}

void edge_host::LogListEnd(const std::string& kind, const std::string& cause) {
  const bool whole = cause.empty();
  impl_->state.log.Write(whole ? "list_complete" : "list_incomplete",
                         {{"kind", kind}, {"detail", cause}});
}

void edge_host::LogConfigRead(std::size_t bytes, clock::duration transfer,
                              clock::duration decoding) {
  impl_->state.log.Write("config_read",
                         {{"bytes", std::to_string(bytes)},
                          {"transfer_ms", MillisecondText(transfer)},
                          {"decoding_ms", MillisecondText(decoding)}});
}

void edge_host::ReportStoreCutOff(gateway::excess cause) {
  ReportCutOff(impl_->state, "store", impl_->state.settings.store_address,
               cause);
}

}  // namespace bluebell::edge
