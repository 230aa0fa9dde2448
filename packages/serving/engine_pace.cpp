#include "serving/engine_pace.h"

#include <algorithm>

namespace bluebell::serving {

void engine_pace::OnStated(const service_id& service, double pace) {
  const auto now = clock_.now();
  auto [entry, first] = peaks_.try_emplace(service, statement{pace, now});
  auto& peak = entry->second;
  if (pace >= peak.pace || now - peak.at > kPeakWindow) peak = {pace, now};
}

bool engine_pace::IsShared(const service_id& service) const {
  return peaks_.count(service) > 0;
}

double engine_pace::Peak(const service_id& service) const {
  const auto found = peaks_.find(service);
  if (found == peaks_.end()) return 1;
  return std::clamp(found->second.pace, 1.0, kMaxPeak);
}

}  // namespace bluebell::serving
