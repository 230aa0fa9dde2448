#include "edge/digest_exchange.h"

#include <algorithm>
#include <set>

#include "base/address.h"
#include "edge/pause.h"

namespace bluebell::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using failure = boost::system::error_code;

// Interval per host in the fleet, so that each host handles about a hundred
// digests per second whatever the size.
constexpr milliseconds kIntervalPerHost{10};
constexpr milliseconds kLeastInterval{200};
constexpr milliseconds kMostInterval{900};
// Digests of all hosts arrive within the longest interval after the start.
constexpr milliseconds kStartSpan{2000};
constexpr milliseconds kStartStep{100};
// The list of hosts changes when hosts are added or replaced.
constexpr milliseconds kListInterval{4000};
constexpr milliseconds kListRetry{300};
// First byte of a datagram.
constexpr char kDigestTag = 'D';
constexpr char kQuestionTag = 'Q';
constexpr char kAnswerTag = 'A';
// A want that was lost is repeated by the requests that wait for the adapter.
constexpr milliseconds kWantInterval{80};
// A host that said nothing for this long gets digests only if it is listed.
constexpr std::chrono::seconds kForgotten{10};

}  // namespace

result<std::unique_ptr<digest_exchange>> digest_exchange::Create(
    edge_state& host, store_sync& sync) {
  const auto address = ParseAddress(host.settings.digest_listen);
  if (!address) return tl::unexpected(address.error());
  udp::socket socket(host.io);
  failure ended;
  socket.open(udp::v4(), ended);
  if (!ended) {
    socket.bind(udp::endpoint(address->address(), address->port()), ended);
  }
  if (ended) {
    return Fail(error_code::kUnavailable,
                host.settings.digest_listen + ": " + ended.message());
  }
  return std::unique_ptr<digest_exchange>(
      new digest_exchange(host, sync, std::move(socket)));
}

digest_exchange::digest_exchange(edge_state& host, store_sync& sync,
                                 udp::socket socket)
    : host_(host), sync_(sync), socket_(std::move(socket)) {
  sync_.send_question = [this](const auto& address, const auto& bytes) {
    SendTo(address, kQuestionTag, bytes);
  };
}

void digest_exchange::RunReceive(asio::yield_context yield) {
  while (true) {
    udp::endpoint from;
    failure ended;
    const std::size_t count =
        socket_.async_receive_from(asio::buffer(received_), from, yield[ended]);
    if (ended == asio::error::operation_aborted) return;
    // An unreachable peer is reported on the next receive; it is no reason to
    // stop.
    if (ended) continue;
    if (count == 0) continue;
    const std::string_view bytes(received_.data() + 1, count - 1);
    const std::string sender =
        from.address().to_string() + ":" + std::to_string(from.port());
    switch (received_[0]) {
      case kDigestTag:
        Receive(bytes, sender);
        break;
      case kQuestionTag:
        if (const auto answer = sync_.Answer(bytes)) {
          SendTo(sender, kAnswerTag, *answer);
        }
        break;
      case kAnswerTag:
        sync_.OnAnswer(bytes);
        break;
      default:
        host_.metrics.Count("datagram_unknown");
    }
  }
}

