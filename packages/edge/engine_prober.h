#pragma once

#include <boost/asio/spawn.hpp>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Opens connections to engines when `engine_reach` asks for it, and logs when
/// this host loses and regains its engines.
class engine_prober {
 public:
  explicit engine_prober(edge_state& host) : host_(host) {}

  /// Runs until the process ends.
  void Run(boost::asio::yield_context yield);

 private:
  void Probe(boost::asio::yield_context yield);

  edge_state& host_;
};

}  // namespace bluebell::edge
