#pragma once

#include <memory>

namespace bluebell::routing {

/// Health of an endpoint as seen by this host. Only a healthy endpoint
/// receives new requests.
enum class health_state { kHealthy, kSuspect, kDown, kProbing, kLeaving };

const char* ToString(health_state state);

/// Observations that can change the health of an endpoint.
enum class health_event {
  /// The endpoint answered a poll and did not report that it is leaving.
  kAnswered,
  /// The endpoint answered a poll and reported that it is leaving.
  kAnnouncedLeaving,
  /// A poll timed out, or failed other than by a refused connection.
  kMissed,
  /// A connection was refused.
  kRefused,
  /// The connection of a request failed after bytes were sent.
  kRequestBroken,
  /// A poll was sent to an endpoint that is down.
  kProbeSent,
};

/// State machine of one endpoint's health.
class endpoint_health {
 public:
  endpoint_health();
  ~endpoint_health();
  endpoint_health(endpoint_health&&) noexcept;
  endpoint_health& operator=(endpoint_health&&) noexcept;

  health_state state() const;
  /// Returns whether the state changed.
  bool Process(health_event event);

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace bluebell::routing