void digest_exchange::Receive(std::string_view bytes, const std::string& from) {
  const auto digest = serving::DecodeDigest(bytes);
  if (!digest) {
    host_.metrics.Count("digest_unreadable");
    host_.log.Write("digest_unreadable",
                    {{"from", from}, {"detail", digest.error().detail}});
    return;
  }
  for (const auto& notice : digest->notices) host_.fleet.OnNotice(notice);
  if (!digest->notices.empty()) host_.changed.Notify();
  if (on_want) {
    for (const auto& want : digest->adapter_requests) on_want(want);
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
  host_.fleet.OnPeerOutcomes(digest->outcomes);
  host_.quota.OnReport(digest->host, digest->incarnation,
                       milliseconds(digest->uptime_ms), digest->quota_usages);
  for (const auto& [fingerprint, crashes] : digest->crashes) {
    host_.crashes.OnNotice(digest->host, fingerprint, crashes);
  }
  if (digest->leaving) host_.fleet.OnPeerGone(digest->host);
  demand_[digest->host] = digest->demand;
  if (digest->hello) SendTo(from, kDigestTag, serving::EncodeDigest(Compose()));
}

void digest_exchange::RunSend(asio::yield_context yield) {
  while (true) {
    const auto interval = Interval();
    host_.quota.UpdateShares();
    SendNow();
    host_.connections.CloseExpired();
    wants_told_.clear();
    for (const auto& silent : host_.directory.TakeSilentHosts()) {
      host_.fleet.OnPeerGone(silent);
      demand_.erase(silent);
      host_.log.Write("host_silent", {{"peer", silent.value()}});
    }
    PauseBetweenDigests(interval, yield);
  }
}

// A host that has just started learns of the others' use within a moment; its
// parts of the quotas follow at once, not with its next digest.
void digest_exchange::PauseBetweenDigests(milliseconds interval,
                                          asio::yield_context yield) {
  const auto until = host_.time.now() + interval;
  while (host_.time.now() - host_.started < kStartSpan &&
         host_.time.now() + kStartStep < until) {
    Pause(host_.io, kStartStep, yield);
    host_.quota.UpdateShares();
  }
  const auto left = until - host_.time.now();
  if (left > clock::duration(0)) {
    Pause(host_.io, std::chrono::duration_cast<milliseconds>(left), yield);
  }
}

void digest_exchange::RunListing(asio::yield_context yield) {
  bool written = false;
  while (!host_.leaving) {
    if (!written) {
      const auto done = host_.store.WriteHost(
          {host_.settings.id, host_.settings.digest_listen}, yield);
      written = done.has_value();
      if (!done) {
        host_.log.Write("host_not_listed", {{"detail", done.error().detail}});
      }
    }
    const auto hosts = host_.store.ListHosts(yield);
    if (hosts) {
      listed_.clear();
      for (const auto& entry : *hosts) {
        if (entry.host != host_.settings.id) {
          listed_[entry.host] = entry.digest_address;
        }
      }
    } else {
      host_.log.Write("hosts_not_read", {{"detail", hosts.error().detail}});
    }
    // While no other host was heard, the fleet may still be starting.
    const bool settled = written && hosts && !host_.directory.peers().empty();
    Pause(host_.io, settled ? kListInterval : kListRetry, yield);
  }
}

void digest_exchange::SendWant(const serving::adapter_request& want) {
  if (host_.duty.MayAct()) {
    if (on_want) on_want(want);
    return;
  }
  const auto* placer = host_.directory.LeaseHolder();
  if (placer == nullptr) return;
  const auto now = host_.time.now();
  auto& told = wants_told_[{want.model, want.adapter}];
  if (now - told < kWantInterval) return;
  told = now;
  serving::host_digest digest = Partial();
  digest.adapter_requests.push_back(want);
  SendTo(placer->digest_address, kDigestTag, serving::EncodeDigest(digest));
}

void digest_exchange::SendNotice(const serving::residency_notice& notice) {
  auto digest = Partial();
  digest.notices.push_back(notice);
  const auto bytes = serving::EncodeDigest(digest);
  for (const auto& [id, address] : Targets())
    SendTo(address, kDigestTag, bytes);
}

serving::host_digest digest_exchange::Partial() const {
  serving::host_digest digest;
  digest.partial = true;
  digest.host = host_.settings.id;
  digest.incarnation = host_.incarnation;
  return digest;
}

std::map<host_id, std::string> digest_exchange::Targets() const {
  std::map<host_id, std::string> targets = listed_;
  const auto now = host_.time.now();
  for (const auto& [id, peer] : host_.directory.peers()) {
    if (now - peer.heard < kForgotten) targets[id] = peer.digest_address;
  }
  return targets;
}

serving::host_digest digest_exchange::Compose() {
  serving::host_digest digest;
  digest.host = host_.settings.id;
  digest.incarnation = host_.incarnation;
  digest.zone = host_.settings.zone;
  digest.front_address = host_.settings.callers_listen;
  digest.capacity = host_.settings.capacity;
  digest.uptime_ms =
      std::chrono::duration_cast<milliseconds>(host_.time.now() - host_.started)
          .count();
  digest.number = ++number_;
  digest.serving = host_.Serving();
  digest.leaving = host_.leaving;
  digest.holds_placement_lease = host_.duty.MayAct();
  digest.hello = host_.directory.peers().empty();
  digest.in_flight = host_.fleet.OwnInFlight();
  digest.quota_usages = host_.quota.Usage();
  if (notices) digest.notices = notices();
  digest.crashes = host_.crashes.OwnCrashes();
  return digest;
}

void digest_exchange::SendNow() {
  const auto targets = Targets();
  auto digest = Compose();
  const auto common = serving::EncodeDigest(digest);
  digest.outcomes = host_.fleet.TakeOutcomes();
  const auto for_own_zone = serving::EncodeDigest(digest);
  const auto* placer = host_.directory.LeaseHolder();
  const host_id holder = placer == nullptr ? host_id() : placer->newest.host;
  for (const auto& [id, address] : targets) {
    if (id == holder) continue;
    SendTo(address, kDigestTag,
           host_.directory.IsInOwnZone(id) ? for_own_zone : common);
  }
  if (placer == nullptr) return;
  digest.number = ++number_;
  digest.demand = host_.demand.Rates();
  if (!host_.directory.IsInOwnZone(holder)) digest.outcomes = {};
  SendTo(placer->digest_address, kDigestTag, serving::EncodeDigest(digest));
}

// A datagram that cannot be sent is like a lost one: the next replaces it.
void digest_exchange::SendTo(const std::string& address, char tag,
                             const std::string& bytes) {
  const auto target = ParseAddress(address);
  if (!target) return;
  failure ended;
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(&tag, 1),
                                                   asio::buffer(bytes)};
  socket_.send_to(parts, udp::endpoint(target->address(), target->port()), 0,
                  ended);
  if (ended) host_.metrics.Count("digest_not_sent");
}

milliseconds digest_exchange::Interval() const {
  return std::clamp(kIntervalPerHost * host_.directory.HostCount(),
                    kLeastInterval, kMostInterval);
}

}  // namespace bluebell::edge
