#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "placement/controller.h"
#include "placement/order_sink.h"
#include "routing/endpoint_poller.h"
#include "routing/endpoint_view.h"
#include "store/memory_object_store.h"

namespace bluebell::placement {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An engine that accepts every load regardless of memory and records its peak
/// use.
struct fake_engine {
  endpoint_id id;
  zone_id zone;
  std::int64_t memory = 0;
  bool checks_fencing = false;
  bool up = true;
  bool leaving = false;
  int incarnation = 1;
  std::uint64_t highest_fence = 0;
  std::map<std::string, std::int64_t> resident;
  std::map<std::string, std::int64_t> loading;
  std::int64_t peak = 0;
  /// State returned in reports; sampled periodically, so it is stale.
  routing::endpoint_report sample;
  clock::time_point sampled_at;

  std::int64_t used() const {
    std::int64_t sum = 0;
    for (const auto& [target, size] : resident) sum += size;
    for (const auto& [target, size] : loading) sum += size;
    return sum;
  }
};

/// Probabilities and limits of faults in the delivery of orders.
struct order_faults {
  double lost = 0;
  double late = 0;
  double duplicated = 0;
  double answer_lost = 0;
  /// Longest delays to engines that ignore and that check fencing numbers.
  seconds max_late_unfenced{0};
  seconds max_late_fenced{0};
};

/// All engines, shared by the hosts of a test.
class fake_fleet {
 public:
  fake_fleet(manual_clock& time, std::uint64_t seed)
      : clock(time), random(seed) {
    Sample();
  }

  void Add(const std::string& id, const std::string& zone, std::int64_t memory,
           bool checks_fencing) {
    fake_engine& engine = engines[endpoint_id(id)];
    engine.id = endpoint_id(id);
    engine.zone = zone_id(zone);
    engine.memory = memory;
    engine.checks_fencing = checks_fencing;
    rows.Apply({"endpoints/" + id, revision(++version),
                config::ToJson(config::endpoint_row{
                    engine.id, "127.0.0.1:1", engine.zone,
                    config::endpoint_kind::kEngine, "", byte_count(memory),
                    checks_fencing, 8})});
    TakeSample(engine);
  }

  void AddModel(const std::string& id, std::int64_t size) {
    rows.Apply(
        {"models/" + id, revision(++version),
         config::ToJson(config::model_row{model_id(id), byte_count(size), 1})});
  }

  void AddAdapter(const std::string& id, const std::string& model,
                  std::int64_t size) {
    rows.Apply({"adapters/" + id, revision(++version),
                config::ToJson(config::adapter_row{
                    adapter_id(id), model_id(model), byte_count(size)})});
  }

  void Remove(const std::string& row) {
    rows.Apply({row, revision(++version), {{"deleted", true}}});
  }

  /// Ends the process. Setting `up` starts a new process with empty memory.
  void Stop(fake_engine& engine) {
    engine.up = false;
    ++engine.incarnation;
    engine.highest_fence = 0;
    engine.resident.clear();
    engine.loading.clear();
    TakeSample(engine);
  }

  bool Reachable(const std::string& target) const {
    return std::any_of(engines.begin(), engines.end(), [&](const auto& entry) {
      return entry.second.up && entry.second.resident.count(target) > 0;
    });
  }

  std::vector<std::string> Unreachable() const {
    std::vector<std::string> missing;
    for (const auto& [id, row] : rows.models()) {
      if (!Reachable(id.value())) missing.push_back(id.value());
    }
    return missing;
  }

  int CopiesOf(const std::string& target) const {
    return static_cast<int>(
        std::count_if(engines.begin(), engines.end(), [&](const auto& entry) {
          return entry.second.resident.count(target) > 0;
        }));
  }

  std::set<zone_id> ZonesOf(const std::string& target) const {
    std::set<zone_id> zones;
    for (const auto& [id, engine] : engines) {
      if (engine.resident.count(target) > 0) zones.insert(engine.zone);
    }
    return zones;
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }
  int Pick(int count) { return static_cast<int>(random() % count); }

  void After(clock::duration delay, std::function<void()> action) {
    const auto key = next_timer_++;
    timers_[key] =
        clock.CallAfter(delay, [this, key, action = std::move(action)] {
          const timer_handle self = std::move(timers_[key]);
          timers_.erase(key);
          action();
        });
  }

