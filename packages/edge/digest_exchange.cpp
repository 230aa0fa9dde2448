#include "edge/digest_exchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <set>

#include "base/address.h"
#include "edge/engine_statements.h"
#include "edge/pause.h"
#include "serving/permit_messages.h"

namespace bluebell::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using failure = boost::system::error_code;

// Datagrams that are handled in one round of the event loop. With one in each,
// the answers of store readers would wait behind the digests of other hosts for
// many rounds at a host with many open connections.
constexpr int kDatagramsPerRound = 32;
// Interval per host in the fleet: each host receives about a hundred digests
// per second at any fleet size within the limits below.
constexpr milliseconds kIntervalPerHost{10};
constexpr milliseconds kMinInterval{200};
constexpr milliseconds kMaxInterval{900};
// Digests of all hosts arrive within the longest interval after startup.
constexpr milliseconds kStartupPeriod{2000};
constexpr milliseconds kStartupQuotaInterval{100};
// The list of hosts changes only when hosts are added or replaced, and a new
// host makes itself known by its digests.
constexpr milliseconds kListInterval{30000};
constexpr milliseconds kListRetry{300};
// Entries of hosts that start at the same time appear within this time, also in
// a read that may be seconds old.
constexpr milliseconds kListSettling{4000};
// A change of role is sent this many times, since a datagram may be lost.
constexpr int kRoleBroadcasts = 2;
// Engaged hosts make themselves known to every host in this interval, drawn
// anew each time so that the hosts do not send at the same moment.
constexpr int kMinBroadcastMilliseconds = 4000;
constexpr int kMaxBroadcastMilliseconds = 6000;
// Hosts of the ranking that do work for the fleet: the store readers and the
// one that would replace a lost one.
constexpr int kFleetWorkers = 4;
// A standby host counts as in use for a while if callers sent it at least this
// many requests within a period; single requests that test a host stay below.
constexpr milliseconds kInUsePeriod{2000};
constexpr std::uint64_t kInUseRequests = 8;
constexpr milliseconds kInUseExtension{3000};
// Message type: the first byte of a datagram.
constexpr char kDigestTag = 'D';
constexpr char kSyncRequestTag = 'Q';
constexpr char kSyncResponseTag = 'A';
constexpr char kPermitRequestTag = 'P';
constexpr char kPermitResponseTag = 'G';
constexpr char kStartReportTag = 'S';
constexpr char kStartQueryTag = 'W';
constexpr char kRoomRequestTag = 'R';
constexpr char kRoomResponseTag = 'O';
constexpr char kRoomReleaseTag = 'E';
// A permit owner answers within a round trip of a few milliseconds.
constexpr milliseconds kPermitTimeout{100};
// A lost adapter request is sent again by the requests waiting for the adapter.
constexpr milliseconds kAdapterRequestInterval{80};

}  // namespace

result<std::unique_ptr<digest_exchange>> digest_exchange::Create(
    edge_state& host, store_sync& sync, start_exchange& starts,
    room_exchange& room) {
  const auto address = ParseAddress(host.settings.digest_listen);
  if (!address) return tl::unexpected(address.error());
  udp::socket socket(host.io);
  failure ec;
  socket.open(udp::v4(), ec);
  if (!ec) {
    socket.bind(udp::endpoint(address->address(), address->port()), ec);
  }
  if (ec) {
    return Fail(error_code::kUnavailable,
                host.settings.digest_listen + ": " + ec.message());
  }
  return std::unique_ptr<digest_exchange>(
      new digest_exchange(host, sync, starts, room, std::move(socket)));
}

digest_exchange::digest_exchange(edge_state& host, store_sync& sync,
                                 start_exchange& starts, room_exchange& room,
                                 udp::socket socket)
    : host_(host),
      sync_(sync),
      starts_(starts),
      room_(room),
      socket_(std::move(socket)) {
  sync_.send_request = [this](const auto& address, const auto& bytes) {
    SendTo(address, kSyncRequestTag, bytes);
  };
  starts_.send_report = [this](const auto& address, const auto& bytes) {
    SendTo(address, kStartReportTag, bytes);
  };
  starts_.send_query = [this](const auto& address, const auto& bytes) {
    SendTo(address, kStartQueryTag, bytes);
  };
  room_.send_request = [this](const auto& address, const auto& bytes) {
    SendTo(address, kRoomRequestTag, bytes);
  };
  room_.send_response = [this](const auto& address, const auto& bytes) {
    SendTo(address, kRoomResponseTag, bytes);
  };
  room_.send_release = [this](const auto& address, const auto& bytes) {
    SendTo(address, kRoomReleaseTag, bytes);
  };
}

