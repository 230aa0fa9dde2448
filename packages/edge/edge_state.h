#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "base/byte_budget.h"
#include "base/clock.h"
#include "edge/change_signal.h"
#include "edge/decision_log.h"
#include "edge/deployment_store.h"
#include "edge/edge_metrics.h"
#include "edge/edge_settings.h"
#include "edge/engine_connections.h"
#include "edge/engine_records.h"
#include "edge/request_dialect.h"
#include "serving/brittle_services.h"
#include "serving/config_freshness.h"
#include "serving/demand_average.h"
#include "serving/engine_fleet.h"
#include "serving/engine_limits.h"
#include "serving/engine_pace.h"
#include "serving/engine_reach.h"
#include "serving/host_directory.h"
#include "serving/part_quarantine.h"
#include "serving/placement_lease.h"
#include "serving/request_quarantine.h"
#include "serving/service_retry_budget.h"
#include "serving/serving_config.h"
#include "serving/shared_quota.h"
#include "serving/stop_admission.h"
#include "serving/store_contact.h"
#include "serving/stream_versions.h"
#include "serving/zone_evacuations.h"

namespace bluebell::edge {

class relayed_request;
class room_lease;

/// State shared by the components of one entry host. None of it is
/// persisted, except for quarantined prompt parts (`quarantine_sync`).
struct edge_state {
  edge_state(boost::asio::io_context& context, clock& source,
             edge_settings values, const request_dialect& wire,
             deployment_store& platform, std::string own_incarnation,
             std::uint64_t seed)
      : io(context),
        time(source),
        settings(std::move(values)),
        dialect(wire),
        store(platform),
        incarnation(std::move(own_incarnation)),
        started(source.now()),
        random(seed),
        changed(context),
        versions_changed(context),
        connections(context, source),
        memory(std::make_shared<byte_budget>(settings.held_bytes)),
        log(source, settings.id),
        store_contact(source),
        evacuations(source, settings.evacuation),
        fleet(source, settings.zone, seed, evacuations),
        versions(source, incarnation),
        records(source, log, metrics, fleet, versions, changed),
        reach(source),
        limits(source),
        pace(source),
        brittle(source),
        quota(source, seed),
        retries(source, settings.retries),
        freshness(source, {settings.key_withdrawal, settings.config_change}),
        directory(source, settings.id, settings.zone, settings.callers_listen,
                  settings.capacity),
        demand(source, kDemandWindow),
        placement_lease(source, settings.id, incarnation,
                        settings.placement_pause),
        stop(source),
        crashes(source),
        parts(source, seed) {}

  /// Demand shifts between models within seconds.
  static constexpr std::chrono::milliseconds kDemandWindow{1500};

  /// Whether callers may be directed to this host: it has engines and a
  /// configuration known to be current, and is not stopping.
  bool Serving() const {
    return config != nullptr && !leaving && freshness.AllowsKeys() &&
           freshness.AllowsRequests() && evacuations.known() &&
           !fleet.engines().empty();
  }

  boost::asio::io_context& io;
  clock& time;
  const edge_settings settings;
  const request_dialect& dialect;
  deployment_store& store;
  const std::string incarnation;
  const clock::time_point started;
  std::mt19937_64 random;

  /// Null until the first successful read from the store.
  std::shared_ptr<const serving::serving_config> config;
  bool leaving = false;
  /// Requests received from callers since the start.
  std::uint64_t requests_received = 0;
  /// An unknown host makes itself known: the store's list is read again.
  bool list_hosts_again = false;
  /// Requests that are being served.
  std::set<relayed_request*> open_requests;
  /// Highest known era of the store (`deployment_store::Era`), from this host's
  /// reads or the store reader that it follows; none before the first response.
  std::optional<std::uint64_t> store_era;
  /// Asks the placement lease holder for an adapter that a request waits for.
  std::function<void(const serving::adapter_request&)> request_adapter;

  /// Requests a permit from an engine's permit owner; not set if this host is
  /// the only one.
  std::function<serving::send_permit(const endpoint_id&,
                                     boost::asio::yield_context)>
      ask_permit;

  /// Gets room for a request at an engine of a brittle service.
  std::function<std::unique_ptr<room_lease>(const endpoint_id&, int urgency,
                                            clock::duration wait,
                                            boost::asio::yield_context)>
      take_room;

  /// Asks the other hosts where the stream of an attempt began.
  std::function<void(const request_id&)> ask_start;

  change_signal changed;
  /// Something in `versions` has changed or is asked for.
  change_signal versions_changed;
  engine_connections connections;
  /// Requests and answers that are held at once.
  std::shared_ptr<byte_budget> memory;
  decision_log log;
  edge_metrics metrics;
  serving::store_contact store_contact;
  serving::zone_evacuations evacuations;
  serving::engine_fleet fleet;
  serving::stream_versions versions;
  engine_records records;
  serving::engine_reach reach;
  serving::engine_limits limits;
  /// Engines of which it was logged that they state an unusable cold time.
  std::set<endpoint_id> unusable_cold_times;
  serving::engine_pace pace;
  serving::brittle_services brittle;
  serving::shared_quota quota;
  serving::service_retry_budget retries;
  serving::config_freshness freshness;
  serving::host_directory directory;
  serving::demand_average demand;
  serving::placement_lease placement_lease;
  serving::stop_admission stop;
  serving::request_quarantine crashes;
  serving::part_quarantine parts;
  /// Called when a new configuration takes effect.
  std::function<void()> on_config;
};

}  // namespace bluebell::edge
