#pragma once

#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "serving/engine_record.h"
#include "serving/placement_lease.h"
#include "serving/serving_config.h"

namespace bluebell::edge {

/// Where another host receives digests.
struct host_entry {
  host_id host;
  /// `IPv4:port`.
  std::string digest_address;
};

/// The store that outlives the hosts: the operator's configuration, the
/// records of endpoints, and the little that hosts must agree on.
///
/// Every call takes at most the store's timeout. Errors: `kUnavailable`
/// (nothing was done), `kOutcomeUnknown` (a write may be done, now or later),
/// `kConflict`, `kInvalidArgument` (an unreadable answer).
class deployment_store {
 public:
  virtual ~deployment_store() = default;

  /// The newest configuration, by a linearizable read. The same pointer as
  /// before if it has not changed.
  virtual result<std::shared_ptr<const serving::serving_config>> ReadConfig(
      boost::asio::yield_context yield) = 0;
  /// The records of all endpoints that can be read. The same pointer as before
  /// if nothing has changed.
  virtual result<std::shared_ptr<const std::vector<serving::engine_record>>>
  ListEngines(boost::asio::yield_context yield) = 0;

  virtual result<serving::lease_record> ReadDuty(
      boost::asio::yield_context yield) = 0;
  /// Replaces the record if its revision is still `wanted.revision`; returns
  /// the new revision.
  virtual result<std::uint64_t> WriteDuty(const serving::lease_record& wanted,
                                          boost::asio::yield_context yield) = 0;

  virtual result<void> WriteHost(const host_entry& entry,
                                 boost::asio::yield_context yield) = 0;
  virtual result<void> RemoveHost(const host_id& host,
                                  boost::asio::yield_context yield) = 0;
  virtual result<std::vector<host_entry>> ListHosts(
      boost::asio::yield_context yield) = 0;
};

}  // namespace bluebell::edge
