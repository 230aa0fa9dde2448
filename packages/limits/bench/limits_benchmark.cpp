// Cost of one admission, and of the periodic work for accounts without traffic.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include <string>

#include "base/manual_clock.h"
#include "config/rows.h"
#include "limits/fleet_admission.h"
#include "peer/memory_peer_network.h"
#include "store/memory_object_store.h"

namespace bluebell::limits {
namespace {

class fixed_fleet final : public fleet::fleet_view {
 public:
  explicit fixed_fleet(int hosts) {
    for (int i = 0; i < hosts; ++i) {
      const host_id id("host-" + std::to_string(i));
      hosts_.push_back(id);
      entries_.push_back(
          {id, "127.0.0.1:1", zone_id("z" + std::to_string(i % 3))});
    }
  }
  fleet::host_status status() const override {
    return fleet::host_status::kConnected;
  }
  bool HoldsLease() const override { return true; }
  host_id self() const override { return hosts_.front(); }
  incarnation_id incarnation() const override { return incarnation_id("1"); }
  std::vector<fleet::entry_host> EntryHosts(const zone_id&) const override {
    return entries_;
  }
  std::vector<host_id> LiveHosts() const override { return hosts_; }
  std::vector<host_id> Members() const override { return hosts_; }
  bool MayReclaim(const host_id&, const incarnation_id&) const override {
    return false;
  }

 private:
  std::vector<host_id> hosts_;
  std::vector<fleet::entry_host> entries_;
};

account_id AccountOf(int number) {
  return account_id("account-" + std::to_string(number));
}

// One host of a fleet whose other hosts hold no shares.
struct single_host {
  single_host(int hosts, int accounts) : fleet(hosts), platform(time) {
    for (int i = 0; i < accounts; ++i) {
      config::account_row row;
      row.id = AccountOf(i);
      row.weight = 1;
      row.rate = token_count(1'000'000'000);
      row.burst = token_count(1'000'000'000);
      row.priority = 5;
      rows.Apply({"accounts/" + row.id.value(),
                  revision(static_cast<std::uint64_t>(i + 1)),
                  config::ToJson(row)});
    }
    // Long enough for the host to acquire its shares.
    time.Advance(std::chrono::seconds(5));
  }

  manual_clock time;
  config::snapshot rows;
  fixed_fleet fleet;
  store::memory_platform platform;
  store::memory_object_store store{platform};
  peer::memory_network network{time};
  std::unique_ptr<peer::peer_network> peers{network.Attach(fleet.self())};
  event_log events{time, fleet.self()};
  fleet_admission admission{rows, store, *peers, fleet, time, events};
};

void AdmitAndSettle(benchmark::State& state) {
  const int accounts = static_cast<int>(state.range(0));
  single_host host(1, accounts);
  int next = 0;
  for (auto _ : state) {
    host.admission.Reserve(AccountOf(next++ % accounts), token_count(10),
                           [&](const admission::reserve_result& outcome) {
                             if (!outcome) {
                               state.SkipWithError("request was refused");
                               return;
                             }
                             host.admission.Settle(*outcome, token_count(5));
                           });
  }
}
BENCHMARK(AdmitAndSettle)
    ->ArgName("accounts")
    ->Arg(5)
    ->Arg(1000)
    ->Unit(benchmark::kMicrosecond);

// One simulated second of an idle host, including its in-memory store reads.
void IdleSecond(benchmark::State& state) {
  single_host host(static_cast<int>(state.range(0)),
                   static_cast<int>(state.range(1)));
  for (auto _ : state) host.time.Advance(std::chrono::seconds(1));
}
BENCHMARK(IdleSecond)
    ->ArgNames({"hosts", "accounts"})
    ->Args({8, 5})
    ->Args({8, 100})
    ->Args({34, 100})
    ->Args({340, 5})
    ->Args({340, 100})
    ->Args({340, 1000})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bluebell::limits

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
