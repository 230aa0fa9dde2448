#include "peer/websocket_peer_network.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "base/address.h"
#include "peer/frame.h"

namespace bluebell::peer {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The answer to the handshake of a dialled connection.
class handshake_response : public websocketpp::http::parser::response {
 public:
  // Rejects an answer that does not begin as the only valid one, before the
  // library converts its status: values that its type cannot hold are undefined
  // behaviour.
  std::size_t consume(const char* data, std::size_t size) {
    constexpr std::string_view kStatusLine = "HTTP/1.1 101 ";
    const auto expected = kStatusLine.substr(checked_, size);
    if (expected != std::string_view(data, expected.size())) {
      throw websocketpp::http::exception(
          "unexpected status line",
          websocketpp::http::status_code::bad_request);
    }
    checked_ += expected.size();
    return response::consume(data, size);
  }

 private:
  // Bytes of the status line that were compared.
  std::size_t checked_ = 0;
};

struct client_config : websocketpp::config::asio_client {
  using type = client_config;
  using response_type = handshake_response;
};

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<client_config>;
using server_connection = server_endpoint::connection_ptr;
using client_connection = client_endpoint::connection_ptr;

// Handshake headers: the id of the dialling host and the id of the intended
// host, so that a host that reuses an address is not taken for its former host.
constexpr char kSenderHeader[] = "X-Bluebell-Host";
constexpr char kTargetHeader[] = "X-Bluebell-Target";

constexpr clock::duration kDialTimeout = seconds(3);
constexpr clock::duration kFirstRedialDelay = milliseconds(100);
constexpr clock::duration kLongestRedialDelay = seconds(1);
constexpr clock::duration kAcceptRetryDelay = milliseconds(100);
// Peers send heartbeats far more often, so a connection that is idle for longer
// belongs to a host that is down.
constexpr clock::duration kInboundIdleLimit = seconds(30);
constexpr clock::duration kInboundSweepInterval = seconds(10);
// Send buffer size of a connection above which further messages are rejected.
constexpr std::size_t kMaxBufferedBytes = 4 * kMaxFrameBytes;

// The websocketpp endpoints. Connections hold references into their endpoint,
// so the handlers of each connection share ownership of it.
struct endpoints {
  server_endpoint server;
  client_endpoint client;
};

template <class Endpoint>
void InitEndpoint(Endpoint& endpoint, boost::asio::io_context& context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.set_max_message_size(kMaxFrameBytes);
  endpoint.init_asio(&context);
}

template <class Connection>
void SetNoDelay(const Connection& connection) {
  error_code ignored;
  connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
}

// Closes the socket at once; pending operations complete with an error.
template <class Connection>
void Abort(const Connection& connection) {
  error_code ignored;
  connection->get_raw_socket().close(ignored);
}

// Sends `data`; false if the send buffer is full or the connection is closed.
template <class Connection>
bool SendFrame(const Connection& connection, const std::string& data) {
  if (connection->get_buffered_amount() > kMaxBufferedBytes) return false;
  return !connection->send(data, websocketpp::frame::opcode::binary);
}

}  // namespace

