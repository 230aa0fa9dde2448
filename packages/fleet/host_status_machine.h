#pragma once

#include <functional>
#include <memory>

#include "fleet/fleet_view.h"

namespace bluebell::fleet {

/// State machine of the host status; the initial state is isolated.
class host_status_machine {
 public:
  /// `on_change` is called after each transition with the new state.
  explicit host_status_machine(std::function<void(host_status)> on_change);
  ~host_status_machine();

  /// Transitions to the evaluated status `found`; no-op if it is the current
  /// one.
  void Apply(host_status found);
  host_status status() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace bluebell::fleet
