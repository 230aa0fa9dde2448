#pragma once

#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "serving/active_hosts.h"
#include "serving/engine_record.h"
#include "serving/part_quarantine.h"
#include "serving/placement_lease.h"
#include "serving/serving_config.h"
#include "serving/stream_versions.h"

namespace bluebell::edge {

/// Persistent store shared by the hosts: the operator's configuration, the
/// endpoint records, the placement lease, the list of hosts, the prompt parts
/// that are quarantined and the software versions that began streams.
///
/// The store timeout bounds each wait for the store; a large body may take
/// longer while it arrives. Errors: `kUnavailable` (nothing was done),
/// `kOutcomeUnknown` (a write may take effect, now or later), `kConflict`,
/// `kInvalidArgument` (the answer could not be parsed).
class deployment_store {
 public:
  virtual ~deployment_store() = default;

  /// Era of the store, as of its latest response: a number that increases each
  /// time the store is restored from an older copy. Writes since that copy are
  /// lost, and revisions are assigned again. None before the first response, 0
  /// if the store does not report an era.
  virtual std::optional<std::uint64_t> Era() const = 0;

  /// Returns the latest configuration by a linearizable read; the same pointer
  /// as the previous call if it has not changed.
  virtual result<std::shared_ptr<const serving::serving_config>> ReadConfig(
      boost::asio::yield_context yield) = 0;
  /// Returns all valid endpoint records, as of the version of the store at
  /// which the listing began. The list may end early (`read_to`).
  virtual result<serving::engine_listing> ListEngines(
      boost::asio::yield_context yield) = 0;

  /// Returns the evacuated zones by a linearizable read. A zone whose entry
  /// cannot be read counts by the entry's name; the name of an entry without
  /// one is empty.
  virtual result<std::set<zone_id>> ListEvacuations(
      boost::asio::yield_context yield) = 0;

  virtual result<serving::lease_record> ReadLease(
      boost::asio::yield_context yield) = 0;
  /// Compare-and-swap: replaces the record if its revision is still
  /// `wanted.revision`; returns the new version.
  virtual result<serving::store_version> WriteLease(
      const serving::lease_record& wanted,
      boost::asio::yield_context yield) = 0;

  virtual result<void> WriteHost(const serving::host_entry& entry,
                                 boost::asio::yield_context yield) = 0;
  virtual result<void> RemoveHost(const host_id& host,
                                  boost::asio::yield_context yield) = 0;
  /// Returns all valid entries. If the list cannot be read to its end, those
  /// behind it are as listed last.
  virtual result<std::vector<serving::host_entry>> ListHosts(
      boost::asio::yield_context yield) = 0;

  /// Returns the stored parts; the answer may be seconds old, and may lack some
  /// if the list cannot be read to its end.
  virtual result<std::vector<serving::stored_part>> ListQuarantined(
      boost::asio::yield_context yield) = 0;
  /// Stores a part; success if it is stored already. `kInvalidArgument`: its id
  /// is too long to be stored.
  virtual result<void> WriteQuarantined(const serving::stored_part& part,
                                        boost::asio::yield_context yield) = 0;
  /// Removes the listed revision of a part; success if it is gone or replaced.
  virtual result<void> RemoveQuarantined(const serving::stored_part& part,
                                         boost::asio::yield_context yield) = 0;

  /// Returns all version tables and stored starts by linearizable reads.
  virtual result<serving::version_listing> ListStreamVersions(
      boost::asio::yield_context yield) = 0;
  /// Compare-and-swap: replaces the table if its revision is still
  /// `table.revision`, or creates it (0); returns the new revision.
  virtual result<std::uint64_t> WriteVersionTable(
      const serving::version_table& table,
      boost::asio::yield_context yield) = 0;
  /// Compare-and-swap, as for tables. After any error the batch may still be
  /// written later.
  virtual result<std::uint64_t> WriteStarts(
      const serving::start_batch& batch, boost::asio::yield_context yield) = 0;
  /// Removes a batch by its name; success if it is gone.
  virtual result<void> RemoveStarts(const std::string& name,
                                    boost::asio::yield_context yield) = 0;
};

}  // namespace bluebell::edge