class websocket_peer_network::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context& context, clock& source, event_log& events,
       host_id self)
      : clock_(source),
        events_(events),
        self_(std::move(self)),
        acceptor_(context),
        endpoints_(std::make_shared<endpoints>()) {
    InitEndpoint(endpoints_->server, context);
    InitEndpoint(endpoints_->client, context);
  }

  result<void> Listen(const tcp::endpoint& address);
  // Closes every connection; no callback runs afterwards.
  void Close();

  void Request(const host_id& to, const std::string& type, const json& body,
               clock::duration timeout, std::function<void(result<json>)> done);
  void SetHandler(const std::string& type, handler on_request) {
    handlers_[type] = std::move(on_request);
  }
  void SetPeerAddress(const host_id& host, const std::string& text,
                      const tcp::endpoint& address);
  std::string listen_address() const;

 private:
  struct pending_request {
    host_id to;
    std::function<void(result<json>)> done;
    timer_handle timer;
    // The encoded frame, until it is sent.
    std::optional<std::string> unsent;
  };

  // One dialled peer.
  struct remote {
    std::string address_text;
    tcp::endpoint address;
    client_connection connection;
    bool open = false;
    // Requests that wait for the connection, oldest first.
    std::deque<std::uint64_t> queue;
    // Unanswered requests sent on the current connection.
    std::set<std::uint64_t> sent;
    // When the first request after the last received message was sent.
    std::optional<clock::time_point> silent_since;
    bool ping_sent = false;
    timer_handle dial_timer;
    timer_handle redial_timer;
    timer_handle silence_timer;
    clock::duration redial_delay = kFirstRedialDelay;
  };

  struct inbound {
    server_connection connection;
    host_id sender;
    clock::time_point last_received;
  };

  void Finish(std::uint64_t id, result<json> outcome);
  void FinishLater(std::uint64_t id, bluebell::error_code code,
                   const char* detail);
  void OnRequestTimeout(std::uint64_t id);

  void SendQueued(const host_id& host);
  void Dial(const host_id& host);
  void SetDialHandlers(const host_id& host, const client_connection& dialled);
  // Returns the peer if `dialled` is still its connection.
  remote* Current(const host_id& host, const client_connection& dialled);
  void OnDialled(const host_id& host, const client_connection& dialled);
  void OnDialEnded(const host_id& host, const client_connection& dialled,
                   const char* reason);
  void DropConnection(const host_id& host, const char* reason);
  void ScheduleRedial(const host_id& host);
  void SendOutgoing(remote& peer, std::uint64_t id);
  void OnAnswer(const host_id& host, const client_connection& dialled,
                const std::string& data, bool binary);
  void OnReceived(remote& peer);
  void ScheduleSilenceCheck(const host_id& host, clock::duration delay);
  void OnSilenceCheck(const host_id& host);

  void Accept();
  void OnAccepted(const server_connection& accepted, const error_code& failure);
  void SetAcceptHandlers(std::uint64_t id, const server_connection& accepted);
  bool ValidateHandshake(const server_connection& accepted);
  void OnRequest(std::uint64_t id, const std::string& data, bool binary);
  void RunHandler(std::uint64_t id, const host_id& sender, frame request);
  void Answer(std::uint64_t connection, std::uint64_t correlation, json body);
  void SweepInbound();

  void RecordMalformed(const host_id& sender, const std::string& reason);

  clock& clock_;
  event_log& events_;
  host_id self_;
  tcp::acceptor acceptor_;
  std::shared_ptr<endpoints> endpoints_;
  std::map<std::string, handler> handlers_;
  std::map<std::uint64_t, pending_request> pending_requests_;
  std::map<host_id, remote> remotes_;
  std::map<std::uint64_t, inbound> inbound_;
  timer_handle accept_timer_;
  timer_handle sweep_timer_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_inbound_ = 1;
  bool closed_ = false;
};

result<void> websocket_peer_network::impl::Listen(
    const tcp::endpoint& address) {
  error_code failure;
  const auto fail = [&address](const char* step, const error_code& cause) {
    return Fail(bluebell::error_code::kUnavailable,
                std::string(step) + " " + address.address().to_string() + ":" +
                    std::to_string(address.port()) + ": " + cause.message());
  };
  acceptor_.open(address.protocol(), failure);
  if (failure) return fail("cannot open", failure);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
  acceptor_.bind(address, failure);
  if (failure) return fail("cannot bind", failure);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections, failure);
  if (failure) return fail("cannot listen on", failure);
  Accept();
  SweepInbound();
  return {};
}

void websocket_peer_network::impl::Close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  pending_requests_.clear();
  for (auto& [host, peer] : remotes_) {
    if (peer.connection) Abort(peer.connection);
  }
  for (auto& [id, entry] : inbound_) Abort(entry.connection);
  remotes_.clear();
  inbound_.clear();
  handlers_.clear();
  accept_timer_.reset();
  sweep_timer_.reset();
}

std::string websocket_peer_network::impl::listen_address() const {
  error_code ignored;
  const auto local = acceptor_.local_endpoint(ignored);
  return local.address().to_string() + ":" + std::to_string(local.port());
}

void websocket_peer_network::impl::Request(
    const host_id& to, const std::string& type, const json& body,
    clock::duration timeout, std::function<void(result<json>)> done) {
  const std::uint64_t id = next_request_++;
  auto& entry = pending_requests_[id];
  entry.to = to;
  entry.done = std::move(done);
  auto data = EncodeFrame({id, type, body});
  if (!data) {
    FinishLater(id, data.error().code, "peer message above 2 MB");
    return;
  }
  const auto found = remotes_.find(to);
  if (found == remotes_.end()) {
    FinishLater(id, bluebell::error_code::kUnavailable, "no address for peer");
    return;
  }
  entry.unsent = std::move(*data);
  entry.timer = clock_.CallAfter(timeout, [this, id] { OnRequestTimeout(id); });
  found->second.queue.push_back(id);
  SendQueued(to);
}