void digest_exchange::RunReceive(asio::yield_context yield) {
  while (true) {
    udp::endpoint from;
    failure ec;
    const std::size_t count =
        socket_.async_receive_from(asio::buffer(received_), from, yield[ec]);
    if (ec == asio::error::operation_aborted) return;
    // An ICMP error from an unreachable peer is reported by the next receive;
    // the socket remains usable.
    if (!ec) HandleDatagram(count, from);
    for (int i = 1; i < kDatagramsPerRound; ++i) {
      const auto next = TryReceive(from);
      if (!next) break;
      HandleDatagram(*next, from);
    }
  }
}

std::optional<std::size_t> digest_exchange::TryReceive(udp::endpoint& from) {
  auto address_size = static_cast<socklen_t>(from.capacity());
  const auto count =
      ::recvfrom(socket_.native_handle(), received_.data(), received_.size(),
                 MSG_DONTWAIT, from.data(), &address_size);
  if (count < 0) return std::nullopt;
  from.resize(address_size);
  return static_cast<std::size_t>(count);
}

void digest_exchange::HandleDatagram(std::size_t count,
                                     const udp::endpoint& from) {
  if (count == 0) return;
  const std::string_view bytes(received_.data() + 1, count - 1);
  const std::string sender =
      from.address().to_string() + ":" + std::to_string(from.port());
  switch (received_[0]) {
    case kDigestTag:
      HandleDigest(bytes, sender);
      break;
    case kSyncRequestTag:
      if (const auto answer = sync_.RespondToSync(bytes)) {
        SendTo(sender, kSyncResponseTag, *answer);
      }
      break;
    case kSyncResponseTag:
      sync_.OnSyncResponse(bytes);
      break;
    case kPermitRequestTag:
      HandlePermitRequest(bytes, sender);
      break;
    case kPermitResponseTag:
      HandlePermitResponse(bytes);
      break;
    case kRoomRequestTag:
      room_.HandleRequest(bytes, sender);
      break;
    case kRoomResponseTag:
      room_.HandleResponse(bytes);
      break;
    case kRoomReleaseTag:
      room_.HandleRelease(bytes, sender);
      break;
    case kStartReportTag:
      starts_.HandleReport(bytes, sender);
      break;
    case kStartQueryTag:
      starts_.HandleQuery(bytes, sender);
      break;
    default:
      host_.metrics.Count("datagram_unknown");
  }
}

void digest_exchange::HandleDigest(std::string_view bytes,
                                   const std::string& from) {
  const auto digest = serving::DecodeDigest(bytes);
  if (!digest) {
    host_.metrics.Count("digest_unreadable");
    host_.log.Write("digest_unreadable",
                    {{"from", from}, {"detail", digest.error().detail}});
    return;
  }
  for (const auto& notice : digest->notices) host_.fleet.OnNotice(notice);
  if (!digest->notices.empty()) host_.changed.Notify();
  if (on_adapter_request) {
    for (const auto& request : digest->adapter_requests)
      on_adapter_request(request);
  }
  if (digest->partial) return;
  const bool known = host_.directory.peers().count(digest->host) > 0;
  if (!host_.directory.OnDigest(*digest, from)) return;
  if (!known) {
    host_.log.Write("host_heard", {{"peer", digest->host.value()},
                                   {"zone", digest->zone.value()},
                                   {"address", digest->front_address}});
  }
  host_.fleet.OnPeerLoad(digest->host, digest->in_flight);
  room_.OnInFlight(from, digest->in_flight);
  host_.fleet.OnPeerOutcomes(digest->outcomes);
  // A standby host hears the engaged hosts of other zones too rarely to take
  // their reports for current.
  if (digest->engaged && (host_.directory.engaged() ||
                          host_.directory.IsInOwnZone(digest->host))) {
    host_.quota.OnReport(
        digest->host,
        digest->incarnation + "/" + std::to_string(digest->quota_epoch),
        milliseconds(digest->quota_age_ms), digest->quota_usages);
  } else {
    host_.quota.OnStopped(digest->host);
  }
  const auto late = host_.directory.Lateness(*digest);
  host_.crashes.OnEvidence(digest->requests, late);
  // A host that reports evidence sends counts only with it.
  if (digest->requests.empty()) {
    for (const auto& [fingerprint, crashes] : digest->crashes) {
      host_.crashes.OnCount(digest->host, digest->incarnation, fingerprint,
                            crashes);
    }
  }
  host_.parts.OnEvidence(digest->parts, late);
  for (const auto& notice : digest->limits) {
    OnLimitNotice(host_, digest->host.value(), notice, late);
  }
  for (const auto& notice : digest->brittle) {
    OnBrittleNotice(host_, digest->host.value(), notice, late);
  }
  if (digest->store) host_.store_contact.OnPeer(*digest->store, late);
  sync_.OnPeerConfig(digest->config_version);
  if (digest->leaving) host_.fleet.OnPeerGone(digest->host);
  demand_[digest->host] = digest->demand;
  if (digest->hello)
    SendTo(from, kDigestTag, serving::EncodeDigest(BuildDigest()));
}

