#include "edge/peer_cut_off.h"

namespace bluebell::edge {

void ReportCutOff(edge_state& host, const char* kind, const std::string& peer,
                  gateway::excess cause) {
  host.metrics.Count(std::string("cut_off_") + ToString(cause));
  host.log.Write("peer_cut_off",
                 {{"kind", kind}, {"peer", peer}, {"cause", ToString(cause)}});
}

void ReportCutOff(edge_state& host, const char* kind, const std::string& peer,
                  const gateway::endpoint_connection* used) {
  if (used == nullptr || !used->cut_off()) return;
  ReportCutOff(host, kind, peer, *used->cut_off());
}

}  // namespace bluebell::edge
