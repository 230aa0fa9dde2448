#pragma once

#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "edge/edge_state.h"
#include "serving/room_ledger.h"

namespace bluebell::edge {

/// Room for one request at an engine of a brittle service. It is given back at
/// the end of its life.
class room_lease {
 public:
  explicit room_lease(std::function<void(const serving::room_outcome&)> release)
      : release_(std::move(release)) {}
  ~room_lease() { release_(outcome); }
  room_lease(const room_lease&) = delete;
  room_lease& operator=(const room_lease&) = delete;

  /// How the request ended.
  serving::room_outcome outcome;

 private:
  std::function<void(const serving::room_outcome&)> release_;
};

/// Gets room at engines of brittle services from the hosts that own it, and
/// grants the room that this host owns (`serving::room_ledger`).
class room_exchange {
 public:
  explicit room_exchange(edge_state& host) : host_(host), ledger_(host.time) {}

  /// Room for a request at `engine`; null if there is none within `wait`. An
  /// owner that does not answer grants none.
  std::unique_ptr<room_lease> Take(const endpoint_id& engine, int urgency,
                                   clock::duration wait,
                                   boost::asio::yield_context yield);
  /// Ends the waits of queued requests until the process ends.
  void Run(boost::asio::yield_context yield);

  void HandleRequest(std::string_view bytes, const std::string& from);
  void HandleResponse(std::string_view bytes);
  void HandleRelease(std::string_view bytes, const std::string& from);
  /// Requests in flight of the host with this digest address.
  void OnInFlight(const std::string& from,
                  const std::map<endpoint_id, int>& in_flight) {
    ledger_.OnInFlight(from, in_flight);
  }
  void OnHostGone(const std::string& address) { ledger_.OnHolderGone(address); }

  /// Send a datagram to an address.
  std::function<void(const std::string& address, const std::string& bytes)>
      send_request;
  std::function<void(const std::string& address, const std::string& bytes)>
      send_response;
  std::function<void(const std::string& address, const std::string& bytes)>
      send_release;

 private:
  serving::engine_room RoomOf(const endpoint_id& engine) const;
  serving::room_answer AskOwn(const serving::room_request& request);
  void Release(const std::string& owner, const endpoint_id& engine,
               std::uint64_t number, const serving::room_outcome& outcome);
  void AnswerDecided();

  edge_state& host_;
  serving::room_ledger ledger_;
  std::uint64_t number_ = 0;
  /// Requests that wait for their answer.
  std::map<std::uint64_t, std::optional<serving::room_answer>> waiting_;
  /// Owners that did not answer are not asked until then.
  std::map<std::string, clock::time_point> silent_until_;
};

}  // namespace bluebell::edge