// Ignores requests that have already ended.
void websocket_peer_network::impl::Finish(std::uint64_t id,
                                          result<json> outcome) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return;
  const auto entry = std::move(found->second);
  pending_requests_.erase(found);
  const auto peer = remotes_.find(entry.to);
  if (peer != remotes_.end()) {
    peer->second.sent.erase(id);
    auto& queue = peer->second.queue;
    queue.erase(std::remove(queue.begin(), queue.end(), id), queue.end());
  }
  entry.done(std::move(outcome));
}

// Ends the request asynchronously, because callbacks never run inside
// `Request`.
void websocket_peer_network::impl::FinishLater(std::uint64_t id,
                                               bluebell::error_code code,
                                               const char* detail) {
  pending_requests_[id].timer = clock_.CallAfter(
      {}, [this, id, code, detail] { Finish(id, Fail(code, detail)); });
}

void websocket_peer_network::impl::OnRequestTimeout(std::uint64_t id) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return;
  if (found->second.unsent) {
    Finish(id, Fail(bluebell::error_code::kUnavailable, "peer not reachable"));
  } else {
    Finish(id, Fail(bluebell::error_code::kTimeout, "no answer from peer"));
  }
}

void websocket_peer_network::impl::SetPeerAddress(
    const host_id& host, const std::string& text,
    const tcp::endpoint& address) {
  auto& peer = remotes_[host];
  if (peer.address_text == text) return;
  const bool changed = !peer.address_text.empty();
  peer.address_text = text;
  peer.address = address;
  if (changed) DropConnection(host, "address changed");
  SendQueued(host);
}

// Sends the queued requests, or dials the host if it is not connected.
void websocket_peer_network::impl::SendQueued(const host_id& host) {
  auto& peer = remotes_[host];
  if (!peer.open) {
    const bool busy = peer.connection || peer.redial_timer;
    if (!busy && !peer.queue.empty()) Dial(host);
    return;
  }
  while (peer.open && !peer.queue.empty()) {
    const std::uint64_t id = peer.queue.front();
    peer.queue.pop_front();
    SendOutgoing(peer, id);
  }
  if (peer.silent_since && !peer.silence_timer) {
    ScheduleSilenceCheck(host, kSilenceLimit / 2);
  }
}

void websocket_peer_network::impl::SendOutgoing(remote& peer,
                                                std::uint64_t id) {
  auto& entry = pending_requests_.at(id);
  if (!SendFrame(peer.connection, *entry.unsent)) {
    FinishLater(id, bluebell::error_code::kUnavailable, "peer reads slowly");
    return;
  }
  entry.unsent.reset();
  peer.sent.insert(id);
  if (!peer.silent_since) peer.silent_since = clock_.now();
}

void websocket_peer_network::impl::Dial(const host_id& host) {
  auto& peer = remotes_[host];
  peer.redial_timer.reset();
  std::error_code failure;
  const client_connection dialled = endpoints_->client.get_connection(
      "ws://" + peer.address_text + "/peer", failure);
  if (failure) {
    ScheduleRedial(host);
    return;
  }
  dialled->append_header(kSenderHeader, self_.value());
  if (host.value() != peer.address_text) {
    dialled->append_header(kTargetHeader, host.value());
  }
  SetDialHandlers(host, dialled);
  peer.connection = dialled;
  peer.dial_timer = clock_.CallAfter(kDialTimeout, [this, host, dialled] {
    OnDialEnded(host, dialled, "dial timed out");
  });
  // Connects the socket directly, because websocketpp's own connect starts a
  // resolver thread even for numeric addresses.
  dialled->get_raw_socket().async_connect(
      peer.address, [weak = weak_from_this(), host, dialled,
                     endpoints_owner = endpoints_](const error_code& cause) {
        const auto self = weak.lock();
        if (!self || !self->Current(host, dialled)) return;
        if (cause) {
          self->OnDialEnded(host, dialled, "dial failed");
          return;
        }
        SetNoDelay(dialled);
        dialled->start();
      });
}

