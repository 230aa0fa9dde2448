#include "daemon/endpoint_listing.h"

#include <set>

namespace bluebell::daemon {
namespace {

/// 340 hosts that ask every 3 s make 113 reads a second of the platform's
/// 2,000.
constexpr std::chrono::seconds kListInterval{3};

}  // namespace

void endpoint_listing::Start() {
  store_.ListHosts([this, alive = std::weak_ptr<char>(alive_)](
                       const result<std::vector<store::listed_host>>& list) {
    if (alive.expired()) return;
    OnList(list);
    next_ = time_.CallAfter(kListInterval, [this] { Start(); });
  });
}

// During an outage the last list stays in force.
void endpoint_listing::OnList(
    const result<std::vector<store::listed_host>>& listed) {
  if (!listed) return;
  std::set<endpoint_id> leaving;
  for (const auto& host : *listed) {
    if (host.leaving) leaving.insert(endpoint_id(host.id.value()));
  }
  view_.SetListedLeaving(leaving);
}

}  // namespace bluebell::daemon