void digest_exchange::RunSend(asio::yield_context yield) {
  while (true) {
    const auto interval = Interval();
    UpdateRole();
    host_.quota.UpdateShares();
    LogColdChanges(host_, "time");
    SendDigests(IsBroadcastDue());
    host_.connections.CloseExpired();
    adapter_requests_sent_.clear();
    for (const auto& silent : host_.directory.TakeSilentHosts()) {
      host_.fleet.OnPeerGone(silent);
      room_.OnHostGone(host_.directory.peers().at(silent).digest_address);
      demand_.erase(silent);
      host_.log.Write("host_silent", {{"peer", silent.value()}});
    }
    WaitForNextDigest(interval, yield);
  }
}

void digest_exchange::UpdateRole() {
  const auto now = host_.time.now();
  if (now - requests_counted_at_ >= kInUsePeriod) {
    if (host_.requests_received - requests_counted_ >= kInUseRequests) {
      in_use_until_ = now + kInUseExtension;
    }
    requests_counted_ = host_.requests_received;
    requests_counted_at_ = now;
  }
  const bool was_engaged = host_.directory.engaged();
  if (!host_.directory.UpdateRole(now < in_use_until_)) return;
  const bool engaged = host_.directory.engaged();
  role_broadcasts_ = kRoleBroadcasts;
  if (engaged && !was_engaged) host_.quota.Rejoin();
  host_.metrics.SetGauge("host_active", host_.directory.active() ? 1 : 0);
  host_.log.Write("host_role",
                  {{"active", host_.directory.active() ? "yes" : "no"},
                   {"engaged", engaged ? "yes" : "no"},
                   {"rank", std::to_string(host_.directory.Rank())},
                   {"hosts", std::to_string(host_.directory.HostCount())}});
}

bool digest_exchange::IsBroadcastDue() {
  if (role_broadcasts_ > 0) {
    --role_broadcasts_;
    return true;
  }
  const auto now = host_.time.now();
  if (host_.directory.engaged() && now >= next_broadcast_) {
    next_broadcast_ = now + milliseconds(std::uniform_int_distribution<int>(
                                kMinBroadcastMilliseconds,
                                kMaxBroadcastMilliseconds)(host_.random));
    return true;
  }
  return host_.placement_lease.MayAct() ||
         host_.directory.Rank() < kFleetWorkers;
}

// After startup the digests of the other hosts arrive within a short time, so
// the quota shares are updated more often than digests are sent.
void digest_exchange::WaitForNextDigest(milliseconds interval,
                                        asio::yield_context yield) {
  const auto until = host_.time.now() + interval;
  while (host_.time.now() - host_.started < kStartupPeriod &&
         host_.time.now() + kStartupQuotaInterval < until) {
    Pause(host_.io, kStartupQuotaInterval, yield);
    host_.quota.UpdateShares();
  }
  const auto left = until - host_.time.now();
  if (left > clock::duration(0)) {
    Pause(host_.io, std::chrono::duration_cast<milliseconds>(left), yield);
  }
}

