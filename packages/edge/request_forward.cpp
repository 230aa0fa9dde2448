#include <algorithm>
#include <charconv>
#include <random>

#include "edge/peer_cut_off.h"
#include "edge/relayed_request.h"

namespace bluebell::edge {
namespace {

// Hosts that one request is passed on to; each refuses at once or serves it.
constexpr std::size_t kMaxForwards = 3;
constexpr milliseconds kConnectTimeout{250};
// Older idle connections may have been dropped without notice.
constexpr milliseconds kMaxIdle{400};

milliseconds RetryAfter(const http_response& head) {
  const auto text = head.fields.Find("Retry-After");
  double seconds = 0;
  const auto [rest, failure] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  constexpr double kMaxSeconds = 60;
  if (failure != std::errc() || !(seconds >= 0 && seconds <= kMaxSeconds)) {
    return milliseconds(0);
  }
  return milliseconds(static_cast<int>(seconds * 1000));
}

}  // namespace

const serving::host_directory::peer* relayed_request::ForwardTarget() {
  if (forwarded_ || !host_.reach.lost()) return nullptr;
  if (tried_hosts_.size() >= kMaxForwards) return nullptr;
  const auto candidates = host_.directory.PeersInContact();
  std::vector<const serving::host_directory::peer*> usable;
  std::vector<double> weights;
  for (const auto* peer : candidates) {
    if (peer->newest.forward_address.empty() ||
        tried_hosts_.count(peer->newest.host) > 0) {
      continue;
    }
    usable.push_back(peer);
    weights.push_back(std::max(1, peer->newest.capacity));
  }
  if (usable.empty()) return nullptr;
  return usable[std::discrete_distribution<std::size_t>(
      weights.begin(), weights.end())(host_.random)];
}

send_result relayed_request::ForwardTo(const host_id& host,
                                       const std::string& address) {
  forwarding_to_ = host;
  tried_hosts_.insert(host);
  reached_engine_ = false;
  sent_at_ = host_.time.now();
  // Hosts and engines share the pool of connections.
  const endpoint_id id("host/" + host.value());
  auto lease = host_.connections.Take(
      id, address, kMaxIdle,
      std::min(kConnectTimeout, std::max(TimeLeft(), milliseconds(1))), yield_);
  if (!lease) {
    last_detail_ = lease.error().detail;
    if (!IsInterrupted()) return send_result::kNotRun;
    return caller_gone_ ? send_result::kCallerGone : send_result::kExpired;
  }
  reused_ = lease->reused;
  active_connection_ = lease->connection.get();
  const auto result = Exchange(id, *lease, 0);
  ReportCutOff(host_, "host", address, lease->connection.get());
  active_connection_ = nullptr;
  return result;
}

bool relayed_request::FixStreamVersion() {
  if (!route_->resumable || !began_at_.value().empty() || fixed_version_) {
    return true;
  }
  // Of the starts that this host recorded for the attempt, the last counts.
  const bool recorded = start_ticket_.has_value();
  if (recorded) {
    if (!AwaitStartStored()) return false;
    fixed_version_ = recorded_at_;
  } else {
    fixed_version_ = ChooseStreamVersion();
  }
  if (!fixed_version_) return false;
  host_.log.Write("stream_version_fixed",
                  {{"request", caller_.id.value()},
                   {"software", fixed_version_->value()},
                   {"source", recorded ? "recorded" : "chosen"}});
  return true;
}

std::optional<software_version> relayed_request::ChooseStreamVersion() {
  const auto wait_until = received_at_ + kMaxConfigWait;
  auto allowed = host_.versions.AllowedForNew(requirements_.service);
  while (allowed.empty()) {
    const auto now = host_.time.now();
    if (IsInterrupted() || now >= wait_until) return std::nullopt;
    host_.changed.Wait(wait_until - now, yield_);
    allowed = host_.versions.AllowedForNew(requirements_.service);
  }
  requirements_.software = allowed;
  const auto choice = host_.fleet.Choose(requirements_, MaxSlotWait(), tried_);
  const auto* engine = host_.fleet.Find(choice.engine);
  return engine == nullptr ? *allowed.begin() : engine->record.software;
}

http_request relayed_request::ForwardedRequest(const engine_call& call) const {
  auto request =
      WithoutForwardedCall(host_.dialect.EngineRequest(received_, call));
  WriteForwardedCall(
      {host_.settings.id, account_ == nullptr ? account_id() : account_->id,
       requirements_.service, config_->version,
       fixed_version_.value_or(began_at_)},
      request.fields);
  return request;
}

engine_answer relayed_request::ReadForwardedAnswer(const http_response& head) {
  auto answer = host_.dialect.ReadAnswer(head, caller_.id);
  answer.misdirected = false;
  answer.not_run = IsMarkedAsNotRun(head);
  if (answer.not_run) {
    forward_retry_ = std::max(forward_retry_, RetryAfter(head));
  }
  return answer;
}

bool relayed_request::AdmitForwarded() {
  AwaitConfig();
  if (config_ == nullptr || config_->version < forwarded_->config_version) {
    return Refuse(503, "no_configuration", kRetryNow);
  }
  if (!caller_.readable) return Refuse(400, "name_unreadable", std::nullopt);
  route_ = config_->FindRoute(caller_.host, received_.path);
  if (route_ == nullptr) return Refuse(503, "no_route", kRetryNow);
  const auto time_limit =
      std::min(route_->timeout, caller_.deadline.value_or(route_->timeout));
  deadline_ = received_at_ + time_limit;
  if (host_.stop.begun() &&
      !host_.stop.Accepts(route_->name, time_limit, caller_.output_tokens,
                          LongestOpen())) {
    return Refuse(503, "stopping", kRetryNow);
  }
  if (host_.reach.lost()) return Refuse(503, "engines_lost", kRetryNow);
  if (!forwarded_->account.value().empty()) {
    account_ = config_->FindAccount(forwarded_->account);
    if (account_ == nullptr) return Refuse(503, "unknown_account", kRetryNow);
  }
  requirements_.service = forwarded_->service;
  SetRequirements();
  if (route_->resumable) {
    const auto& fixed = forwarded_->software;
    const bool goes_on = !caller_.last_event.empty();
    if (goes_on && fixed.value().empty()) {
      if (!FindStreamVersion()) return false;
    } else if (goes_on) {
      began_at_ = fixed;
    } else if (!fixed.value().empty()) {
      fixed_version_ = fixed;
    }
  }
  fingerprint_ = Fingerprint();
  if (host_.crashes.IsQuarantined(fingerprint_) ||
      host_.parts.IsQuarantined(caller_.shared_parts)) {
    return Refuse(503, "crashes_engines", std::nullopt);
  }
  return true;
}

}  // namespace bluebell::edge
