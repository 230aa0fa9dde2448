#pragma once

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/manual_clock.h"
#include "fleet/fleet.h"
#include "peer/memory_peer_network.h"
#include "store/memory_object_store.h"

namespace bluebell::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs store callbacks on the clock of one host, so that a paused host
/// receives no answer until it resumes.
class host_store final : public store::object_store {
 public:
  host_store(store::memory_platform& platform, clock& time)
      : store_(platform), time_(time) {}

  store::memory_faults& faults() { return store_.faults(); }

  void Get(const std::string& name,
           std::function<void(result<store::object>)> done) override {
    store_.Get(name, Defer(std::move(done)));
  }
  void Put(const std::string& name, const nlohmann::json& value,
           std::optional<revision> expected,
           std::function<void(store::write_result)> done) override {
    store_.Put(name, value, expected, Defer(std::move(done)));
  }
  void Remove(const std::string& name, revision expected,
              std::function<void(store::write_result)> done) override {
    store_.Remove(name, expected, Defer(std::move(done)));
  }
  void List(const std::string& prefix,
            std::function<void(result<store::object_list>)> done) override {
    store_.List(prefix, Defer(std::move(done)));
  }
  void Watch(const std::string& prefix, revision after, milliseconds wait,
             std::function<void(result<store::object_list>)> done) override {
    store_.Watch(prefix, after, wait, Defer(std::move(done)));
  }
  void ListHosts(std::function<void(result<std::vector<store::listed_host>>)>
                     done) override {
    store_.ListHosts(Defer(std::move(done)));
  }

 private:
  template <class Outcome>
  std::function<void(Outcome)> Defer(std::function<void(Outcome)> done) {
    return [this, done = std::move(done)](Outcome outcome) {
      const auto id = next_id_++;
      pending_[id] = time_.CallAfter(
          {}, [this, id, done, outcome = std::move(outcome)]() mutable {
            const auto handle = std::move(pending_[id]);
            pending_.erase(id);
            done(std::move(outcome));
          });
    };
  }

  std::map<std::uint64_t, timer_handle> pending_;
  std::uint64_t next_id_ = 0;
  store::memory_object_store store_;
  clock& time_;
};

/// Competes for one exclusive right, stored in the object `right`, by the same
/// rules as the packages that use rights.
class right_user {
 public:
  right_user(fleet& view, store::object_store& store, bool compares_terms,
             int& acquired)
      : view_(view),
        store_(store),
        compares_terms_(compares_terms),
        acquired_(acquired) {}

  /// Whether this host would use the right at this moment.
  bool UsesRight() {
    if (!held_ || !view_.HoldsLease()) return false;
    return !compares_terms_ || *held_ == view_.incarnation();
  }

  /// Reads the right and acquires it if allowed. The write is sent immediately
  /// but may take effect much later.
  void Step() {
    if (request_pending_ || UsesRight() || !view_.HoldsLease()) return;
    request_pending_ = true;
    store_.Get("right", [this](const result<store::object>& found) {
      request_pending_ = false;
      if (found || found.error().code == error_code::kNotFound) Decide(found);
    });
  }

 private:
  void Decide(const result<store::object>& found) {
    const revision version = found ? found->version : revision(0);
    if (found) {
      const host_id holder(found->value.at("host").get<std::string>());
      const incarnation_id term(
          found->value.at("incarnation").get<std::string>());
      if (holder == view_.self() && term == view_.incarnation()) {
        held_ = term;
        return;
      }
      if (!view_.MayReclaim(holder, term)) return;
    }
    if (!view_.HoldsLease()) return;
    const auto term = view_.incarnation();
    request_pending_ = true;
    store_.Put("right",
               {{"host", view_.self().value()}, {"incarnation", term.value()}},
               version, [this, term](const store::write_result& outcome) {
                 request_pending_ = false;
                 if (outcome) {
                   held_ = term;
                   ++acquired_;
                 }
               });
  }

  fleet& view_;
  store::object_store& store_;
  bool compares_terms_;
  int& acquired_;
  bool request_pending_ = false;
  std::optional<incarnation_id> held_;
};

/// Simulated hosts that run the production classes on a manual clock.
class simulation {
 public:
  struct host {
    host_id id;
    std::unique_ptr<event_log> events;
    std::unique_ptr<host_store> store;
    std::unique_ptr<peer::peer_network> network;
    std::unique_ptr<fleet> view;
    std::unique_ptr<right_user> user;
    revision config_revision;
    std::vector<revision> higher_revisions;
  };

