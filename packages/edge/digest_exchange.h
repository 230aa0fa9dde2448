#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "edge/edge_state.h"
#include "edge/room_exchange.h"
#include "edge/start_exchange.h"
#include "edge/store_sync.h"
#include "serving/host_digest.h"

namespace bluebell::edge {

/// Exchanges digests with the other hosts over UDP, and carries the requests
/// and responses of `store_sync`.
///
/// UDP is used because each digest supersedes the previous one, so a lost one
/// needs no retransmission, and no connection can hang. `host_directory`
/// decides which hosts exchange digests; the interval grows with the number of
/// engaged hosts.
class digest_exchange {
 public:
  static result<std::unique_ptr<digest_exchange>> Create(edge_state& host,
                                                         store_sync& sync,
                                                         start_exchange& starts,
                                                         room_exchange& room);

  /// Receives datagrams until the process ends.
  void RunReceive(boost::asio::yield_context yield);
  /// Sends digests until the process ends.
  void RunSend(boost::asio::yield_context yield);
  /// Reads the list of hosts from the store and registers this host in it.
  void RunHostListing(boost::asio::yield_context yield);

  /// Notifies the placement lease holder at once that a request waits for an
  /// adapter.
  void SendAdapterRequest(const serving::adapter_request& request);
  /// Sends a residency change to the hosts that get each digest; called by the
  /// placement lease holder.
  void SendNotice(const serving::residency_notice& notice);
  /// Requests a permit from the engine's permit owner, which may be this host.
  /// Denied if the owner does not answer in time.
  serving::send_permit AskPermit(const endpoint_id& engine,
                                 boost::asio::yield_context yield);
  /// Sends a digest to every known host immediately.
  void SendToEveryHost() { SendDigests(true); }

  /// Returns the recent residency changes that this host made as the placement
  /// lease holder, for its digests.
  std::function<std::vector<serving::residency_notice>()> notices;
  /// Called for each adapter request while this host is the placement lease
  /// holder.
  std::function<void(const serving::adapter_request&)> on_adapter_request;
  /// Demand reported by the other hosts, by host.
  const std::map<host_id, std::vector<serving::model_rate>>& demand() const {
    return demand_;
  }

 private:
  digest_exchange(edge_state& host, store_sync& sync, start_exchange& starts,
                  room_exchange& room, boost::asio::ip::udp::socket socket);

  // Receives a datagram that has already arrived; none if there is none.
  std::optional<std::size_t> TryReceive(boost::asio::ip::udp::endpoint& from);
  void HandleDatagram(std::size_t count,
                      const boost::asio::ip::udp::endpoint& from);
  serving::host_digest BuildDigest();
  void HandleDigest(std::string_view bytes, const std::string& from);
  void SendTo(const std::string& address, char tag, const std::string& bytes);
  void HandlePermitRequest(std::string_view bytes, const std::string& from);
  // Takes a permit here. Denied for a cold engine whose permit owner is another
  // host.
  serving::send_permit Grant(const endpoint_id& engine);
  void HandlePermitResponse(std::string_view bytes);
  serving::host_digest BuildPartialDigest() const;
  void SendDigests(bool every_host);
  void UpdateRole();
  // Whether the next digest goes to every known host.
  bool IsBroadcastDue();
  milliseconds Interval() const;
  void WaitForNextDigest(milliseconds interval,
                         boost::asio::yield_context yield);

  edge_state& host_;
  store_sync& sync_;
  start_exchange& starts_;
  room_exchange& room_;
  boost::asio::ip::udp::socket socket_;
  std::array<char, 65536> received_;
  std::uint64_t sequence_ = 0;
  /// Digests that go to every host because this host's role has changed.
  int role_broadcasts_ = 0;
  clock::time_point next_broadcast_;
  /// For the rate of requests from callers.
  std::uint64_t requests_counted_ = 0;
  clock::time_point requests_counted_at_;
  clock::time_point in_use_until_;
  std::map<host_id, std::vector<serving::model_rate>> demand_;
  std::uint64_t permit_number_ = 0;
  /// Requests for permits that wait for their response.
  std::map<std::uint64_t, std::optional<serving::send_permit>> permits_;
  /// When the placement lease holder was last sent a request for an adapter.
  std::map<std::pair<model_id, adapter_id>, clock::time_point>
      adapter_requests_sent_;
};

}  // namespace bluebell::edge
