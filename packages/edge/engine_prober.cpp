#include "edge/engine_prober.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "edge/pause.h"
#include "gateway/listener_probe.h"
#include "gateway/network.h"

namespace bluebell::edge {
namespace {

constexpr milliseconds kPollInterval{50};
// A connection opens within a round trip of a few milliseconds.
constexpr milliseconds kProbeTimeout{200};

struct probe_round {
  int reached = 0;
  int failed = 0;
};

}  // namespace

void engine_prober::Run(boost::asio::yield_context yield) {
  while (true) {
    Pause(host_.io, kPollInterval, yield);
    if (host_.reach.WantsProbes()) Probe(yield);
  }
}

void engine_prober::Probe(boost::asio::yield_context yield) {
  std::vector<std::string> addresses;
  for (const auto& [id, engine] : host_.fleet.engines()) {
    addresses.push_back(engine.record.address);
  }
  std::shuffle(addresses.begin(), addresses.end(), host_.random);
  const auto count =
      std::min<std::size_t>(addresses.size(), serving::engine_reach::kProbes);
  const auto round = std::make_shared<probe_round>();
  for (std::size_t i = 0; i < count; ++i) {
    gateway::SpawnTask(
        host_.io, [&host = host_, round, address = addresses[i]](auto task) {
          const auto state =
              gateway::ProbeListener(host.io, address, kProbeTimeout, task);
          const bool accepts = state == gateway::listener_state::kAccepting;
          ++(accepts ? round->reached : round->failed);
          host.changed.Notify();
        });
  }
  const auto deadline = host_.time.now() + 2 * kProbeTimeout;
  while (round->reached == 0 && round->failed < static_cast<int>(count) &&
         host_.time.now() < deadline) {
    host_.changed.Wait(deadline - host_.time.now(), yield);
  }
  const bool was_lost = host_.reach.lost();
  host_.reach.OnProbes(round->reached, round->failed);
  if (host_.reach.lost() == was_lost) return;
  host_.log.Write(host_.reach.lost() ? "engines_lost" : "engines_regained",
                  {{"probes", std::to_string(count)},
                   {"reached", std::to_string(round->reached)},
                   {"peers_in_contact",
                    std::to_string(host_.directory.PeersInContact().size())}});
  host_.changed.Notify();
}

}  // namespace bluebell::edge
