#include "peer/memory_peer_network.h"

#include <stdexcept>

namespace bluebell::peer {

// Cancels both the source clock's timer and a callback deferred by a pause,
// because this handle is the callback's only owner.
class pausable_timer final : public timer {
 public:
  pausable_timer(pausable_clock& owner, clock::duration delay,
                 std::function<void()> callback)
      : callback_(
            std::make_shared<std::function<void()>>(std::move(callback))) {
    timer_ = owner.source_.CallAfter(
        delay, [&owner, alive = std::weak_ptr<bool>(owner.alive_),
                weak = std::weak_ptr<std::function<void()>>(callback_)] {
          if (!alive.expired()) owner.RunOrDefer(weak);
        });
  }

 private:
  std::shared_ptr<std::function<void()>> callback_;
  timer_handle timer_;
};

pausable_clock::pausable_clock(clock& source)
    : source_(source), alive_(std::make_shared<bool>(true)) {}

pausable_clock::~pausable_clock() = default;

timer_handle pausable_clock::CallAfter(duration delay,
                                       std::function<void()> callback) {
  return std::make_unique<pausable_timer>(*this, delay, std::move(callback));
}

void pausable_clock::Resume() {
  paused_ = false;
  // A callback may pause the process again; the rest then stays deferred.
  while (!paused_ && !deferred_.empty()) {
    const auto callback = deferred_.front().lock();
    deferred_.erase(deferred_.begin());
    if (callback) (*callback)();
  }
}

void pausable_clock::RunOrDefer(std::weak_ptr<std::function<void()>> callback) {
  if (paused_) {
    deferred_.push_back(std::move(callback));
    return;
  }
  // The lock keeps the function alive if it destroys its own handle.
  if (const auto run = callback.lock()) (*run)();
}

// The process of one host.
class memory_peer_network final : public peer_network {
 public:
  memory_peer_network(memory_network& network, host_id self)
      : network_(network),
        self_(std::move(self)),
        alive_(std::make_shared<bool>(true)) {
    network_.running_[self_] = this;
  }
  ~memory_peer_network() override { network_.running_.erase(self_); }

  void Request(const host_id& to, const std::string& type,
               const nlohmann::json& body, clock::duration timeout,
               std::function<void(result<nlohmann::json>)> done) override {
    const std::uint64_t id = next_id_++;
    auto& entry = pending_requests_[id];
    entry.done = std::move(done);
    if (!network_.IsRunning(to)) {
      entry.timer = network_.ClockOf(self_).CallAfter({}, [this, id] {
        Finish(id, Fail(error_code::kUnavailable, "peer not reachable"));
      });
      return;
    }
    entry.timer = network_.ClockOf(self_).CallAfter(timeout, [this, id] {
      Finish(id, Fail(error_code::kTimeout, "no answer from peer"));
    });
    const std::weak_ptr<bool> requester = alive_;
    network_.Send(self_, to,
                  [from = self_, type, body, id,
                   requester](memory_peer_network& receiver) {
                    receiver.Handle(from, type, body, id, requester);
                  });
  }

  void SetHandler(const std::string& type, handler on_request) override {
    handlers_[type] = std::move(on_request);
  }

  std::weak_ptr<bool> alive() const { return alive_; }

 private:
  struct pending_request {
    std::function<void(result<nlohmann::json>)> done;
    timer_handle timer;
  };

  void Handle(const host_id& from, const std::string& type,
              const nlohmann::json& body, std::uint64_t id,
              const std::weak_ptr<bool>& requester) {
    const auto found = handlers_.find(type);
    if (found == handlers_.end()) return;
    const auto call = found->second;
    call(from, body,
         [this, alive = std::weak_ptr<bool>(alive_), from, id,
          requester](nlohmann::json answer) {
           if (alive.expired()) return;
           Answer(from, id, requester, std::move(answer));
         });
  }

  // Drops the answer if the requesting process has ended, even if its host runs
  // a new one.
  void Answer(const host_id& to, std::uint64_t id,
              const std::weak_ptr<bool>& requester, nlohmann::json answer) {
    network_.Send(self_, to,
                  [id, requester,
                   answer = std::move(answer)](memory_peer_network& receiver) {
                    if (!requester.expired()) receiver.Finish(id, answer);
                  });
  }

  // Ignores late and duplicate answers.
  void Finish(std::uint64_t id, result<nlohmann::json> outcome) {
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) return;
    const auto entry = std::move(found->second);
    pending_requests_.erase(found);
    entry.done(std::move(outcome));
  }

  memory_network& network_;
  host_id self_;
  std::shared_ptr<bool> alive_;
  std::map<std::string, handler> handlers_;
  std::map<std::uint64_t, pending_request> pending_requests_;
  std::uint64_t next_id_ = 1;
};

memory_network::memory_network(clock& source, std::uint64_t seed)
    : source_(source), random_(seed) {}

memory_network::~memory_network() = default;

std::unique_ptr<peer_network> memory_network::Attach(const host_id& host) {
  if (IsRunning(host))
    throw std::logic_error("host " + host.value() + " is already running");
  return std::make_unique<memory_peer_network>(*this, host);
}

pausable_clock& memory_network::ClockOf(const host_id& host) {
  auto& found = clocks_[host];
  if (!found) found = std::make_unique<pausable_clock>(source_);
  return *found;
}

void memory_network::SetCut(const host_id& from, const host_id& to, bool cut) {
  links_[{from, to}].cut = cut;
}

void memory_network::SetIsolated(const host_id& host, bool isolated) {
  isolated_[host] = isolated;
}

void memory_network::SetDelay(const host_id& from, const host_id& to,
                              clock::duration delay) {
  links_[{from, to}].delay = delay;
}

void memory_network::SetLoss(const host_id& from, const host_id& to,
                             double share) {
  links_[{from, to}].loss = share;
}

void memory_network::Pause(const host_id& host) { ClockOf(host).Pause(); }

void memory_network::Resume(const host_id& host) { ClockOf(host).Resume(); }

bool memory_network::IsRunning(const host_id& host) const {
  return running_.count(host) != 0;
}

// Schedules the delivery on the receiver's clock, so that a paused receiver
// handles the message when it resumes.
void memory_network::Send(const host_id& from, const host_id& to,
                          std::function<void(memory_peer_network&)> deliver) {
  ++sent_;
  const link& path = links_[{from, to}];
  if (path.cut || isolated_[from] || isolated_[to]) return;
  if (path.loss > 0 &&
      std::uniform_real_distribution<>(0, 1)(random_) < path.loss) {
    return;
  }
  const auto receiver = running_.find(to);
  if (receiver == running_.end()) return;
  const std::uint64_t message = next_message_++;
  in_flight_[message] = ClockOf(to).CallAfter(
      path.delay,
      [this, message, from, to, process = receiver->second,
       alive = receiver->second->alive(), deliver = std::move(deliver)] {
        const auto handle = std::move(in_flight_[message]);
        in_flight_.erase(message);
        if (alive.expired()) return;
        if (links_[{from, to}].cut || isolated_[from] || isolated_[to]) return;
        deliver(*process);
      });
}

}  // namespace bluebell::peer
