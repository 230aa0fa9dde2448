#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/manual_clock.h"
#include "fleet/fleet_view.h"
#include "peer/memory_peer_network.h"
#include "store/memory_object_store.h"

namespace bluebell::testing {

/// A client of the in-memory platform whose callbacks are delayed while its
/// host is paused, as those of a stopped process are.
class host_object_store final : public store::object_store {
 public:
  host_object_store(store::memory_platform& platform, clock& host_clock)
      : inner_(platform), clock_(host_clock) {}

  store::memory_faults& faults() { return inner_.faults(); }

  void Get(const std::string& name,
           std::function<void(result<store::object>)> done) override {
    inner_.Get(name, DeliverOnHost(std::move(done)));
  }
  void Put(const std::string& name, const nlohmann::json& value,
           std::optional<revision> expected,
           std::function<void(store::write_result)> done) override {
    inner_.Put(name, value, expected, DeliverOnHost(std::move(done)));
  }
  void Remove(const std::string& name, revision expected,
              std::function<void(store::write_result)> done) override {
    inner_.Remove(name, expected, DeliverOnHost(std::move(done)));
  }
  void List(const std::string& prefix,
            std::function<void(result<store::object_list>)> done) override {
    inner_.List(prefix, DeliverOnHost(std::move(done)));
  }
  void Watch(const std::string& prefix, revision after,
             std::chrono::milliseconds wait,
             std::function<void(result<store::object_list>)> done) override {
    inner_.Watch(prefix, after, wait, DeliverOnHost(std::move(done)));
  }
  void ListHosts(std::function<void(result<std::vector<store::listed_host>>)>
                     done) override {
    inner_.ListHosts(DeliverOnHost(std::move(done)));
  }

 private:
  template <class Result>
  std::function<void(Result)> DeliverOnHost(std::function<void(Result)> done) {
    return [this, done = std::move(done)](Result outcome) {
      const int id = next_++;
      deliveries_[id] =
          clock_.CallAfter(clock::duration::zero(), [this, id, done, outcome] {
            const auto handle = deliveries_.extract(id);
            done(outcome);
          });
    };
  }

  std::map<int, timer_handle> deliveries_;
  store::memory_object_store inner_;
  clock& clock_;
  int next_ = 0;
};

/// A fleet view with values set by the test.
class fake_fleet_view : public fleet::fleet_view {
 public:
  fleet::host_status status() const override { return current; }
  bool HoldsLease() const override { return lease; }
  host_id self() const override { return own; }
  incarnation_id incarnation() const override { return run; }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    std::vector<fleet::entry_host> all;
    for (const auto& id : live) all.push_back({id, "", zone_id()});
    return all;
  }
  std::vector<host_id> LiveHosts() const override { return live; }
  std::vector<host_id> Members() const override { return members; }
  bool MayReclaim(const host_id&, const incarnation_id&) const override {
    return false;
  }

  fleet::host_status current = fleet::host_status::kConnected;
  bool lease = true;
  host_id own;
  incarnation_id run;
  std::vector<host_id> live;
  std::vector<host_id> members;
};

/// One incarnation of a host process. Destroying it simulates a crash.
template <class View>
struct simulated_process {
  simulated_process(peer::memory_network& network,
                    store::memory_platform& platform, const host_id& id,
                    const incarnation_id& incarnation)
      : time(network.ClockOf(id)),
        events(time, id),
        peers(network.Attach(id)),
        store(platform, time) {
    view.own = id;
    view.run = incarnation;
  }

  clock& time;
  event_log events;
  std::unique_ptr<peer::peer_network> peers;
  host_object_store store;
  View view;
};

}  // namespace bluebell::testing
