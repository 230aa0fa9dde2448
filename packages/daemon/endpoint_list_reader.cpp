#include "daemon/endpoint_list_reader.h"

#include <set>

namespace bluebell::daemon {
namespace {

/// 340 hosts that read every 3 s make 113 of the 2,000 reads per second that
/// the platform serves.
constexpr std::chrono::seconds kListInterval{3};

}  // namespace

void endpoint_list_reader::Start() {
  store_.ListHosts([this, alive = std::weak_ptr<char>(alive_)](
                       const result<std::vector<store::listed_host>>& list) {
    if (alive.expired()) return;
    OnHostList(list);
    next_ = time_.CallAfter(kListInterval, [this] { Start(); });
  });
}

// During an outage the last list remains in effect.
void endpoint_list_reader::OnHostList(
    const result<std::vector<store::listed_host>>& listed) {
  if (!listed) return;
  std::set<endpoint_id> leaving;
  for (const auto& host : *listed) {
    if (host.leaving) leaving.insert(endpoint_id(host.id.value()));
  }
  view_.SetListedLeaving(leaving);
}

}  // namespace bluebell::daemon
