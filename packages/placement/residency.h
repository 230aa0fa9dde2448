#pragma once

#include <memory>

namespace bluebell::placement {

/// Residency of one model or adapter on one engine, as far as the controller
/// knows. Memory counts as in use in every state but `kAbsent`.
enum class residency_state {
  kAbsent,
  /// A load was ordered and not yet confirmed by a report.
  kOrdered,
  kLoading,
  kResident,
  /// An unload was ordered and not yet confirmed by a report.
  kUnloading,
  /// Reported absent, but an order to load it may still take effect.
  kUnconfirmedAbsent,
};

enum class residency_event {
  kLoadOrdered,
  kUnloadOrdered,
  kReportedLoading,
  kReportedResident,
  kReportedAbsent,
  /// The load is no longer wanted and will not be resent.
  kAbandoned,
  /// No order to load it can take effect any more.
  kAbsenceConfirmed,
};

/// State machine of one model or adapter on one engine.
class residency {
 public:
  residency();
  ~residency();
  residency(residency&&) noexcept;
  residency& operator=(residency&&) noexcept;

  residency_state state() const;
  /// Returns whether the state changed.
  bool Process(residency_event event);

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace bluebell::placement
