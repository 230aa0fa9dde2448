#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/snapshot.h"
#include "idempotency/tests/simulated_host.h"
#include "limits/admission_factory.h"
#include "limits/fleet_admission.h"
#include "limits/share_record.h"

namespace bluebell::limits {

/// Models leases and membership of a fleet (docs/design.md, section 4.1).
struct lease_model {
  /// Lease duration V; the reclaim window is V + T + margin.
  std::chrono::seconds lease{15};
  clock::duration ReclaimWindow() const {
    return lease + std::chrono::seconds(2);
  }
  /// Time for which a dead or unreachable host is still listed.
  static constexpr auto kListLag = std::chrono::seconds(3);

  struct host {
    host_id id;
    bool paused = false;
    bool cut = false;
    bool leaving = false;
    clock::time_point last_heard;
    clock::time_point lease_end;
    clock::time_point renewed;
    /// Start of the host's current uninterrupted connection.
    clock::time_point connected_since;
  };

  explicit lease_model(manual_clock& source) : time(source) {}

  bool IsConnected(const host& each) const {
    return platform_up && !each.paused && !each.cut;
  }

  void Renew(host& each) {
    each.renewed = time.now();
    each.lease_end = time.now() + lease;
  }

  /// Called every `step`. A platform outage does not consume lease time.
  void Step(clock::duration step) {
    for (auto& [run, each] : running) {
      if (IsConnected(each) && time.now() - each.renewed >= lease / 3) {
        Renew(each);
      } else if (!platform_up && !each.paused && !each.cut) {
        each.lease_end += step;
      }
      if (!IsConnected(each)) each.connected_since = time.now();
      if (!each.paused && !each.cut) each.last_heard = time.now();
    }
  }

  manual_clock& time;
  bool platform_up = true;
  std::map<incarnation_id, host> running;
  /// All hosts ever started, dead ones included.
  std::vector<host_id> members;
  std::map<host_id, clock::time_point> died;
  /// Last renewal of each incarnation, dead ones included.
  std::map<incarnation_id, clock::time_point> renewals;
};

class model_view final : public testing::fake_fleet_view {
 public:
  bool HoldsLease() const override {
    return model->time.now() < OwnLease().lease_end;
  }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    std::vector<fleet::entry_host> all;
    for (const auto& [run_id, each] : model->running) {
      const bool listed =
          model->time.now() - each.last_heard < lease_model::kListLag;
      if (!each.leaving && listed) all.push_back({each.id, "", zone_id()});
    }
    for (const auto& [dead, since] : model->died) {
      const bool listed = model->time.now() - since < lease_model::kListLag;
      if (listed) all.push_back({dead, "", zone_id()});
    }
    return all;
  }
  std::vector<host_id> Members() const override { return model->members; }
  /// Decides on renewals observed up to 1 s ago.
  bool MayReclaim(const host_id&,
                  const incarnation_id& holder_incarnation) const override {
    const auto now = model->time.now();
    if (now - observed_at_ >= std::chrono::seconds(1)) {
      observed_at_ = now;
      observed_renewals_ = model->renewals;
    }
    const auto renewed = observed_renewals_.find(holder_incarnation);
    return renewed != observed_renewals_.end() &&
           now - renewed->second >= model->ReclaimWindow() &&
           now - OwnLease().connected_since >= model->ReclaimWindow();
  }

  lease_model* model = nullptr;

 private:
  const lease_model::host& OwnLease() const { return model->running.at(run); }

  mutable clock::time_point observed_at_;
  mutable std::map<incarnation_id, clock::time_point> observed_renewals_;
};

/// Simulated hosts with one admission instance each, and a log of the requests
/// they admitted.
class simulated_fleet {
 public:
  static constexpr std::chrono::milliseconds kStep{250};

  struct process : testing::simulated_process<model_view> {
    using simulated_process::simulated_process;
    config::snapshot rows;
    std::unique_ptr<admission> limits;
    /// Timers of running requests; cancelled with the process.
    std::vector<timer_handle> running_requests;
  };
  struct admitted {
    clock::time_point at;
    /// Tokens reserved, or used once the request has ended.
    double tokens = 0;
  };

