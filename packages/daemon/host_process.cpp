#include "daemon/host_process.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "admin/admin_service.h"
#include "base/asio_clock.h"
#include "base/digest.h"
#include "base/event_log.h"
#include "config/config_editor.h"
#include "config/config_watcher.h"
#include "config/snapshot.h"
#include "daemon/demand_exchange.h"
#include "daemon/endpoint_list_reader.h"
#include "daemon/quarantine_exchange.h"
#include "fleet/fleet.h"
#include "gateway/admin_listener.h"
#include "gateway/gateway.h"
#include "gateway/http_order_sink.h"
#include "gateway/http_report_source.h"
#include "idempotency/record_deduplicator.h"
#include "limits/admission_factory.h"
#include "peer/websocket_peer_network.h"
#include "placement/controller.h"
#include "routing/endpoint_poller.h"
#include "routing/endpoint_view.h"
#include "routing/queue_scheduler.h"
#include "store/http_object_store.h"

namespace bluebell::daemon {
namespace {

/// Interval at which a draining host checks for open connections.
constexpr std::chrono::milliseconds kDrainPollInterval{50};
/// Idle connections are closed after this time once the drain time is over.
constexpr std::chrono::milliseconds kDrainIdleTimeout{1'000};

}  // namespace

/// The components of a host in the order of their construction. Each may use
/// those above it.
struct host_process::components {
  components(boost::asio::io_context& io, const host_settings& given)
      : context(io), settings(given), time(io), events(time, given.id) {}

  result<void> CreateTransports();
  result<void> CreateFleet();
  void SetPeerAddress(const host_id& peer, const std::string& address);
  result<void> CreateRequestHandling();
  void CreatePlacement();
  result<void> CreateListeners();
  void Start();

  void StartDrain();
  void WaitForRequests();
  void FinishDrain();
  nlohmann::json Status() const;

