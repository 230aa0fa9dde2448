#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Whether this host reaches any engine, judged by its own connections. What a
/// host learns here decides nothing about the engines: other hosts may reach
/// them.
///
/// Load pattern: the paths from some hosts to all engines are cut for seconds.
/// Connections hang or are reset, or live on while new ones are refused; a
/// single engine that ends, or is silent for a second, is no cut. So signs of a
/// cut only cause probes, which open connections to several engines, and a
/// host has lost its engines when all probes of a round fail.
class engine_reach {
 public:
  /// Engines probed at once.
  static constexpr int kProbes = 4;

  explicit engine_reach(const clock& source) : clock_(source) {}

  /// A request is sent to `engine`; returns a number for `OnEnd`.
  std::uint64_t OnSend(const endpoint_id& engine);
  void OnEnd(std::uint64_t send) { active_.erase(send); }
  /// Bytes arrived from an engine.
  void OnContact();
  /// An engine accepted a connection.
  void OnConnected();
  /// An engine accepted no connection.
  void OnNotConnected() { not_connected_ = true; }
  /// A connection ended, or was silent for long, before the answer.
  void OnNoAnswer() { no_answer_ = true; }

  /// Whether probes are due: something suggests a cut, or to find its end.
  bool WantsProbes() const;
  /// Result of a round of probes.
  void OnProbes(int reached, int failed);

  /// No engine can be reached.
  bool lost() const { return lost_; }
  /// A failure at an engine may be the fault of this host's links.
  bool IsSuspect() const;
  /// Whether an engine was reached a short time ago.
  bool HasContact() const;

 private:
  const clock& clock_;
  std::map<std::uint64_t, endpoint_id> active_;
  std::uint64_t sends_ = 0;
  std::optional<clock::time_point> contact_;
  // Since an engine last accepted a connection. Old connections may live on
  // while new ones are refused.
  bool not_connected_ = false;
  // Since the last contact.
  bool no_answer_ = false;
  std::optional<clock::time_point> probed_;
  bool lost_ = false;
};

}  // namespace bluebell::serving
