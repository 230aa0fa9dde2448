#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/manual_clock.h"
#include "config/config_editor.h"
#include "config/config_watcher.h"
#include "peer/memory_peer_network.h"
#include "store/memory_object_store.h"

namespace bluebell::config {

/// Fleet view with a fixed member list and a status set by the test.
class fixed_fleet final : public fleet::fleet_view {
 public:
  fixed_fleet(host_id self, std::vector<host_id> members)
      : self_(std::move(self)), members_(std::move(members)) {}

  fleet::host_status status() const override { return status_; }
  bool HoldsLease() const override { return true; }
  host_id self() const override { return self_; }
  incarnation_id incarnation() const override { return incarnation_id("i"); }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    return {{self_, "127.0.0.1:80", zone_id("z")}};
  }
  std::vector<host_id> LiveHosts() const override { return members_; }
  std::vector<host_id> Members() const override { return members_; }
  bool MayReclaim(const host_id&, const incarnation_id&) const override {
    return false;
  }

  fleet::host_status status_ = fleet::host_status::kConnected;

 private:
  host_id self_;
  std::vector<host_id> members_;
};

/// Object store that never answers, which violates its interface contract.
class unresponsive_store final : public store::object_store {
 public:
  using list_callback = std::function<void(result<store::object_list>)>;
  void Get(const std::string&,
           std::function<void(result<store::object>)>) override {}
  void Put(const std::string&, const nlohmann::json&, std::optional<revision>,
           std::function<void(store::write_result)>) override {}
  void Remove(const std::string&, revision,
              std::function<void(store::write_result)>) override {}
  void List(const std::string&, list_callback done) override {
    calls.push_back(std::move(done));
  }
  void Watch(const std::string&, revision, std::chrono::milliseconds,
             list_callback done) override {
    calls.push_back(std::move(done));
  }
  void ListHosts(
      std::function<void(result<std::vector<store::listed_host>>)>) override {}

  std::vector<list_callback> calls;
};

/// Simulated host process that sends a heartbeat to all members every second.
class config_host {
 public:
  config_host(const host_id& id, const std::vector<host_id>& members,
              store::memory_platform& platform, peer::memory_network& network)
      : clock(network.ClockOf(id)),
        fleet(id, members),
        store(platform),
        peers(network.Attach(id)),
        events(clock, id),
        watcher(active_config, store, *peers, clock, events),
        editor(active_config, store, *peers, fleet, clock, events) {
    peers->SetHandler(
        "ping", [this](const host_id& sender, const nlohmann::json& body,
                       peer::peer_network::respond answer) {
          answer(active_config.newest().value());
          watcher.OnPeerRevision(sender, revision(body.get<std::uint64_t>()));
        });
    watcher.Start();
    SendHeartbeat();
  }

  void SendHeartbeat() {
    for (const auto& peer : fleet.Members()) {
      if (peer == fleet.self()) continue;
      peers->Request(peer, "ping", active_config.newest().value(),
                     std::chrono::seconds(1),
                     [this, peer](const result<nlohmann::json>& answer) {
                       if (!answer) return;
                       watcher.OnPeerRevision(
                           peer, revision(answer->get<std::uint64_t>()));
                     });
    }
    heartbeat_timer =
        clock.CallAfter(std::chrono::seconds(1), [this] { SendHeartbeat(); });
  }

  bluebell::clock& clock;
  fixed_fleet fleet;
  store::memory_object_store store;
  std::unique_ptr<peer::peer_network> peers;
  event_log events;
  snapshot active_config;
  config_watcher watcher;
  config_editor editor;
  timer_handle heartbeat_timer;
};

/// Hosts h0, h1, ... that share one platform, on a manual clock.
class config_fleet {
 public:
  explicit config_fleet(int size) {
    for (int i = 0; i < size; ++i) {
      members.emplace_back("h" + std::to_string(i));
    }
    for (int i = 0; i < size; ++i) hosts.push_back(nullptr);
  }

  /// Starts or restarts the process of a host.
  config_host& Start(int index) {
    hosts[index].reset();
    hosts[index] = std::make_unique<config_host>(members[index], members,
                                                 platform, network);
    return *hosts[index];
  }
  void StartAll() {
    for (std::size_t i = 0; i < hosts.size(); ++i) Start(static_cast<int>(i));
    clock.Advance(std::chrono::seconds(1));
  }

  /// Breaks (or restores) every link between the two groups.
  void Partition(const std::vector<int>& left, const std::vector<int>& right,
                 bool partitioned = true) {
    for (const int a : left) {
      for (const int b : right) {
        network.SetCut(members[a], members[b], partitioned);
        network.SetCut(members[b], members[a], partitioned);
      }
    }
  }

  /// Starts an edit of an account's rate. The returned object receives the
  /// result when the edit finishes.
  std::shared_ptr<std::optional<edit_result>> SetRate(
      int host, const std::string& account, int rate, revision expected) {
    const nlohmann::json row = {{"rate", rate}, {"burst", 10}};
    return Put(host, "accounts", account, row, expected);
  }
  std::shared_ptr<std::optional<edit_result>> Put(int host,
                                                  const std::string& table,
                                                  const std::string& id,
                                                  const nlohmann::json& row,
                                                  revision expected) {
    auto answer = std::make_shared<std::optional<edit_result>>();
    hosts[host]->editor.Put(
        *FindTable(table), id, row, expected,
        [answer](edit_result edited) { *answer = std::move(edited); });
    return answer;
  }
  std::shared_ptr<std::optional<edit_result>> Remove(int host,
                                                     const std::string& account,
                                                     revision expected) {
    auto answer = std::make_shared<std::optional<edit_result>>();
    hosts[host]->editor.Remove(
        *FindTable("accounts"), account, expected,
        [answer](edit_result edited) { *answer = std::move(edited); });
    return answer;
  }

  /// Active rate of the account at a host; -1 if the host has no such account.
  std::int64_t Rate(int host, const std::string& account) const {
    const auto* row =
        hosts[host]->active_config.FindAccount(account_id(account));
    return row == nullptr ? -1 : row->rate.value();
  }

  manual_clock clock;
  store::memory_platform platform{clock};
  peer::memory_network network{clock, 7};
  std::vector<host_id> members;
  std::vector<std::unique_ptr<config_host>> hosts;
};

}  // namespace bluebell::config
