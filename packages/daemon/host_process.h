#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/result.h"
#include "daemon/host_settings.h"

namespace bluebell::daemon {

/// All components of one entry host, connected on one event loop.
class host_process {
 public:
  /// Starts the listeners and joins the fleet. Error `kUnavailable` if a
  /// listen address of the settings cannot be bound.
  static result<std::unique_ptr<host_process>> Create(
      boost::asio::io_context& context, const host_settings& settings);
  ~host_process();

  /// Starts a graceful shutdown: announces the host as leaving, still accepts
  /// requests for the drain time, and then waits for open requests. Calls after
  /// the first have no effect.
  void Drain();
  /// Sets the function that is called once when the drain has ended.
  void OnDrained(std::function<void()> callback);

 private:
  struct components;
  explicit host_process(std::unique_ptr<components> created);

  std::unique_ptr<components> components_;
};

}  // namespace bluebell::daemon
