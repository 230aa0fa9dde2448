#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "peer/peer_network.h"

namespace bluebell::peer {

/// The clock of one simulated process. While the process is paused, time
/// advances and due callbacks are deferred; `Resume` runs them in the order of
/// their due time.
class pausable_clock final : public clock {
 public:
  explicit pausable_clock(clock& source);
  ~pausable_clock() override;

  time_point now() const override { return source_.now(); }
  wall_time_point wall_now() const override { return source_.wall_now(); }
  [[nodiscard]] timer_handle CallAfter(duration delay,
                                       std::function<void()> callback) override;

  void Pause() { paused_ = true; }
  void Resume();
  bool paused() const { return paused_; }

 private:
  friend class pausable_timer;
  void RunOrDefer(std::weak_ptr<std::function<void()>> callback);

  clock& source_;
  bool paused_ = false;
  std::vector<std::weak_ptr<std::function<void()>>> deferred_;
  std::shared_ptr<bool> alive_;
};

/// A simulated network of several hosts for tests on an abstract clock. It
/// must outlive the peer networks and clocks that it returns.
///
/// A message takes the delay that its link has when the message is sent
/// (default: 1 ms). A cut link drops all messages, including those in flight
/// when it was cut.
class memory_network {
 public:
  explicit memory_network(clock& source, std::uint64_t seed = 1);
  ~memory_network();
  memory_network(const memory_network&) = delete;
  memory_network& operator=(const memory_network&) = delete;

  /// Starts a process of `host`. Destroying the returned object ends the
  /// process: its callbacks are dropped and peers get no answer from it. Throws
  /// `std::logic_error` if a process of the host is running.
  std::unique_ptr<peer_network> Attach(const host_id& host);
  /// The clock that components of `host` run on.
  pausable_clock& ClockOf(const host_id& host);

  /// Cuts or restores the direction `from` -> `to`.
  void SetCut(const host_id& from, const host_id& to, bool cut);
  /// Cuts or restores both directions between `host` and all others.
  void SetIsolated(const host_id& host, bool isolated);
  void SetDelay(const host_id& from, const host_id& to, clock::duration delay);
  /// Sets the probability that the link drops a message, from 0 to 1.
  void SetLoss(const host_id& from, const host_id& to, double share);
  /// A paused host runs no callback; messages to it are deferred to `Resume`.
  void Pause(const host_id& host);
  void Resume(const host_id& host);

  /// Number of requests and answers sent, including dropped ones.
  std::uint64_t sent() const { return sent_; }

 private:
  friend class memory_peer_network;
  struct link {
    bool cut = false;
    double loss = 0;
    clock::duration delay = std::chrono::milliseconds(1);
  };
  using link_name = std::pair<host_id, host_id>;

  bool IsRunning(const host_id& host) const;
  void Send(const host_id& from, const host_id& to,
            std::function<void(class memory_peer_network&)> deliver);

  clock& source_;
  std::mt19937_64 random_;
  std::map<host_id, std::unique_ptr<pausable_clock>> clocks_;
  std::map<host_id, class memory_peer_network*> running_;
  std::map<link_name, link> links_;
  std::map<host_id, bool> isolated_;
  std::map<std::uint64_t, timer_handle> in_flight_;
  std::uint64_t next_message_ = 1;
  std::uint64_t sent_ = 0;
};

}  // namespace bluebell::peer