  explicit simulated_fleet(admission_policy policy, std::uint64_t seed = 1)
      : random(seed),
        platform(time),
        network(time, seed),
        model(time),
        policy_(policy) {
    Edit(1000, 4000);
  }

  /// Edits the account's row on all hosts at once; the propagation of edits is
  /// tested elsewhere.
  void Edit(std::int64_t rate, std::int64_t burst) {
    config::account_row row;
    row.id = account;
    row.rate = token_count(rate);
    row.burst = token_count(burst);
    row.priority = 5;
    stored_ = {"accounts/" + account.value(), revision(++edits_),
               config::ToJson(row)};
    for (auto& [id, host] : hosts) host->rows.Apply(stored_);
  }

  void Start(const std::string& name) {
    const host_id id(name);
    const incarnation_id run(name + "/" + std::to_string(++runs_));
    network.Resume(id);
    auto created = std::make_unique<process>(network, platform, id, run);
    created->view.model = &model;
    if (std::find(model.members.begin(), model.members.end(), id) ==
        model.members.end()) {
      model.members.push_back(id);
    }
    model.died.erase(id);
    auto& lease = model.running[run];
    lease.id = id;
    lease.connected_since = lease.last_heard = time.now();
    model.Renew(lease);
    created->rows.Apply(stored_);
    created->limits =
        *MakeAdmission(policy_, created->rows, created->store, *created->peers,
                       created->view, created->time, created->events);
    hosts[name] = std::move(created);
  }

  void Kill(const std::string& name) {
    const auto node = hosts.extract(name);
    if (node.empty()) return;
    model.running.erase(node.mapped()->view.run);
    model.died[host_id(name)] = time.now();
  }

  lease_model::host& Lease(const std::string& name) {
    return model.running.at(hosts.at(name)->view.run);
  }

  /// Advances the clock and steps the lease model every `kStep`.
  void Advance(clock::duration span) {
    const auto end = time.now() + span;
    while (time.now() < end) {
      if (time.now() >= next_step_) {
        model.Step(kStep);
        for (const auto& [run, each] : model.running) {
          model.renewals[run] = each.renewed;
        }
        next_step_ = time.now() + kStep;
      }
      time.Advance(std::min({end, next_step_}) - time.now());
    }
  }

  /// Reserves `tokens`, and settles with `used` after `duration` if admitted.
  void Request(
      const std::string& name, std::int64_t tokens, std::int64_t used,
      clock::duration duration,
      std::function<void(bool)> on_decision = [](bool) {}) {
    process* at = hosts.at(name).get();
    at->limits->Reserve(
        account, token_count(tokens),
        [=](const admission::reserve_result& outcome) {
          if (outcome) {
            const std::size_t index = log.size();
            log.push_back({time.now(), static_cast<double>(tokens)});
            at->running_requests.push_back(
                at->time.CallAfter(duration, [=, granted = *outcome] {
                  log[index].tokens = static_cast<double>(used);
                  at->limits->Settle(granted, token_count(used));
                }));
          }
          on_decision(outcome.has_value());
        });
  }

  std::int64_t RandomInt(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  }

  /// Parts that all unpaused hosts together may currently spend from.
  int UsableParts() {
    int parts = 0;
    for (auto& [name, host] : hosts) {
      if (Lease(name).paused) continue;
      parts +=
          dynamic_cast<fleet_admission&>(*host->limits).UsableParts(account);
    }
    return parts;
  }

  int PartsOf(const std::string& name) const {
    const auto found = platform.Peek(BudgetName(account));
    const auto record = ParseShareRecord(found.value().value);
    int parts = 0;
    for (const auto& each : record->shares) {
      if (each.host.value() == name) parts += each.parts;
    }
    return parts;
  }

  std::mt19937_64 random;
  manual_clock time;
  store::memory_platform platform;
  peer::memory_network network;
  lease_model model;
  std::map<std::string, std::unique_ptr<process>> hosts;
  std::vector<admitted> log;
  const account_id account{"gallagher"};

 private:
  admission_policy policy_;
  config::stored_row stored_;
  clock::time_point next_step_;
  int runs_ = 0;
  std::uint64_t edits_ = 0;
};

}  // namespace bluebell::limits
