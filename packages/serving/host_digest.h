#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "serving/brittle_services.h"
#include "serving/engine_fleet.h"
#include "serving/engine_limits.h"
#include "serving/part_quarantine.h"
#include "serving/request_quarantine.h"
#include "serving/shared_quota.h"
#include "serving/store_contact.h"

namespace bluebell::serving {

/// Requests per second for a model or, with an adapter, for the pair.
struct model_rate {
  model_id model;
  adapter_id adapter;
  double requests_per_s = 0;
};

/// An adapter that a request is waiting for.
struct adapter_request {
  model_id model;
  adapter_id adapter;
};

/// State that a host sends to the others a few times per second, as one CBOR
/// datagram. In between it sends partial digests, which hold only adapter
/// requests or notices.
struct host_digest {
  bool partial = false;
  host_id host;
  std::string incarnation;
  zone_id zone;
  /// Address for callers, `IPv4:port`.
  std::string front_address;
  /// Address for requests of hosts that reach no engine, `IPv4:port`.
  std::string forward_address;
  std::int64_t uptime_ms = 0;
  /// Sequence number within one incarnation; older digests are dropped.
  std::uint64_t number = 0;
  /// CPU share of the host, thousandths of a core.
  int capacity = 0;
  /// The host accepts callers.
  bool serving = false;
  /// The host is listed for callers.
  bool active = false;
  /// The host takes part in the exchange of all engaged hosts.
  bool engaged = false;
  /// The host is stopping.
  bool leaving = false;
  /// The host has reached an engine a short time ago (`engine_reach`).
  bool has_engine_contact = false;
  /// The host reaches no engine.
  bool engines_lost = false;
  /// The host holds the placement lease and sends orders to engines.
  bool holds_placement_lease = false;
  /// Requests a digest in reply, because the sender has just started.
  bool hello = false;
  std::map<endpoint_id, int> in_flight;
  /// Only in digests to hosts of the same zone.
  outcome_report outcomes;
  std::vector<quota_usage> quota_usages;
  /// `shared_quota::epoch` and `shared_quota::Age` of the sender.
  std::uint64_t quota_epoch = 0;
  std::int64_t quota_age_ms = 0;
  /// Only in digests to the placement lease holder.
  std::vector<model_rate> demand;
  std::vector<adapter_request> adapter_requests;
  /// Only in digests from the placement lease holder.
  std::vector<residency_notice> notices;
  /// Requests that may crash engines.
  std::vector<request_evidence> requests;
  /// The same for builds that read no evidence, and from them: requests that
  /// were lost in crashes, by fingerprint, and how many of them an answer has
  /// refuted.
  std::map<std::string, int> crashes;
  std::map<std::string, int> refuted_crashes;
  /// Rate limits of engines that are known to this host.
  std::vector<limit_notice> limits;
  /// Brittle services that are known to this host.
  std::vector<brittle_notice> brittle;
  /// The host asks for room at engines of brittle services, and grants it.
  bool shares_room = false;
  /// None if the host does not read the store.
  std::optional<store_contact_report> store;
  /// Newest version of the configuration that the host knows of; 0 if it knows
  /// none.
  std::uint64_t config_version = 0;
  /// Prompt parts that may crash engines.
  std::vector<part_evidence> parts;
};

std::string EncodeDigest(const host_digest& digest);
/// Errors `kInvalidArgument`.
result<host_digest> DecodeDigest(std::string_view bytes);

}  // namespace bluebell::serving
