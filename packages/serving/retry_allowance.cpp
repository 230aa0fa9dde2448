#include "serving/retry_allowance.h"

#include <algorithm>

namespace bluebell::serving {

void retry_allowance::OnRequest(const service_id& service) {
  auto& requests = histories_[service].requests;
  requests.push_back(clock_.now());
  Expire(requests);
}

bool retry_allowance::Take(const service_id& service, int hosts) {
  auto& seen = histories_[service];
  Expire(seen.requests);
  Expire(seen.repeats);
  const double allowed =
      kUsedPart * (bound_.ratio * static_cast<double>(seen.requests.size()) +
                   bound_.slack / std::max(1, hosts));
  if (static_cast<double>(seen.repeats.size()) + 1 > allowed) return false;
  seen.repeats.push_back(clock_.now());
  return true;
}

void retry_allowance::Expire(std::deque<clock::time_point>& times) const {
  const auto oldest = clock_.now() - bound_.window;
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace bluebell::serving
