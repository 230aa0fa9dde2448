#pragma once

#include <boost/asio/spawn.hpp>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Keeps the host's copy of the configuration and of the endpoints' records
/// current by reading the store at short intervals.
///
/// Reads, not watches: a watch can be silent for good or hear nothing while
/// the store drops its history, and the age of the newest answered read is
/// what decides whether keys may still be accepted.
class store_sync {
 public:
  explicit store_sync(edge_state& host) : host_(host) {}

  /// Reads the configuration until the process ends.
  void RunConfig(boost::asio::yield_context yield);
  /// Reads the records of endpoints until the process ends.
  void RunEngines(boost::asio::yield_context yield);

 private:
  void OnStoreAnswer(const char* what, bool answered, const std::string& why);
  void Apply(std::shared_ptr<const serving::serving_config> read);
  void Pause(milliseconds span, boost::asio::yield_context yield);

  edge_state& host_;
  bool store_lost_ = false;
  std::shared_ptr<const std::vector<serving::engine_record>> records_;
  bool keeps_missing_ = false;
};

}  // namespace bluebell::edge