void digest_exchange::RunHostListing(asio::yield_context yield) {
  const serving::host_entry own{host_.settings.id, host_.settings.digest_listen,
                                host_.settings.zone, host_.settings.capacity};
  while (!host_.leaving) {
    const auto hosts = host_.store.ListHosts(yield);
    bool written = false;
    if (hosts) {
      host_.directory.OnListing(*hosts);
      if (host_.config == nullptr) SendDigests(true);
      written = std::find(hosts->begin(), hosts->end(), own) != hosts->end();
    } else {
      host_.log.Write("hosts_not_read", {{"detail", hosts.error().detail}});
    }
    if (hosts && !written) {
      const auto done = host_.store.WriteHost(own, yield);
      written = done.has_value();
      if (!done) {
        host_.log.Write("host_not_listed", {{"detail", done.error().detail}});
      }
    }
    // As long as no peer was heard, the fleet may still be starting.
    if (!written || host_.directory.peers().empty()) {
      Pause(host_.io, kListRetry, yield);
      continue;
    }
    const bool settling = host_.time.now() - host_.started < kListSettling;
    const auto next =
        host_.time.now() + (settling ? kListSettling : kListInterval);
    // A store that was restored from an older copy may have lost the entry.
    const auto era = host_.store.Era();
    while (host_.time.now() < next && !(host_.store_era > era) &&
           !host_.list_hosts_again) {
      Pause(host_.io, kListRetry, yield);
    }
    host_.list_hosts_again = false;
  }
}

void digest_exchange::SendAdapterRequest(
    const serving::adapter_request& request) {
  if (host_.placement_lease.MayAct()) {
    if (on_adapter_request) on_adapter_request(request);
    return;
  }
  const auto* holder = host_.directory.LeaseHolder();
  if (holder == nullptr) return;
  const auto now = host_.time.now();
  auto& sent_at = adapter_requests_sent_[{request.model, request.adapter}];
  if (now - sent_at < kAdapterRequestInterval) return;
  sent_at = now;
  serving::host_digest digest = BuildPartialDigest();
  digest.adapter_requests.push_back(request);
  SendTo(holder->digest_address, kDigestTag, serving::EncodeDigest(digest));
}

serving::send_permit digest_exchange::AskPermit(const endpoint_id& engine,
                                                asio::yield_context yield) {
  const auto notice = host_.limits.NoticeOf(engine);
  if (!notice) return {};
  const auto* owner =
      host_.directory.PermitOwner(serving::EngineHash(engine), host_.Serving());
  if (owner == nullptr) return Grant(engine);
  const auto number = ++permit_number_;
  permits_[number] = std::nullopt;
  SendTo(owner->digest_address, kPermitRequestTag,
         serving::EncodePermitRequest({number, *notice}));
  const auto deadline = host_.time.now() + kPermitTimeout;
  while (!permits_[number] && host_.time.now() < deadline) {
    host_.changed.Wait(deadline - host_.time.now(), yield);
  }
  const auto permit =
      permits_[number].value_or(serving::send_permit{false, kPermitTimeout});
  if (!permits_[number]) {
    host_.log.Write("permit_unanswered", {{"engine", engine.value()}});
  }
  permits_.erase(number);
  return permit;
}

serving::send_permit digest_exchange::Grant(const endpoint_id& engine) {
  const double share = host_.directory.LiveFraction();
  if (!host_.limits.IsCold(engine)) return host_.limits.Take(engine, share);
  // Hosts that hear each other at different times may ask different hosts.
  const auto tenure = host_.directory.PermitTenure(serving::EngineHash(engine),
                                                   host_.Serving());
  if (!tenure) return {false, kPermitTimeout};
  return host_.limits.Take(engine, share, *tenure);
}

void digest_exchange::HandlePermitRequest(std::string_view bytes,
                                          const std::string& from) {
  const auto request = serving::DecodePermitRequest(bytes);
  if (!request) {
    host_.log.Write("question_unreadable",
                    {{"detail", request.error().detail}});
    return;
  }
  OnLimitNotice(host_, from, request->limit, clock::duration(0));
  const auto permit = Grant(request->limit.engine);
  SendTo(from, kPermitResponseTag,
         serving::EncodePermitResponse({request->number, permit}));
}

void digest_exchange::HandlePermitResponse(std::string_view bytes) {
  const auto response = serving::DecodePermitResponse(bytes);
  if (!response) {
    host_.log.Write("answer_unreadable", {{"detail", response.error().detail}});
    return;
  }
  const auto waiting = permits_.find(response->number);
  if (waiting == permits_.end()) return;
  waiting->second = response->permit;
  host_.changed.Notify();
}

