#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>

#include "base/clock.h"
#include "edge/change_signal.h"
#include "edge/decision_log.h"
#include "edge/deployment_store.h"
#include "edge/edge_metrics.h"
#include "edge/edge_settings.h"
#include "edge/engine_connections.h"
#include "edge/request_dialect.h"
#include "routing/quarantine.h"
#include "serving/demand_average.h"
#include "serving/engine_fleet.h"
#include "serving/host_directory.h"
#include "serving/key_freshness.h"
#include "serving/placement_lease.h"
#include "serving/service_retry_budget.h"
#include "serving/serving_config.h"
#include "serving/shared_quota.h"

namespace bluebell::edge {

/// What the parts of one entry host share. All of it is in memory only.
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
        connections(context, source),
        log(source, settings.id),
        fleet(source, settings.zone, seed),
        quota(source, seed),
        retries(source, settings.retries),
        freshness(source, settings.key_withdrawal),
        directory(source, settings.id, settings.zone, settings.callers_listen,
                  settings.capacity),
        demand(source, kDemandSpan),
        duty(source, settings.id, incarnation, settings.placement_pause),
        crashes(source, kCrashMemory, [](const std::string&, int) {}) {}

  /// A request that crashes engines is refused for this long.
  static constexpr std::chrono::seconds kCrashMemory{60};

  /// Demand moves to other models within seconds.
  static constexpr std::chrono::milliseconds kDemandSpan{1500};

  /// Callers may be sent here: there is a configuration that is known to be
  /// current, and the host is not stopping.
  bool Serving() const {
    return config != nullptr && !leaving && freshness.AllowsKeys() &&
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

  /// Null until the store has answered once.
  std::shared_ptr<const serving::serving_config> config;
  bool leaving = false;
  /// New requests are refused from here on.
  clock::time_point refuse_from = clock::time_point::max();
  /// The last call to the store that failed.
  clock::time_point store_failed_at;
  /// Adapters that requests wait for, told to the placement holder at once.
  std::function<void(const serving::adapter_request&)> want_adapter;

  change_signal changed;
  engine_connections connections;
  decision_log log;
  edge_metrics metrics;
  serving::engine_fleet fleet;
  serving::shared_quota quota;
  serving::service_retry_budget retries;
  serving::key_freshness freshness;
  serving::host_directory directory;
  serving::demand_average demand;
  serving::placement_lease duty;
  routing::quarantine crashes;
  /// Called when another version of the configuration is in force.
  std::function<void()> on_config;
};

}  // namespace bluebell::edge
