#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "edge/deployment_store.h"
#include "edge/edge_settings.h"
#include "edge/request_dialect.h"
#include "gateway/endpoint_connection.h"

namespace bluebell::edge {

/// One entry host on a hosted platform; all components share one event loop.
class edge_host {
 public:
  /// Starts the listeners and the store reads. `dialect` and `store` must
  /// outlive the host. Error `kUnavailable`: a configured address cannot be
  /// bound.
  static result<std::unique_ptr<edge_host>> Create(
      boost::asio::io_context& context, clock& source,
      const edge_settings& settings, const request_dialect& dialect,
      deployment_store& store);
  ~edge_host();

  /// Port for callers; differs from the configured one if that was 0.
  std::uint16_t callers_port() const;
  /// Starts a graceful stop: callers are directed to other hosts, new requests
  /// are accepted for a few seconds if they can end before the process, and
  /// open ones run to completion.
  /// Calls after the first have no effect.
  void Stop();
  /// Sets a function that is called once when the stop has completed.
  void OnStopped(std::function<void()> callback);
  /// Logs a reload request; changed settings apply at the next start.
  void OnReload();
  /// Logs an exception that left a handler of the event loop.
  void LogHandlerFailure(const std::string& detail);
  /// Logs a store object that cannot be parsed.
  void LogUnreadable(const std::string& kind, const std::string& name,
                     const std::string& why);
  /// Logs that the store's list of a kind can no longer be read to its end, or,
  /// without a `cause`, that it can again.
  void LogListEnd(const std::string& kind, const std::string& cause);
  /// Logs that another configuration has arrived: its size, the time since its
  /// read was sent, and that of decoding it.
  void LogConfigRead(std::size_t bytes, clock::duration transfer,
                     clock::duration decoding);
  /// Logs and counts a connection to the store that was cut off.
  void ReportStoreCutOff(gateway::excess cause);

 private:
  struct impl;
  explicit edge_host(std::unique_ptr<impl> created);

  std::unique_ptr<impl> impl_;
};

}  // namespace bluebell::edge
