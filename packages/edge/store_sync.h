#pragma once

#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>

#include "edge/edge_state.h"
#include "serving/record_log.h"
#include "serving/sync_messages.h"

namespace bluebell::edge {

/// Keeps the host's copy of the configuration and of the endpoints' records
/// current.
///
/// A few hosts read the store at short intervals; the others follow one of
/// them and read the store only for a new version, or when no reader answers.
/// Reads, not watches: a watch can be silent for good or hear nothing while
/// the store drops its history, and the age of the newest answered read is
/// what decides whether keys may still be accepted.
class store_sync {
 public:
  explicit store_sync(edge_state& host)
      : host_(host),
        log_(host.settings.id.value() + host.incarnation),
        reader_(host.random()) {}

  /// Keeps the configuration current until the process ends.
  void RunConfig(boost::asio::yield_context yield);
  /// Keeps the records of endpoints current until the process ends.
  void RunEngines(boost::asio::yield_context yield);
  /// Asks a reader for changes until the process ends.
  void RunFollow(boost::asio::yield_context yield);

  /// Sends a question to a host's digest address.
  std::function<void(const std::string& address, const std::string& bytes)>
      send_question;
  /// The answer to another host's question; none if this host does not read.
  std::optional<std::string> Answer(std::string_view question);
  void OnAnswer(std::string_view bytes);

 private:
  bool IsReader() const;
  void Ask();
  void ReadConfig(boost::asio::yield_context yield);
  void OnStoreAnswer(const char* what, bool answered, const std::string& why);
  void Apply(std::shared_ptr<const serving::serving_config> read);
  void ApplyRecords(std::vector<serving::engine_record> records);
  milliseconds RetryPause() const;

  edge_state& host_;
  bool store_lost_ = false;
  /// Reads that failed since the last answer.
  int store_failures_ = 0;
  /// What this host read itself.
  serving::record_log log_;
  bool reads_ = false;
  clock::time_point read_at_;
  /// What it follows.
  serving::record_follower follower_;
  std::string followed_log_;
  /// Which of the readers is asked.
  std::uint64_t reader_;
  clock::time_point answered_at_;
  std::uint64_t question_ = 0;
  clock::time_point asked_at_;
  clock::time_point records_at_;
  std::uint64_t newest_version_ = 0;
};

}  // namespace bluebell::edge
