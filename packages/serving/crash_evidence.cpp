#include "serving/crash_evidence.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bluebell::serving {
namespace {

// Reports of different hosts about one crash of an engine differ by less.
constexpr std::chrono::milliseconds kSameCrash{1000};

}  // namespace

bool InsertCrash(std::vector<engine_crash>& crashes, engine_crash added) {
  for (auto& known : crashes) {
    const auto apart =
        known.at < added.at ? added.at - known.at : known.at - added.at;
    if (known.engine != added.engine || apart >= kSameCrash) continue;
    known.sent_at = std::max(known.sent_at, added.sent_at);
    return false;
  }
  const auto after = std::upper_bound(
      crashes.begin(), crashes.end(), added,
      [](const engine_crash& a, const engine_crash& b) { return a.at < b.at; });
  crashes.insert(after, std::move(added));
  return true;
}

}  // namespace bluebell::serving