  boost::asio::io_context& context;
  host_settings settings;
  asio_clock time;
  event_log events;
  config::snapshot rows;
  std::unique_ptr<store::http_object_store> store;
  std::unique_ptr<peer::websocket_peer_network> peers;
  std::unique_ptr<config::config_watcher> watcher;
  std::unique_ptr<fleet::fleet> fleet;
  std::unique_ptr<config::config_editor> editor;
  std::unique_ptr<limits::admission> admission;
  std::unique_ptr<idempotency::record_deduplicator> deduplicator;
  std::unique_ptr<routing::endpoint_view> view;
  std::unique_ptr<gateway::http_report_source> reports;
  std::unique_ptr<routing::endpoint_poller> poller;
  std::unique_ptr<quarantine_exchange> quarantine;
  std::unique_ptr<routing::queue_scheduler> scheduler;
  std::unique_ptr<endpoint_list_reader> list_reader;
  std::unique_ptr<gateway::http_order_sink> order_sink;
  std::unique_ptr<placement::controller> controller;
  std::unique_ptr<demand_exchange> demand;
  gateway::gateway_metrics metrics;
  std::unique_ptr<gateway::gateway> caller_gateway;
  std::unique_ptr<admin::admin_service> admin;
  std::unique_ptr<gateway::admin_listener> admin_listener;
  bool draining = false;
  timer_handle drain_timer;
  std::function<void()> on_drained;
};

result<void> host_process::components::CreateTransports() {
  store::http_store_options options;
  options.addresses = settings.platform_addresses;
  options.call_limit = settings.platform_timeout;
  options.report_unreadable = [this](const std::string& target,
                                     const std::string& detail) {
    events.Record(event_id::kObjectInvalid,
                  {{"object", target}, {"reason", detail}});
  };
  auto created_store = store::http_object_store::Create(context, options);
  if (!created_store) return tl::unexpected(created_store.error());
  store = std::move(*created_store);
  auto created_peers = peer::websocket_peer_network::Create(
      context, time, events, settings.id, settings.peer_listen);
  if (!created_peers) return tl::unexpected(created_peers.error());
  peers = std::move(*created_peers);
  return {};
}

result<void> host_process::components::CreateFleet() {
  watcher = std::make_unique<config::config_watcher>(rows, *store, *peers, time,
                                                     events);
  fleet::fleet_settings given;
  given.self = settings.id;
  given.addresses = {settings.listen, settings.peer_listen,
                     settings.admin_listen, settings.zone};
  given.seeds = settings.seeds;
  fleet::fleet_hooks hooks;
  hooks.config_revision = [this] { return rows.newest(); };
  hooks.load = [this] {
    return caller_gateway
               ? static_cast<double>(caller_gateway->server().open_requests())
               : 0;
  };
  hooks.on_higher_revision = [this](const host_id& peer, revision heard) {
    watcher->OnPeerRevision(peer, heard);
  };
  hooks.on_peer_address = [this](const host_id& peer,
                                 const std::string& address) {
    SetPeerAddress(peer, address);
  };
  auto created = fleet::fleet::Create(given, std::move(hooks), *store, *peers,
                                      time, events);
  if (!created) return tl::unexpected(created.error());
  fleet = std::move(*created);
  return {};
}

void host_process::components::SetPeerAddress(const host_id& peer,
                                              const std::string& address) {
  const auto accepted = peers->SetPeerAddress(peer, address);
  if (!accepted) {
    spdlog::warn("peer {}: {}", peer.value(), accepted.error().detail);
  }
}

result<void> host_process::components::CreateRequestHandling() {
  editor = std::make_unique<config::config_editor>(rows, *store, *peers, *fleet,
                                                   time, events);
  auto created_admission = limits::MakeAdmission(settings.budgets, rows, *store,
                                                 *peers, *fleet, time, events);
  if (!created_admission) return tl::unexpected(created_admission.error());
  admission = std::move(*created_admission);

  auto created_records = idempotency::record_deduplicator::Create(
      {}, *store, *peers, *fleet, time, events);
  if (!created_records) return tl::unexpected(created_records.error());
  deduplicator = std::move(*created_records);

  view = std::make_unique<routing::endpoint_view>(time, rows, &events);
  reports = std::make_unique<gateway::http_report_source>(context);
  poller = std::make_unique<routing::endpoint_poller>(time, *view, *reports);
  quarantine = std::make_unique<quarantine_exchange>(*peers, *fleet);
  routing::scheduler_options options;
  options.chooser = settings.endpoint_choice;
  options.queue = settings.queue;
  options.max_wait = settings.max_queue_wait;
  options.seed = Hash64(fleet->incarnation().value());
  auto created_scheduler = routing::queue_scheduler::Create(
      time, *view, &events, options,
      [this](const std::string& fingerprint, int crashes) {
        quarantine->Broadcast(fingerprint, crashes);
      });
  if (!created_scheduler) return tl::unexpected(created_scheduler.error());
  scheduler = std::move(*created_scheduler);
  quarantine->HandleNotices(*scheduler);
  scheduler->SetPollNow([this](const endpoint_id& id) { poller->PollNow(id); });
  list_reader = std::make_unique<endpoint_list_reader>(*store, *view, time);
  CreatePlacement();
  return {};
}

void host_process::components::CreatePlacement() {
  placement::controller_options options;
  options.planner = settings.placement;
  order_sink = std::make_unique<gateway::http_order_sink>(context);
  controller = std::make_unique<placement::controller>(
      time, rows, *view, *fleet, *store, *order_sink, &events, options);
  demand = std::make_unique<demand_exchange>(*peers, *store, *fleet, *scheduler,
                                             *controller, time);
}

result<void> host_process::components::CreateListeners() {
  gateway::gateway_options options;
  options.listen = settings.listen;
  auto created_callers =
      gateway::gateway::Create({context, time, events, rows, *fleet, *admission,
                                *deduplicator, *scheduler, metrics},
                               options);
  if (!created_callers) return tl::unexpected(created_callers.error());
  caller_gateway = std::move(*created_callers);

  admin = std::make_unique<admin::admin_service>(
      settings.operator_key_digests, *editor, rows, *fleet, events,
      admin::daemon_hooks{[this] { StartDrain(); },
                          [this] { return Status(); }});
  auto created_admin =
      gateway::admin_listener::Create(context, settings.admin_listen, *admin);
  if (!created_admin) return tl::unexpected(created_admin.error());
  admin_listener = std::move(*created_admin);
  return {};
}

void host_process::components::Start() {
  watcher->Start();
  poller->Start();
  list_reader->Start();
  controller->Start();
  demand->Start();
  events.Record(event_id::kHostStarted,
                {{"listen", settings.listen}, {"zone", settings.zone.value()}});
}

nlohmann::json host_process::components::Status() const {
  return {{"waiting_requests", scheduler->waiting()},
          {"requests_at_endpoints", scheduler->in_flight()},
          {"open_requests", caller_gateway->server().open_requests()},
          {"open_connections", caller_gateway->server().open_connections()},
          {"unstored_records", deduplicator->unstored()},
          {"controls_placement", controller->in_control()},
          {"placement_moves", controller->moves()},
          {"draining", draining}};
}

void host_process::components::StartDrain() {
  if (draining) return;
  draining = true;
  events.Record(event_id::kDrainStarted);
  fleet->AnnounceLeaving();
  controller->Stop();
  caller_gateway->server().CloseAfterResponses();
  drain_timer = time.CallAfter(settings.drain_time, [this] {
    caller_gateway->server().StopAccepting(kDrainIdleTimeout);
    WaitForRequests();
  });
}

// Also waits for unstored records: losing one would leave the outcome of its
// request unknown.
void host_process::components::WaitForRequests() {
  const bool idle = caller_gateway->server().open_connections() == 0 &&
                    deduplicator->unstored() == 0;
  if (idle) {
    FinishDrain();
    return;
  }
  drain_timer =
      time.CallAfter(kDrainPollInterval, [this] { WaitForRequests(); });
}

void host_process::components::FinishDrain() {
  events.Record(event_id::kDrainFinished);
  fleet->Release([this] {
    if (on_drained) on_drained();
  });
}

result<std::unique_ptr<host_process>> host_process::Create(
    boost::asio::io_context& context, const host_settings& settings) {
  auto created = std::make_unique<components>(context, settings);
  const auto started =
      created->CreateTransports()
          .and_then([&] { return created->CreateFleet(); })
          .and_then([&] { return created->CreateRequestHandling(); })
          .and_then([&] { return created->CreateListeners(); });
  if (!started) return tl::unexpected(started.error());
  created->Start();
  return std::unique_ptr<host_process>(new host_process(std::move(created)));
}

host_process::host_process(std::unique_ptr<components> created)
    : components_(std::move(created)) {}

host_process::~host_process() = default;

void host_process::Drain() { components_->StartDrain(); }

void host_process::OnDrained(std::function<void()> callback) {
  components_->on_drained = std::move(callback);
}

}  // namespace bluebell::daemon
