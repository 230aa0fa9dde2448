#include "fleet/fleet_view.h"

namespace bluebell::fleet {

const char* ToString(host_status status) {
  switch (status) {
    case host_status::kConnected:
      return "connected";
    case host_status::kOutage:
      return "outage";
    case host_status::kIsolated:
      return "isolated";
  }
  return "unknown";
}

}  // namespace bluebell::fleet