  explicit simulation(const fleet_timing& timing = {}, std::uint64_t seed = 1)
      : timing_(timing), network_(clock_, seed), platform_(clock_) {
    spdlog::set_level(spdlog::level::off);
  }

  host& Start(const std::string& name, std::vector<std::string> seeds = {}) {
    auto& created = hosts_[name];
    created = std::make_unique<host>();
    created->id = host_id(name);
    auto& time = network_.ClockOf(created->id);
    time.Resume();
    created->events = std::make_unique<event_log>(clock_, created->id);
    created->store = std::make_unique<host_store>(platform_, time);
    created->network = network_.Attach(created->id);
    fleet_settings settings;
    settings.self = created->id;
    settings.addresses = {name + ":1", name + ":2", name + ":3",
                          zone_id("zone " + name)};
    settings.seeds = std::move(seeds);
    settings.timing = timing_;
    fleet_hooks hooks;
    hooks.config_revision = [h = created.get()] { return h->config_revision; };
    hooks.on_higher_revision = [h = created.get()](const host_id&,
                                                   revision seen) {
      h->higher_revisions.push_back(seen);
    };
    created->view =
        std::move(*fleet::Create(settings, hooks, *created->store,
                                 *created->network, time, *created->events));
    created->user = std::make_unique<right_user>(
        *created->view, *created->store, compares_terms_, acquired_);
    return *created;
  }

  /// Terminates the process of a host without a release.
  void Kill(const std::string& name) { hosts_.erase(name); }
  void Restart(const std::string& name, std::vector<std::string> seeds = {}) {
    Kill(name);
    Start(name, std::move(seeds));
  }
  /// Number of times that any process acquired the right.
  int acquired() const { return acquired_; }
  bool IsRunning(const std::string& name) const {
    return hosts_.count(name) != 0;
  }

  host& operator[](const std::string& name) { return *hosts_.at(name); }
  peer::memory_network& network() { return network_; }
  store::memory_platform& platform() { return platform_; }
  manual_clock& time() { return clock_; }

  void SetPaused(const std::string& name, bool paused) {
    if (paused) {
      network_.Pause(host_id(name));
    } else {
      network_.Resume(host_id(name));
    }
  }
  bool IsPaused(const std::string& name) {
    return network_.ClockOf(host_id(name)).paused();
  }
  void SetCut(const std::string& from, const std::string& to, bool cut) {
    network_.SetCut(host_id(from), host_id(to), cut);
  }
  void SetPlatformLost(const std::string& name, bool lost) {
    if (IsRunning(name)) (*this)[name].store->faults().outage = lost;
  }

  /// Makes the hosts compete for the right.
  void UseRights() { uses_rights_ = true; }
  /// Makes hosts started later ignore the end of a lease term.
  void IgnoreTerms() { compares_terms_ = false; }

  /// Advances the clock in steps of `step` and counts the steps in which more
  /// than one host uses the right as violations.
  void Run(clock::duration time, clock::duration step = milliseconds(250)) {
    const auto end = clock_.now() + time;
    while (clock_.now() < end) {
      clock_.Advance(std::min(step, end - clock_.now()));
      if (!uses_rights_) continue;
      int users = 0;
      for (const auto& [name, each] : hosts_) {
        if (IsPaused(name)) continue;
        each->user->Step();
        if (each->user->UsesRight()) ++users;
      }
      if (users > 1 && violations_++ == 0) first_violation_ = clock_.now();
      if (users > 0) ++used_steps_;
    }
  }

  int violations() const { return violations_; }
  /// Time of the first violation, for messages.
  clock::time_point first_violation() const { return first_violation_; }
  int used_steps() const { return used_steps_; }

  std::vector<std::string> Members(const std::string& name) {
    std::vector<std::string> names;
    for (const auto& id : (*this)[name].view->Members()) {
      names.push_back(id.value());
    }
    return names;
  }
  std::string Holder() const {
    const auto right = platform_.Peek("right");
    return right ? right->value.at("host").get<std::string>() : "";
  }

 private:
  fleet_timing timing_;
  manual_clock clock_;
  peer::memory_network network_;
  store::memory_platform platform_;
  std::map<std::string, std::unique_ptr<host>> hosts_;
  bool uses_rights_ = false;
  bool compares_terms_ = true;
  int acquired_ = 0;
  int violations_ = 0;
  clock::time_point first_violation_;
  int used_steps_ = 0;
};

}  // namespace bluebell::fleet