void websocket_peer_network::impl::SetDialHandlers(
    const host_id& host, const client_connection& dialled) {
  const auto weak = weak_from_this();
  const auto endpoints_owner = endpoints_;
  const std::weak_ptr<client_connection::element_type> weak_connection =
      dialled;
  const auto guard = [weak, endpoints_owner, host,
                      weak_connection](auto action) {
    return [weak, endpoints_owner, host, weak_connection,
            action](auto&&... arguments) {
      const auto self = weak.lock();
      const auto connection = weak_connection.lock();
      if (self && connection) action(*self, connection, arguments...);
    };
  };
  dialled->set_open_handler(
      guard([host](impl& self, const client_connection& connection, auto&&...) {
        self.OnDialled(host, connection);
      }));
  const auto on_end =
      guard([host](impl& self, const client_connection& connection, auto&&...) {
        self.OnDialEnded(host, connection, "closed by peer");
      });
  dialled->set_fail_handler(on_end);
  dialled->set_close_handler(on_end);
  dialled->set_pong_handler(
      guard([host](impl& self, const client_connection& connection, auto&&...) {
        if (auto* peer = self.Current(host, connection)) self.OnReceived(*peer);
      }));
  dialled->set_message_handler(guard([host](impl& self,
                                            const client_connection& connection,
                                            auto&&, const auto& message) {
    self.OnAnswer(host, connection, message->get_payload(),
                  message->get_opcode() == websocketpp::frame::opcode::binary);
  }));
}

websocket_peer_network::impl::remote* websocket_peer_network::impl::Current(
    const host_id& host, const client_connection& dialled) {
  const auto found = remotes_.find(host);
  if (found == remotes_.end()) return nullptr;
  return found->second.connection == dialled ? &found->second : nullptr;
}

void websocket_peer_network::impl::OnDialled(const host_id& host,
                                             const client_connection& dialled) {
  auto* const peer = Current(host, dialled);
  if (!peer) return;
  peer->open = true;
  peer->dial_timer.reset();
  peer->redial_delay = kFirstRedialDelay;
  events_.Record(event_id::kPeerConnected,
                 {{"peer", host.value()}, {"address", peer->address_text}});
  SendQueued(host);
}

void websocket_peer_network::impl::OnDialEnded(const host_id& host,
                                               const client_connection& dialled,
                                               const char* reason) {
  const auto* const peer = Current(host, dialled);
  if (!peer) return;
  DropConnection(host, reason);
  if (!peer->queue.empty()) ScheduleRedial(host);
}

// Fails the requests that were sent on the connection, because their answers
// can no longer arrive; unsent requests stay queued.
void websocket_peer_network::impl::DropConnection(const host_id& host,
                                                  const char* reason) {
  auto& peer = remotes_[host];
  if (!peer.connection) return;
  if (peer.open) {
    events_.Record(event_id::kPeerConnectionLost,
                   {{"peer", host.value()}, {"reason", reason}});
  }
  Abort(peer.connection);
  peer.connection.reset();
  peer.open = false;
  peer.silent_since.reset();
  peer.ping_sent = false;
  peer.dial_timer.reset();
  peer.silence_timer.reset();
  for (const auto id : std::exchange(peer.sent, {})) {
    FinishLater(id, bluebell::error_code::kTimeout, "connection to peer lost");
  }
}

void websocket_peer_network::impl::ScheduleRedial(const host_id& host) {
  auto& peer = remotes_[host];
  if (peer.redial_timer) return;
  peer.redial_timer =
      clock_.CallAfter(peer.redial_delay, [this, host] { Dial(host); });
  peer.redial_delay = std::min(peer.redial_delay * 2, kLongestRedialDelay);
}

void websocket_peer_network::impl::OnAnswer(const host_id& host,
                                            const client_connection& dialled,
                                            const std::string& data,
                                            bool binary) {
  auto* const peer = Current(host, dialled);
  if (!peer) return;
  auto answer = binary ? DecodeFrame(data)
                       : Fail(bluebell::error_code::kInvalidArgument, "text");
  if (!answer || !answer->type.empty()) {
    RecordMalformed(host, answer ? "request on a dialled connection"
                                 : answer.error().detail);
    OnDialEnded(host, dialled, "malformed frame");
    return;
  }
  const bool awaited = peer->sent.erase(answer->correlation) != 0;
  OnReceived(*peer);
  if (awaited) Finish(answer->correlation, std::move(answer->body));
}