  /// Applies an order at the engine; returns false if its fencing number is
  /// stale.
  bool Apply(fake_engine& engine, const order& what) {
    if (engine.checks_fencing && what.fence < engine.highest_fence) {
      return false;
    }
    engine.highest_fence = std::max(engine.highest_fence, what.fence);
    const bool load = what.operation == order_operation::kLoadModel ||
                      what.operation == order_operation::kLoadAdapter;
    if (!load) {
      engine.resident.erase(what.target);
      engine.loading.erase(what.target);
      return true;
    }
    if (engine.resident.count(what.target) > 0 ||
        engine.loading.count(what.target) > 0) {
      return true;
    }
    ++loads;
    engine.loading[what.target] = what.memory.value();
    engine.peak = std::max(engine.peak, engine.used());
    if (engine.used() > engine.memory) ++overcommits;
    const int incarnation = engine.incarnation;
    After(what.operation == order_operation::kLoadModel ? milliseconds(4000)
                                                        : milliseconds(8),
          [&engine, incarnation, target = what.target] {
            if (engine.incarnation != incarnation) return;
            const auto found = engine.loading.find(target);
            if (found == engine.loading.end()) return;
            engine.resident[target] = found->second;
            engine.loading.erase(found);
          });
    return true;
  }

  manual_clock& clock;
  std::mt19937_64 random;
  config::snapshot rows;
  std::map<endpoint_id, fake_engine> engines;
  order_faults faults;
  int overcommits = 0;
  int loads = 0;
  std::uint64_t version = 0;

 private:
  void TakeSample(fake_engine& engine) {
    auto& sample = engine.sample;
    sample = {};
    sample.incarnation = std::to_string(engine.incarnation);
    sample.leaving = engine.leaving;
    sample.memory_total = byte_count(engine.memory);
    sample.memory_used = byte_count(engine.used());
    for (const auto& [target, size] : engine.resident) {
      sample.resident.insert(target);
    }
    for (const auto& [target, size] : engine.loading) {
      sample.loading.insert(target);
    }
    engine.sampled_at = clock.now();
  }

  void Sample() {
    for (auto& [id, engine] : engines) TakeSample(engine);
    After(milliseconds(370), [this] { Sample(); });
  }

  std::uint64_t next_timer_ = 1;
  std::map<std::uint64_t, timer_handle> timers_;
};

/// Defers the callbacks of a paused process until it resumes.
class pause_gate {
 public:
  template <class... Arguments>
  std::function<void(Arguments...)> Wrap(
      std::function<void(Arguments...)> callback) {
    return [this, callback = std::move(callback)](Arguments... arguments) {
      if (!paused_) {
        callback(arguments...);
        return;
      }
      deferred_.push_back([callback, arguments...] { callback(arguments...); });
    };
  }

  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    auto callbacks = std::move(deferred_);
    deferred_.clear();
    for (auto& callback : callbacks) callback();
  }

 private:
  bool paused_ = false;
  std::vector<std::function<void()>> deferred_;
};

/// The clock of one host; its callbacks are deferred while the host is paused.
class gated_clock final : public clock {
 public:
  gated_clock(manual_clock& time, pause_gate& gate)
      : time_(time), gate_(gate) {}

  time_point now() const override { return time_.now(); }
  wall_time_point wall_now() const override { return time_.wall_now(); }
  timer_handle CallAfter(duration delay,
                         std::function<void()> callback) override {
    auto live = std::make_shared<bool>(true);
    auto inner =
        time_.CallAfter(delay, gate_.Wrap(std::function<void()>(
                                   [live, callback = std::move(callback)] {
                                     if (*live) callback();
                                   })));
    struct handle final : timer {
      ~handle() override { *live = false; }
      std::shared_ptr<bool> live;
      timer_handle inner;
    };
    auto made = std::make_unique<handle>();
    made->live = std::move(live);
    made->inner = std::move(inner);
    return made;
  }

 private:
  manual_clock& time_;
  pause_gate& gate_;
};

/// A platform client whose answers are deferred while the host is paused.
class gated_store final : public store::object_store {
 public:
  gated_store(store::memory_platform& shared, pause_gate& gate)
      : client(shared), gate_(gate) {}

  void Get(const std::string& name,
           std::function<void(result<store::object>)> done) override {
    client.Get(name, gate_.Wrap(std::move(done)));
  }
  void Put(const std::string& name, const nlohmann::json& value,
           std::optional<revision> expected,
           std::function<void(store::write_result)> done) override {
    client.Put(name, value, expected, gate_.Wrap(std::move(done)));
  }
  void Remove(const std::string& name, revision expected,
              std::function<void(store::write_result)> done) override {
    client.Remove(name, expected, gate_.Wrap(std::move(done)));
  }
  void List(const std::string& prefix,
            std::function<void(result<store::object_list>)> done) override {
    client.List(prefix, gate_.Wrap(std::move(done)));
  }
  void Watch(const std::string& prefix, revision after, milliseconds wait,
             std::function<void(result<store::object_list>)> done) override {
    client.Watch(prefix, after, wait, gate_.Wrap(std::move(done)));
  }
  void ListHosts(std::function<void(result<std::vector<store::listed_host>>)>
                     done) override {
    client.ListHosts(gate_.Wrap(std::move(done)));
  }

  store::memory_object_store client;

 private:
  pause_gate& gate_;
};

