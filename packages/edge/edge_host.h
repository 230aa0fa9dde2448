#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/result.h"
#include "edge/deployment_store.h"
#include "edge/edge_settings.h"
#include "edge/request_dialect.h"

namespace bluebell::edge {

/// One entry host on a hosted platform: all parts on one event loop.
class edge_host {
 public:
  /// Starts the listeners and the reads of the store. `dialect` and `store`
  /// must outlive the host. Error `kUnavailable`: an address of the settings
  /// cannot be listened on.
  static result<std::unique_ptr<edge_host>> Create(
      boost::asio::io_context& context, clock& source,
      const edge_settings& settings, const request_dialect& dialect,
      deployment_store& store);
  ~edge_host();

  /// Starts a graceful stop: callers are sent to other hosts, requests that
  /// still come are served for some seconds, and open ones finish. Calls after
  /// the first have no effect.
  void Stop();
  /// Called once when the stop has ended.
  void OnStopped(std::function<void()> callback);
  /// Logs a settings change; values are read at the next start.
  void OnReload();
  /// Logs an object of the store that cannot be read.
  void LogUnreadable(const std::string& kind, const std::string& name,
                     const std::string& why);

 private:
  struct parts;
  explicit edge_host(std::unique_ptr<parts> created);

  std::unique_ptr<parts> parts_;
};

}  // namespace bluebell::edge
