#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/result.h"
#include "daemon/host_settings.h"

namespace bluebell::daemon {

/// All parts of one entry host, wired together on one event loop.
class host_process {
 public:
  /// Starts the listeners and joins the fleet. Error `kUnavailable`: an
  /// address of the settings cannot be listened on.
  static result<std::unique_ptr<host_process>> Create(
      boost::asio::io_context& context, const host_settings& settings);
  ~host_process();

  /// Starts a graceful shutdown: the host is announced as leaving, still
  /// accepts for the drain time, and then waits for its open requests. Calls
  /// after the first have no effect.
  void Drain();
  /// Called once when the drain has ended.
  void OnDrained(std::function<void()> callback);

 private:
  struct parts;
  explicit host_process(std::unique_ptr<parts> created);

  std::unique_ptr<parts> parts_;
};

}  // namespace bluebell::daemon