/// Host leases of 15 s, renewed every 5 s and reclaimable 17 s after the last
/// renewal.
class fake_leases {
 public:
  explicit fake_leases(manual_clock& time) : clock_(time) {}

  void Renew(const host_id& host) { renewed_[host] = clock_.now(); }
  bool Holds(const host_id& host) const {
    const auto found = renewed_.find(host);
    return found != renewed_.end() &&
           clock_.now() - found->second < seconds(15);
  }
  bool MayReclaim(const host_id& host) const {
    const auto found = renewed_.find(host);
    return found == renewed_.end() ||
           clock_.now() - found->second > seconds(17);
  }

 private:
  manual_clock& clock_;
  std::map<host_id, clock::time_point> renewed_;
};

/// One entry host with poller, view and controller.
class fake_host final : public fleet::fleet_view,
                        public routing::report_source,
                        public order_sink {
 public:
  fake_host(const std::string& name, fake_fleet& engines, fake_leases& leases,
            store::memory_platform& shared, controller_options options = {})
      : fleet(engines),
        leases(leases),
        id(name),
        time(engines.clock, gate),
        store(shared, gate),
        view(time, engines.rows, nullptr),
        poller(time, view, *this),
        control(time, engines.rows, view, *this, store, *this, nullptr,
                options) {
    Renew();
    poller.Start();
    control.Start();
  }

  void Renew() {
    leases.Renew(id);
    renewal = time.CallAfter(seconds(5), [this] { Renew(); });
  }

  fleet::host_status status() const override {
    return fleet::host_status::kConnected;
  }
  bool HoldsLease() const override { return leases.Holds(id); }
  host_id self() const override { return id; }
  incarnation_id incarnation() const override { return incarnation_id("1"); }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    return {};
  }
  std::vector<host_id> LiveHosts() const override { return {id}; }
  std::vector<host_id> Members() const override { return {id}; }
  bool MayReclaim(const host_id& host, const incarnation_id&) const override {
    return leases.MayReclaim(host);
  }

  void Fetch(
      const config::endpoint_row& row, clock::duration,
      std::function<void(result<routing::endpoint_report>)> done) override {
    auto answer = gate.Wrap(std::move(done));
    auto& engine = fleet.engines.at(row.id);
    if (!engine.up) {
      fleet.After(milliseconds(1), [answer] {
        answer(Fail(error_code::kUnavailable, "refused"));
      });
      return;
    }
    fleet.After(milliseconds(2), [this, &engine, answer] {
      auto report = engine.sample;
      report.sampled_ago = std::chrono::duration_cast<milliseconds>(
          fleet.clock.now() - engine.sampled_at);
      fleet.After(milliseconds(2), [answer, report] { answer(report); });
    });
  }

  void Send(const config::endpoint_row& row, const order& what,
            std::function<void(order_result)> done) override {
    ++sent;
    auto answer = gate.Wrap(std::move(done));
    auto& engine = fleet.engines.at(row.id);
    const auto& faults = fleet.faults;
    const auto bound = engine.checks_fencing ? faults.max_late_fenced
                                             : faults.max_late_unfenced;
    const auto late = [&] {
      return milliseconds(
          fleet.Pick(static_cast<int>(bound.count()) * 1000 + 1));
    };
    const bool lost = fleet.Chance(faults.lost);
    const bool is_late = fleet.Chance(faults.late);
    const bool answer_dropped =
        lost || is_late || fleet.Chance(faults.answer_lost);
    const int sent_to = engine.incarnation;
    const auto sent_at = fleet.clock.now();
    // An order is sent on a connection to one process. A connection attempt
    // still in progress can reach the next process.
    const auto arrives = [this, &engine, sent_to, sent_at] {
      return engine.up && (engine.incarnation == sent_to ||
                           fleet.clock.now() - sent_at < seconds(5));
    };
    if (fleet.Chance(faults.duplicated)) {
      fleet.After(late(), [this, &engine, what, arrives] {
        if (arrives()) fleet.Apply(engine, what);
      });
    }
    if (answer_dropped) {
      fleet.After(seconds(2), [answer] {
        answer(Fail(error_code::kTimeout, "no answer"));
      });
    }
    if (lost) return;
    fleet.After(is_late ? late() : milliseconds(2),
                [this, &engine, what, answer, answer_dropped, arrives] {
                  order_result outcome;
                  if (!arrives()) {
                    outcome = Fail(error_code::kUnavailable, "refused");
                  } else if (!fleet.Apply(engine, what)) {
                    outcome = Fail(error_code::kRefused, "stale_fence");
                  }
                  if (!answer_dropped) answer(outcome);
                });
  }

  fake_fleet& fleet;
  fake_leases& leases;
  host_id id;
  /// Number of orders sent by this host.
  int sent = 0;
  pause_gate gate;
  gated_clock time;
  gated_store store;
  routing::endpoint_view view;
  routing::endpoint_poller poller;
  controller control;
  timer_handle renewal;
};

}  // namespace bluebell::placement