void websocket_peer_network::impl::OnReceived(remote& peer) {
  peer.ping_sent = false;
  peer.silent_since.reset();
  if (!peer.sent.empty()) peer.silent_since = clock_.now();
}

void websocket_peer_network::impl::ScheduleSilenceCheck(const host_id& host,
                                                        clock::duration delay) {
  remotes_[host].silence_timer =
      clock_.CallAfter(delay, [this, host] { OnSilenceCheck(host); });
}

// A WebSocket ping after half the limit distinguishes a dead connection from a
// slow request handler.
void websocket_peer_network::impl::OnSilenceCheck(const host_id& host) {
  auto& peer = remotes_[host];
  peer.silence_timer.reset();
  if (!peer.open || !peer.silent_since) return;
  const auto silent = clock_.now() - *peer.silent_since;
  if (silent >= kSilenceLimit) {
    DropConnection(host, "silent");
    Dial(host);
    return;
  }
  if (!peer.ping_sent && silent >= kSilenceLimit / 2) {
    peer.ping_sent = true;
    std::error_code ignored;
    peer.connection->ping("", ignored);
  }
  const auto next =
      (peer.ping_sent ? kSilenceLimit : kSilenceLimit / 2) - silent;
  ScheduleSilenceCheck(host, next);
}

void websocket_peer_network::impl::Accept() {
  const auto accepted = endpoints_->server.get_connection();
  acceptor_.async_accept(
      accepted->get_raw_socket(),
      [weak = weak_from_this(), accepted,
       endpoints_owner = endpoints_](const error_code& failure) {
        const auto self = weak.lock();
        if (self && !self->closed_) self->OnAccepted(accepted, failure);
      });
}

// Retries a failed accept, for example without free file descriptors, after a
// delay, because an immediate retry would fail again.
void websocket_peer_network::impl::OnAccepted(const server_connection& accepted,
                                              const error_code& failure) {
  if (failure) {
    accept_timer_ = clock_.CallAfter(kAcceptRetryDelay, [this] { Accept(); });
    return;
  }
  SetNoDelay(accepted);
  SetAcceptHandlers(next_inbound_++, accepted);
  accepted->start();
  Accept();
}

void websocket_peer_network::impl::SetAcceptHandlers(
    std::uint64_t id, const server_connection& accepted) {
  const auto weak = weak_from_this();
  const auto endpoints_owner = endpoints_;
  const std::weak_ptr<server_connection::element_type> weak_connection =
      accepted;
  accepted->set_validate_handler(
      [weak, endpoints_owner, weak_connection](auto&&) {
        const auto self = weak.lock();
        const auto connection = weak_connection.lock();
        return self && connection && self->ValidateHandshake(connection);
      });
  accepted->set_open_handler([weak, weak_connection, id](auto&&) {
    const auto self = weak.lock();
    const auto connection = weak_connection.lock();
    if (!self || !connection || self->closed_) return;
    self->inbound_[id] = {
        connection, host_id(connection->get_request_header(kSenderHeader)),
        self->clock_.now()};
  });
  accepted->set_close_handler([weak, id](auto&&) {
    if (const auto self = weak.lock()) self->inbound_.erase(id);
  });
  accepted->set_ping_handler([weak, id](auto&&...) {
    const auto self = weak.lock();
    if (!self) return false;
    const auto found = self->inbound_.find(id);
    if (found == self->inbound_.end()) return false;
    found->second.last_received = self->clock_.now();
    return true;
  });
  accepted->set_message_handler([weak, id](auto&&, const auto& message) {
    if (const auto self = weak.lock()) {
      self->OnRequest(
          id, message->get_payload(),
          message->get_opcode() == websocketpp::frame::opcode::binary);
    }
  });
}

// Rejects a handshake without a sender or for another target host.
bool websocket_peer_network::impl::ValidateHandshake(
    const server_connection& accepted) {
  const auto& target = accepted->get_request_header(kTargetHeader);
  if (accepted->get_request_header(kSenderHeader).empty()) {
    accepted->set_status(websocketpp::http::status_code::bad_request);
    return false;
  }
  if (!target.empty() && target != self_.value()) {
    accepted->set_status(websocketpp::http::status_code::not_found);
    return false;
  }
  return !closed_;
}

