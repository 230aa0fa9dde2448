#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "serving/engine_fleet.h"
#include "serving/shared_quota.h"

namespace bluebell::serving {

/// Requests per second for a model or, with an adapter, for the pair.
struct model_use {
  model_id model;
  adapter_id adapter;
  double requests_per_s = 0;
};

/// An adapter that a request waits for.
struct adapter_want {
  model_id model;
  adapter_id adapter;
};

/// What a host tells the others a few times per second, as one CBOR datagram.
/// Between these it sends partial ones, which hold only wants or notices.
struct host_digest {
  bool partial = false;
  host_id host;
  std::string incarnation;
  zone_id zone;
  /// Address for callers, `IPv4:port`.
  std::string front_address;
  std::int64_t uptime_ms = 0;
  /// Grows with each digest of one incarnation; older ones are dropped.
  std::uint64_t number = 0;
  /// Processor share of the host, thousandths of a core.
  int capacity = 0;
  /// Callers may be sent to this host.
  bool serving = false;
  /// The host is stopping.
  bool leaving = false;
  /// The host gives orders to engines.
  bool places = false;
  /// A reply is wanted, because the sender has just started.
  bool hello = false;
  std::map<endpoint_id, int> in_flight;
  /// Only in digests to hosts of the same zone.
  outcome_report outcomes;
  std::vector<quota_use> quota_uses;
  /// Only in digests to the placement holder.
  std::vector<model_use> demand;
  std::vector<adapter_want> wants;
  /// Only in digests from the placement holder.
  std::vector<residency_notice> notices;
  /// Requests that crashed an endpoint, and how often at this host.
  std::map<std::string, int> crashes;
};

std::string EncodeDigest(const host_digest& digest);
/// `kInvalidArgument`: the bytes are not a digest.
result<host_digest> DecodeDigest(std::string_view bytes);

}  // namespace bluebell::serving