void digest_exchange::SendNotice(const serving::residency_notice& notice) {
  auto digest = BuildPartialDigest();
  digest.notices.push_back(notice);
  const auto bytes = serving::EncodeDigest(digest);
  for (const auto& [id, address] : host_.directory.Recipients(false)) {
    SendTo(address, kDigestTag, bytes);
  }
}

serving::host_digest digest_exchange::BuildPartialDigest() const {
  serving::host_digest digest;
  digest.partial = true;
  digest.host = host_.settings.id;
  digest.incarnation = host_.incarnation;
  return digest;
}

serving::host_digest digest_exchange::BuildDigest() {
  serving::host_digest digest;
  digest.host = host_.settings.id;
  digest.incarnation = host_.incarnation;
  digest.zone = host_.settings.zone;
  digest.front_address = host_.settings.callers_listen;
  digest.forward_address = host_.settings.forwards_listen;
  digest.capacity = host_.settings.capacity;
  digest.uptime_ms =
      std::chrono::duration_cast<milliseconds>(host_.time.now() - host_.started)
          .count();
  digest.number = ++sequence_;
  digest.serving = host_.Serving();
  digest.active = host_.directory.active();
  digest.engaged = host_.directory.engaged();
  digest.leaving = host_.leaving;
  digest.has_engine_contact = host_.reach.HasContact();
  digest.engines_lost = host_.reach.lost();
  digest.holds_placement_lease = host_.placement_lease.MayAct();
  digest.hello = host_.directory.peers().empty();
  digest.in_flight = host_.fleet.OwnInFlight();
  if (digest.engaged) digest.quota_usages = host_.quota.Usage();
  digest.quota_epoch = host_.quota.epoch();
  digest.quota_age_ms =
      std::chrono::duration_cast<milliseconds>(host_.quota.Age()).count();
  if (notices) digest.notices = notices();
  digest.requests = host_.crashes.TakeEvidence();
  digest.crashes = host_.crashes.CountsOf(digest.requests);
  digest.refuted_crashes = host_.crashes.RefutedCounts();
  digest.parts = host_.parts.Evidence();
  for (auto& notice : host_.limits.Notices()) {
    if (host_.fleet.Find(notice.engine) == nullptr) continue;
    digest.limits.push_back(std::move(notice));
  }
  digest.brittle = host_.brittle.Notices();
  digest.shares_room = true;
  digest.store = host_.store_contact.Report();
  digest.config_version = sync_.NewestConfig();
  return digest;
}

void digest_exchange::SendDigests(bool every_host) {
  const auto targets = host_.directory.Recipients(every_host);
  auto digest = BuildDigest();
  const auto common = serving::EncodeDigest(digest);
  digest.outcomes = host_.fleet.TakeOutcomes();
  // They tell of this host's links, not of the engines.
  if (host_.reach.lost()) digest.outcomes = {};
  const auto for_own_zone = serving::EncodeDigest(digest);
  // Standby hosts have no demand to report.
  const auto* holder =
      host_.directory.engaged() ? host_.directory.LeaseHolder() : nullptr;
  const host_id holder_id = holder == nullptr ? host_id() : holder->newest.host;
  for (const auto& [id, address] : targets) {
    if (id == holder_id) continue;
    SendTo(address, kDigestTag,
           host_.directory.IsInOwnZone(id) ? for_own_zone : common);
  }
  if (holder == nullptr) return;
  digest.number = ++sequence_;
  digest.demand = host_.demand.Rates();
  if (!host_.directory.IsInOwnZone(holder_id)) digest.outcomes = {};
  SendTo(holder->digest_address, kDigestTag, serving::EncodeDigest(digest));
}

// A datagram that cannot be sent is treated as lost; the next supersedes it.
void digest_exchange::SendTo(const std::string& address, char tag,
                             const std::string& bytes) {
  const auto target = ParseAddress(address);
  if (!target) return;
  failure ec;
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(&tag, 1),
                                                   asio::buffer(bytes)};
  socket_.send_to(parts, udp::endpoint(target->address(), target->port()), 0,
                  ec);
  if (ec) host_.metrics.Count("digest_not_sent");
}

milliseconds digest_exchange::Interval() const {
  return std::clamp(kIntervalPerHost * host_.directory.HostCount(),
                    kMinInterval, kMaxInterval);
}

}  // namespace bluebell::edge
