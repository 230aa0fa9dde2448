#include "serving/brittle_services.h"

#include <algorithm>

namespace bluebell::serving {

void brittle_services::Name(const service_id& service, double refusals_per_s,
                            clock::time_point at) {
  auto& state = services_[service];
  if (at < state.named_at) return;
  state.named_at = at;
  state.refusals_per_s = refusals_per_s;
}

void brittle_services::OnNamed(const service_id& service,
                               double refusals_per_s) {
  Name(service, refusals_per_s, clock_.now());
}

void brittle_services::OnNoneNamed(const service_id& service,
                                   clock::time_point sent) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  auto& free_at = found->second.free_at;
  free_at = std::max(free_at.value_or(sent), sent);
}

void brittle_services::OnNotice(const brittle_notice& notice,
                                clock::duration late) {
  const auto now = clock_.now() - late;
  Name(notice.service, notice.refusals_per_s, now - notice.named_age);
  if (notice.free_age) OnNoneNamed(notice.service, now - *notice.free_age);
}

std::vector<brittle_notice> brittle_services::Notices() const {
  const auto now = clock_.now();
  std::vector<brittle_notice> notices;
  for (const auto& [id, state] : services_) {
    if (!state.InForce() && now - *state.free_at >= kEndNoticePeriod) continue;
    brittle_notice notice{id, state.refusals_per_s, now - state.named_at,
                          std::nullopt};
    if (state.free_at) notice.free_age = now - *state.free_at;
    notices.push_back(notice);
  }
  return notices;
}

std::optional<double> brittle_services::Refusals(
    const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.InForce()) return std::nullopt;
  return found->second.refusals_per_s;
}

}  // namespace bluebell::serving
