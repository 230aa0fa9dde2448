#pragma once

#include <boost/asio/spawn.hpp>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Carries out what `stream_versions` decides: lists the store, writes tables,
/// stores the starts of streams, and removes those that have expired.
class version_sync {
 public:
  explicit version_sync(edge_state& host) : host_(host) {}

  /// Run until the process ends.
  void RunTables(boost::asio::yield_context yield);
  void RunStarts(boost::asio::yield_context yield);

 private:
  bool Cleans() const { return host_.directory.Rank() == 0; }
  // Return false if a call to the store failed.
  bool List(boost::asio::yield_context yield);
  bool WriteTable(boost::asio::yield_context yield);
  void RemoveExpired(boost::asio::yield_context yield);

  edge_state& host_;
  /// Since when a table has to be written.
  std::optional<clock::time_point> table_wanted_since_;
  bool list_failed_ = false;
};

}  // namespace bluebell::edge