void websocket_peer_network::impl::OnRequest(std::uint64_t id,
                                             const std::string& data,
                                             bool binary) {
  const auto found = inbound_.find(id);
  if (found == inbound_.end()) return;
  found->second.last_received = clock_.now();
  const host_id sender = found->second.sender;
  auto request = binary ? DecodeFrame(data)
                        : Fail(bluebell::error_code::kInvalidArgument, "text");
  std::string malformed_reason;
  if (!request) {
    malformed_reason = request.error().detail;
  } else if (request->type.empty()) {
    malformed_reason = "answer on an accepted connection";
  } else {
    try {
      RunHandler(id, sender, std::move(*request));
      return;
    } catch (const json::exception& failure) {
      malformed_reason = failure.what();
    }
  }
  RecordMalformed(sender, malformed_reason);
  const auto current = inbound_.find(id);
  if (current == inbound_.end()) return;
  const auto connection = current->second.connection;
  inbound_.erase(current);
  std::error_code ignored;
  connection->close(websocketpp::close::status::protocol_error, "", ignored);
}

void websocket_peer_network::impl::RunHandler(std::uint64_t id,
                                              const host_id& sender,
                                              frame request) {
  const auto found = handlers_.find(request.type);
  // Requests of a type unknown to this version get no answer.
  if (found == handlers_.end()) return;
  const auto call = found->second;
  call(sender, request.body,
       [weak = weak_from_this(), id,
        correlation = request.correlation](json body) {
         const auto self = weak.lock();
         if (self) self->Answer(id, correlation, std::move(body));
       });
}

void websocket_peer_network::impl::Answer(std::uint64_t connection,
                                          std::uint64_t correlation,
                                          json body) {
  const auto found = inbound_.find(connection);
  if (found == inbound_.end()) return;
  const auto data = EncodeFrame({correlation, {}, std::move(body)});
  if (!data) {
    RecordMalformed(self_, data.error().detail);
    return;
  }
  SendFrame(found->second.connection, *data);
}

void websocket_peer_network::impl::SweepInbound() {
  const auto now = clock_.now();
  for (auto next = inbound_.begin(); next != inbound_.end();) {
    const auto entry = next++;
    if (now - entry->second.last_received <= kInboundIdleLimit) continue;
    Abort(entry->second.connection);
    inbound_.erase(entry);
  }
  sweep_timer_ =
      clock_.CallAfter(kInboundSweepInterval, [this] { SweepInbound(); });
}

void websocket_peer_network::impl::RecordMalformed(const host_id& sender,
                                                   const std::string& reason) {
  events_.Record(event_id::kPeerFrameRejected,
                 {{"peer", sender.value()}, {"reason", reason}});
}

result<std::unique_ptr<websocket_peer_network>> websocket_peer_network::Create(
    boost::asio::io_context& context, clock& source, event_log& events,
    const host_id& self, const std::string& listen_address) {
  if (self.value().empty()) {
    return Fail(bluebell::error_code::kInvalidArgument, "empty host id");
  }
  const auto address = ParseAddress(listen_address);
  if (!address) return tl::unexpected<error>(address.error());
  auto core = std::make_shared<impl>(context, source, events, self);
  if (const auto listening = core->Listen(*address); !listening) {
    return tl::unexpected<error>(listening.error());
  }
  return std::unique_ptr<websocket_peer_network>(
      new websocket_peer_network(std::move(core)));
}

websocket_peer_network::websocket_peer_network(std::shared_ptr<impl> core)
    : impl_(std::move(core)) {}

websocket_peer_network::~websocket_peer_network() { impl_->Close(); }

void websocket_peer_network::Request(
    const host_id& to, const std::string& type, const nlohmann::json& body,
    clock::duration timeout, std::function<void(result<nlohmann::json>)> done) {
  impl_->Request(to, type, body, timeout, std::move(done));
}

void websocket_peer_network::SetHandler(const std::string& type,
                                        handler on_request) {
  impl_->SetHandler(type, std::move(on_request));
}

result<void> websocket_peer_network::SetPeerAddress(
    const host_id& host, const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (!parsed) return tl::unexpected<error>(parsed.error());
  impl_->SetPeerAddress(host, address, *parsed);
  return {};
}

std::string websocket_peer_network::listen_address() const {
  return impl_->listen_address();
}

}  // namespace bluebell::peer
