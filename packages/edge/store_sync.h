#pragma once

#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/edge_state.h"
#include "serving/engine_record.h"
#include "serving/record_log.h"
#include "serving/sync_messages.h"

namespace bluebell::edge {

/// Keeps the host's copies of the configuration and the endpoint records
/// current.
///
/// A few hosts, the store readers, poll the store at short intervals; the
/// others follow one of them and read the store only for a new configuration
/// version or if no reader responds. Polling is used instead of watches,
/// because a watch can hang forever or miss changes when the store compacts its
/// history, and the age of the last successful read decides whether keys are
/// still accepted.
class store_sync {
 public:
  explicit store_sync(edge_state& host)
      : host_(host),
        log_(host.settings.id.value() + host.incarnation),
        reader_index_(host.random()) {}

  /// Keeps the configuration current until the process ends.
  void RunConfig(boost::asio::yield_context yield);
  /// Keeps the endpoint records current until the process ends.
  void RunEngines(boost::asio::yield_context yield);
  /// Requests changes from a store reader until the process ends.
  void RunFollow(boost::asio::yield_context yield);

  /// Sends an encoded sync request to a host's digest address.
  std::function<void(const std::string& address, const std::string& bytes)>
      send_request;
  /// Returns the response to another host's sync request; none if this host has
  /// no recent data from the store.
  std::optional<std::string> RespondToSync(std::string_view bytes);
  void OnSyncResponse(std::string_view bytes);
  /// Another host knows of this version of the configuration.
  void OnPeerConfig(std::uint64_t version);
  /// Newest version of the configuration that this host knows of; 0 before the
  /// first.
  std::uint64_t NewestConfig() const;

 private:
  bool IsStoreReader() const;
  void SendSyncRequest();
  bool HasNewestConfig() const;
  // Returns the time until the next read.
  milliseconds ReadConfig(boost::asio::yield_context yield);
  // Waits until other hosts had the time to report the newest version.
  void AwaitPeers(boost::asio::yield_context yield);
  void LogConfigNotRead(const std::string& why);
  /// Time since the configuration was known to be current; empty if never.
  std::string ConfigAgeText() const;
  void OnStoreRead(const char* what, clock::time_point sent, bool answered,
                   const std::string& why);
  // `era` was reported by the store or by another host.
  void OnEra(std::uint64_t era);
  void ApplyConfig(std::shared_ptr<const serving::serving_config> read);
  // Where records come from: this host's own reads, or a reader's log.
  struct record_source {
    // "store", or the host that is followed.
    std::string name;
    std::string log;
    std::uint64_t position = 0;
  };

  // Whether records from `source` as of `version`, which were read at
  // `read_at`, replace those in effect; not if they are older or unchanged.
  bool Supersede(const record_source& source,
                 const serving::store_version& version,
                 clock::time_point read_at);
  // The records of a listing and, if it is not whole, those in effect of
  // endpoints behind its end.
  std::shared_ptr<const std::vector<serving::engine_record>> WithUnread(
      const serving::engine_listing& listing) const;
  // Lists the evacuated zones; returns whether this succeeded.
  bool ReadEvacuations(boost::asio::yield_context yield);
  void ApplyEvacuations(std::set<zone_id> zones, clock::time_point read_at);
  void LogEvacuations();
  // Whether this host asks a store reader for what it cannot read itself.
  bool Follows() const;
  void LogKeptRecords();
  milliseconds TimeToNextListing() const;
  milliseconds RetryInterval() const;

  edge_state& host_;
  bool store_lost_ = false;
  /// Consecutive failed reads.
  int store_failures_ = 0;
  /// Records that this host read from the store itself.
  serving::record_log log_;
  bool reads_store_ = false;
  /// The last listing of the evacuated zones failed.
  bool evacuations_failed_ = false;
  clock::time_point store_read_at_;
  /// Records that this host received from a store reader.
  serving::record_follower follower_;
  std::string followed_host_;
  std::string followed_log_;
  /// Selects the store reader to follow.
  std::uint64_t reader_index_;
  clock::time_point response_at_;
  std::uint64_t request_number_ = 0;
  clock::time_point request_sent_at_;
  clock::time_point records_at_;
  /// As reported by other hosts.
  std::uint64_t newest_version_ = 0;
  record_source applied_;
  /// The last records were of an earlier version.
  bool ignored_ = false;
  std::string kept_;
};

}  // namespace bluebell::edge
