#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "base/result.h"
#include "peer/peer_network.h"

namespace bluebell::peer {

/// Peer messages over WebSocket connections with CBOR frames.
///
/// Each host dials every peer that it sends requests to; answers return over
/// the same connection. A request waits for the dial until its own timeout.
/// A connection that receives nothing for `kSilenceLimit` after a request was
/// sent is closed and dialled again. Besides the errors of `peer_network`,
/// a request ends with `kTooLarge` if its frame exceeds 2 MB (nothing was
/// sent).
class websocket_peer_network final : public peer_network {
 public:
  static constexpr clock::duration kSilenceLimit = std::chrono::seconds(3);

  /// Listens on `listen_address` (`IPv4:port`; port 0 takes a free one). The
  /// arguments must outlive the network; the context must not run after the
  /// clock or the event log was destroyed. Errors: `kInvalidArgument`,
  /// `kUnavailable` (the address is in use).
  static result<std::unique_ptr<websocket_peer_network>> Create(
      boost::asio::io_context& context, clock& source, event_log& events,
      const host_id& self, const std::string& listen_address);
  ~websocket_peer_network() override;

  void Request(const host_id& to, const std::string& type,
               const nlohmann::json& body, clock::duration timeout,
               std::function<void(result<nlohmann::json>)> done) override;
  void SetHandler(const std::string& type, handler on_request) override;

  /// Sets or changes the address (`IPv4:port`) under which `host` is dialled.
  /// An id that equals the address matches any host that listens there; any
  /// other id must match the id of the host that accepts the connection.
  /// Fails with `kInvalidArgument` if the address is malformed.
  result<void> SetPeerAddress(const host_id& host, const std::string& address);

  /// The address on which this host listens, with the actual port.
  std::string listen_address() const;

 private:
  class impl;
  explicit websocket_peer_network(std::shared_ptr<impl> core);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell::peer
