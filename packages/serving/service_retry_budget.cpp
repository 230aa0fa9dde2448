#include "serving/service_retry_budget.h"

#include <algorithm>

namespace bluebell::serving {

void service_retry_budget::OnRequest(const service_id& service) {
  auto& requests = histories_[service].requests;
  requests.push_back(clock_.now());
  Expire(requests);
}

bool service_retry_budget::Take(const service_id& service, int hosts) {
  auto& seen = histories_[service];
  Expire(seen.requests);
  Expire(seen.retries);
  const bool has_slack = clock_.now() - started_ >= limits_.window;
  const double slack = has_slack ? limits_.slack / std::max(1, hosts) : 0;
  const double allowed =
      kUsedFraction *
      (limits_.ratio * static_cast<double>(seen.requests.size()) + slack);
  if (static_cast<double>(seen.retries.size()) + 1 > allowed) return false;
  seen.retries.push_back(clock_.now());
  return true;
}

void service_retry_budget::Expire(std::deque<clock::time_point>& times) const {
  const auto oldest = clock_.now() - limits_.window;
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace bluebell::serving
