#include "serving/engine_reach.h"

#include <set>

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

// Streams deliver events several times in this time.
constexpr milliseconds kSilence{500};
constexpr milliseconds kProbeInterval{300};
// Engines that must be silent at once before probes are sent.
constexpr std::size_t kSilentEngines = 2;
// Reports of engines and callers' requests arrive more often than this at any
// host that callers use.
constexpr milliseconds kContactPeriod{3000};

}  // namespace

std::uint64_t engine_reach::OnSend(const endpoint_id& engine) {
  active_[++sends_] = engine;
  return sends_;
}

void engine_reach::OnContact() {
  contact_ = clock_.now();
  no_answer_ = false;
}

void engine_reach::OnConnected() {
  OnContact();
  not_connected_ = false;
  lost_ = false;
}

bool engine_reach::WantsProbes() const {
  if (probed_ && clock_.now() - *probed_ < kProbeInterval) return false;
  return lost_ || IsSuspect();
}

bool engine_reach::IsSuspect() const {
  if (lost_ || not_connected_ || no_answer_) return true;
  if (contact_ && clock_.now() - *contact_ < kSilence) return false;
  std::set<endpoint_id> waiting;
  for (const auto& [send, engine] : active_) {
    waiting.insert(engine);
    if (waiting.size() >= kSilentEngines) return true;
  }
  return false;
}

void engine_reach::OnProbes(int reached, int failed) {
  probed_ = clock_.now();
  if (reached > 0) {
    OnConnected();
  } else if (failed > 0) {
    lost_ = true;
  }
}

bool engine_reach::HasContact() const {
  return !lost_ && contact_ && clock_.now() - *contact_ < kContactPeriod;
}

}  // namespace bluebell::serving
