#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <random>

#include "base/digest.h"
#include "edge/relayed_request.h"

namespace bluebell::edge {
namespace {

// Fraction of an engine's connection limit used for requests; the rest covers
// orders, idle connections and hosts whose digests are not received.
constexpr double kConnectionFraction = 0.8;
// Covers one listing of the store that is answered late, and one retry.
constexpr milliseconds kMaxVersionWait{1000};
constexpr std::size_t kMaxStreamKeyBytes = 64;
// Covers the interval of queries and a response that is lost once.
constexpr milliseconds kMaxReportWait{400};
// Hosts that test quarantined prompt parts for all; more would crash several
// engines at once.
constexpr int kTestingHosts = 2;

}  // namespace

bool relayed_request::Admit() {
  ++host_.requests_received;
  AwaitConfig();
  if (config_ == nullptr)
    return Refuse(503, "no_configuration", kMinRetryDelay);
  if (!host_.freshness.AllowsRequests()) {
    return Refuse(503, "config_superseded", kRetryNow);
  }
  if (!caller_.readable) return Refuse(400, "name_unreadable", std::nullopt);
  route_ = config_->FindRoute(caller_.host, received_.path);
  if (route_ == nullptr) return Refuse(404, "no_route", std::nullopt);
  const auto time_limit =
      std::min(route_->timeout, caller_.deadline.value_or(route_->timeout));
  if (host_.stop.begun() &&
      !host_.stop.Accepts(route_->name, time_limit, caller_.output_tokens,
                          LongestOpen())) {
    return Refuse(503, "stopping", kRetryNow);
  }
  if (!config_->accounts.empty() && !route_->open) {
    if (!host_.freshness.AllowsKeys()) {
      return Refuse(503, "keys_in_doubt", kRetryNow);
    }
    account_ = config_->FindAccount(caller_.key);
    if (account_ == nullptr) return Refuse(401, "unknown_key", std::nullopt);
  }
  deadline_ = received_at_ + time_limit;
  const auto verdict = host_.parts.Admit(
      caller_.shared_parts, host_.directory.Rank() < kTestingHosts);
  if (verdict == serving::part_verdict::kRefused) {
    return Refuse(503, "crashes_engines", std::nullopt);
  }
  is_trial_ = verdict == serving::part_verdict::kTrial;
  requirements_.service = ChooseService();
  SetRequirements();
  if (route_->resumable && !caller_.last_event.empty() &&
      !FindStreamVersion()) {
    return false;
  }
  if (account_ != nullptr && !host_.quota.Take(account_->id, TokenCost())) {
    const double seconds = host_.quota.SecondsUntil(account_->id, TokenCost());
    last_detail_ = fmt::format("tokens {:.0f} {}", TokenCost(),
                               host_.quota.Describe(account_->id));
    return Refuse(
        429, "over_quota",
        milliseconds(static_cast<int>(seconds * 1000)) + RetryJitter());
  }
  // Counted after the quota check: refused requests need no model copies.
  if (is_model_) host_.demand.Count(requirements_.model, requirements_.adapter);
  host_.retries.OnRequest(requirements_.service);
  fingerprint_ = Fingerprint();
  const auto crashes =
      host_.crashes.Admit(fingerprint_, host_.directory.Rank());
  if (crashes == serving::request_quarantine::verdict::kRefused) {
    return Refuse(503, "crashes_engines", std::nullopt);
  }
  is_trial_ =
      is_trial_ || crashes == serving::request_quarantine::verdict::kTrial;
  return true;
}

void relayed_request::SetRequirements() {
  requirements_.model = caller_.model;
  requirements_.adapter = caller_.adapter;
  requirements_.latency_objective = route_->target_latency;
  const auto* service = config_->FindService(requirements_.service);
  if (service != nullptr && service->max_connections > 0) {
    requirements_.max_in_flight = std::max(
        1, static_cast<int>(kConnectionFraction * service->max_connections /
                            host_.directory.HostCount()));
  }
  is_model_ = service != nullptr && service->engine.has_value();
  if (!is_model_) requirements_.model = model_id();
}

// A host that has just started reads its configuration within `kMaxConfigWait`.
// Waiting serves the caller sooner than a refusal and a second connection.
void relayed_request::AwaitConfig() {
  while (config_ == nullptr && !sink_.caller_disconnected()) {
    const auto waited = host_.time.now() - received_at_;
    if (waited >= kMaxConfigWait) return;
    host_.changed.Wait(kMaxConfigWait - waited, yield_);
    config_ = host_.config;
  }
}

request_id relayed_request::StreamKey(const request_id& attempt) {
  if (attempt.value().size() <= kMaxStreamKeyBytes) return attempt;
  return request_id(Sha256Hex(attempt.value()));
}

bool relayed_request::FindStreamVersion() {
  const auto attempt = StreamKey(caller_.resumes);
  auto found = host_.versions.Known(attempt);
  if (!found && AwaitVersionListing()) {
    found = host_.versions.VersionOf(requirements_.service, attempt);
  }
  if (!found) found = AwaitStartReport(attempt);
  host_.log.Write(
      "stream_taken_up",
      {{"request", caller_.id.value()},
       {"began_as", caller_.resumes.value()},
       {"software", found ? found->software.value() : ""},
       {"source", found ? ToString(found->source) : "unknown"},
       {"listing", host_.versions.Describe(requirements_.service)}});
  if (!found) return Refuse(503, "version_unknown", RetryDelay());
  began_at_ = found->software;
  return true;
}

bool relayed_request::AwaitVersionListing() {
  const auto ticket = host_.versions.RequestListing();
  host_.versions_changed.Notify();
  AwaitVersions(kMaxVersionWait,
                [&] { return host_.versions.HasListing(ticket); });
  return host_.versions.HasListing(ticket);
}

std::optional<serving::found_version> relayed_request::AwaitStartReport(
    const request_id& attempt) {
  if (attempt.value().empty() || !host_.ask_start) return std::nullopt;
  host_.ask_start(attempt);
  AwaitVersions(kMaxReportWait,
                [&] { return host_.versions.Known(attempt).has_value(); });
  return host_.versions.Known(attempt);
}

void relayed_request::AwaitVersions(milliseconds limit,
                                    const std::function<bool()>& done) {
  const auto wait_until =
      std::min<clock::time_point>(host_.time.now() + limit, deadline_);
  while (!done() && !sink_.caller_disconnected() &&
         host_.time.now() < wait_until) {
    host_.versions_changed.Wait(wait_until - host_.time.now(), yield_);
  }
}

std::string relayed_request::Fingerprint() const {
  std::string text =
      received_.method + ' ' + received_.path + '?' + received_.query + '\n' +
      (account_ == nullptr ? "" : account_->id.value()) + '\n' + received_.body;
  return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

double relayed_request::TokenCost() const {
  if (!caller_.prompt_tokens || !caller_.output_tokens) {
    return static_cast<double>(account_->plain_tokens);
  }
  return static_cast<double>(*caller_.prompt_tokens + *caller_.output_tokens);
}

serving::service_id relayed_request::ChooseService() {
  int total = 0;
  for (const auto& target : route_->services) total += target.weight;
  int drawn = std::uniform_int_distribution<int>(
      0, std::max(0, total - 1))(host_.random);
  for (const auto& target : route_->services) {
    drawn -= target.weight;
    if (drawn < 0) return target.service;
  }
  return {};
}

}  // namespace bluebell::edge
