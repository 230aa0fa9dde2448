#include "edge/request_relay.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "edge/relayed_request.h"

namespace bluebell::edge {
namespace {

using serving::choice_status;
using serving::engine_choice;

// Sends per request, beyond which engines that refuse are not tried further.
constexpr int kMostSends = 4;
// Part of its time that a request waits for a model or adapter; what is left
// must suffice to run it.
constexpr double kWaitPart = 0.6;
// Callers give up a stream after this long without an event, or after this
// many times its objective or its longest pause, whichever is longest.
constexpr milliseconds kStreamPatience{2000};
constexpr int kStreamObjectives = 4;
constexpr int kStreamGaps = 8;
// Part of the latency objective that a request may wait for a slot.
constexpr double kSlotWaitPart = 0.8;
// Part of the connections that an engine accepts; the rest covers orders,
// idle connections and hosts that are not heard.
constexpr double kConnectionPart = 0.8;
// A read of the configuration and its repetition.
constexpr milliseconds kConfigWait{300};
// Crashes over all hosts after which a request is refused. Requests that were
// only in flight beside the cause are unlikely to be there three times.
constexpr int kMostCrashes = 3;

}  // namespace

void relayed_request::Run() {
  if (!Admit()) return;
  Arm();
  Dispatch();
  deadline_timer_.reset();
  sink_.OnCallerDisconnect(nullptr);
}

bool relayed_request::Admit() {
  AwaitConfig();
  if (config_ == nullptr) return Refuse(503, "no_configuration", kSoon);
  route_ = config_->FindRoute(caller_.host, received_.path);
  if (route_ == nullptr) return Refuse(404, "no_route", std::nullopt);
  if (host_.time.now() >= host_.refuse_from) {
    return Refuse(503, "stopping", kNow);
  }
  if (!config_->accounts.empty() && !route_->open) {
    if (!host_.freshness.AllowsKeys()) {
      return Refuse(503, "keys_in_doubt", kNow);
    }
    account_ = config_->FindAccount(caller_.key);
    if (account_ == nullptr) return Refuse(401, "unknown_key", std::nullopt);
  }
  deadline_ = begun_ + std::min(route_->timeout,
                                caller_.deadline.value_or(route_->timeout));
  need_.service = ChooseService();
  need_.model = caller_.model;
  need_.adapter = caller_.adapter;
  const auto* service = config_->FindService(need_.service);
  if (service != nullptr && service->max_connections > 0) {
    need_.most_in_flight = std::max(
        1, static_cast<int>(kConnectionPart * service->max_connections /
                            host_.directory.HostCount()));
  }
  is_model_ = service != nullptr && service->engine.has_value();
  if (!is_model_) need_.model = model_id();
  if (account_ != nullptr && !host_.quota.Take(account_->id, Tokens())) {
    const double seconds = host_.quota.SecondsUntil(account_->id, Tokens());
    return Refuse(429, "over_quota",
                  milliseconds(static_cast<int>(seconds * 1000)) + Spread());
  }
  // Refused requests need no copies.
  if (is_model_) host_.demand.Count(need_.model, need_.adapter);
  host_.retries.OnRequest(need_.service);
  fingerprint_ = Fingerprint();
  if (host_.crashes.Crashes(fingerprint_) >= kMostCrashes) {
    return Refuse(503, "crashes_engines", std::nullopt);
  }
  return true;
}

// A host that has just started reads its configuration within this time; to
// wait serves the caller sooner than a refusal and another connection.
void relayed_request::AwaitConfig() {
  while (config_ == nullptr && !sink_.caller_disconnected()) {
    const auto waited = host_.time.now() - begun_;
    if (waited >= kConfigWait) return;
    host_.changed.Wait(kConfigWait - waited, yield_);
    config_ = host_.config;
  }
}

std::string relayed_request::Fingerprint() const {
  std::string text =
      received_.method + ' ' + received_.path + '?' + received_.query + '\n' +
      (account_ == nullptr ? "" : account_->id.value()) + '\n' + received_.body;
  return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

double relayed_request::Tokens() const {
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

void relayed_request::Arm() {
  sink_.OnCallerDisconnect([this] { Interrupt(caller_gone_); });
  deadline_timer_ =
      host_.time.CallAfter(deadline_ - begun_, [this] { Interrupt(expired_); });
  if (sink_.caller_disconnected()) caller_gone_ = true;
}

void relayed_request::Interrupt(bool& flag) {
  flag = true;
  if (open_ != nullptr) open_->Close();
  host_.changed.Notify();
}

milliseconds relayed_request::Left() const {
  return std::max(milliseconds(0),
                  ToMilliseconds(deadline_ - host_.time.now()));
}

void relayed_request::Dispatch() {
  while (true) {
    const auto choice = Wait();
    if (choice.status != choice_status::kChosen) {
      EndUnsent(choice);
      return;
    }
    const send_end end = SendTo(choice.engine);
    LogSend(choice.engine, end);
    switch (end) {
      case send_end::kDelivered:
      case send_end::kCallerGone:
        return End(ToString(end), 0);
      case send_end::kExpired:
        return Fail(504, "expired");
      case send_end::kNotRun:
        tried_.insert(choice.engine);
        // What did not arrive is no repeat.
        if (sends_ >= kMostSends || (arrived_ && !TakeRetry())) {
          if (may_have_run_) return Fail(502, "engine_failed");
          if (sink_.started()) return Fail(502, "engine_lost");
          Refuse(503, "engines_full", Soon());
          return;
        }
        break;
      case send_end::kUnknown:
        tried_.insert(choice.engine);
        may_have_run_ = true;
        if (!MayRepeat() || !TakeRetry()) return Fail(502, "engine_lost");
        break;
      case send_end::kFailedAnswer:
        tried_.insert(choice.engine);
        may_have_run_ = true;
        if (!MayRepeat() || !TakeRetry()) {
          sink_.SendResponse(*failed_answer_, yield_);
          return End("engine_failed", failed_answer_->status);
        }
        break;
    }
  }
}

bool relayed_request::MayRepeat() const {
  const bool resumes = sink_.started();
  return route_->repeatable && (!resumes || route_->resumable) &&
         runs_ < route_->max_attempts && Left() > kDeadlineMargin;
}

bool relayed_request::TakeRetry() {
  return host_.retries.Take(need_.service, host_.directory.HostCount());
}

engine_choice relayed_request::Wait() {
  const auto patience = begun_ + PartOf(CallerPatience(), kWaitPart);
  while (true) {
    auto choice = host_.fleet.Choose(need_, SlotWait(), tried_);
    if (Over() || choice.status == choice_status::kChosen ||
        choice.status == choice_status::kBusy) {
      return choice;
    }
    const bool may_come = choice.status == choice_status::kNoAdapter ||
                          choice.status == choice_status::kNoModel;
    const auto now = host_.time.now();
    if (!may_come || now >= patience) return choice;
    if (choice.status == choice_status::kNoAdapter && host_.want_adapter) {
      host_.want_adapter({need_.model, need_.adapter});
    }
    host_.changed.Wait(std::min<clock::duration>(patience - now, kWantInterval),
                       yield_);
  }
}

clock::duration relayed_request::CallerPatience() const {
  const auto time = deadline_ - begun_;
  if (!route_->streaming) return time;
  const auto gap =
      std::max({kStreamPatience, kStreamObjectives * route_->target_latency,
                kStreamGaps * route_->event_gap_target});
  return std::min<clock::duration>(time, gap);
}

clock::duration relayed_request::SlotWait() const {
  const auto objective = PartOf(route_->target_latency, kSlotWaitPart);
  return std::min<clock::duration>(objective, Left());
}

clock::duration relayed_request::PartOf(clock::duration span, double part) {
  return std::chrono::duration_cast<clock::duration>(part * span);
}

void relayed_request::EndUnsent(const engine_choice& choice) {
  if (caller_gone_) return End("caller_gone", 0);
  if (may_have_run_ || sink_.started()) {
    if (failed_answer_ && !sink_.started()) {
      sink_.SendResponse(*failed_answer_, yield_);
      return End("engine_failed", failed_answer_->status);
    }
    return Fail(expired_ ? 504 : 502, "engine_lost");
  }
  switch (choice.status) {
    case choice_status::kBusy:
      Refuse(503, "engines_busy", ToMilliseconds(choice.wait) + Spread());
      return;
    case choice_status::kNoModel:
      Refuse(503, "model_not_loaded", Soon());
      return;
    case choice_status::kNoAdapter:
      Refuse(503, "adapter_not_loaded", Soon());
      return;
    case choice_status::kNoEngine:
    case choice_status::kChosen:
      Refuse(503, "no_engine", Soon());
      return;
  }
}

std::string relayed_request::Kind() const {
  if (route_ == nullptr) return "none";
  if (route_->streaming) return "streaming";
  return route_->repeatable ? "repeatable" : "once";
}

milliseconds relayed_request::Spread() {
  return milliseconds(
      std::uniform_int_distribution<int>(20, 200)(host_.random));
}

bool relayed_request::Refuse(int status, const char* reason,
                             std::optional<milliseconds> retry_after) {
  sink_.SendResponse(host_.dialect.OwnAnswer(status, caller_.id, retry_after),
                     yield_);
  End(reason, status);
  return false;
}

void relayed_request::Fail(int status, const char* reason) {
  if (sink_.started()) {
    sink_.AbortStream();
  } else {
    const bool not_run = !may_have_run_ && runs_ == 0;
    sink_.SendResponse(host_.dialect.OwnAnswer(not_run ? 503 : status,
                                               caller_.id, std::nullopt),
                       yield_);
  }
  End(reason, status);
}

void relayed_request::End(const std::string& outcome, int status) {
  const auto total = host_.time.now() - begun_;
  host_.metrics.RecordEnd(Kind(), outcome, total);
  const auto age = host_.freshness.Age();
  host_.log.Write(
      "request_end",
      {{"request", caller_.id.value()},
       {"outcome", outcome},
       {"status", std::to_string(status != 0 ? status : status_)},
       {"route", route_ == nullptr ? "" : route_->name},
       {"account", account_ == nullptr ? "" : account_->id.value()},
       {"model", caller_.model.value()},
       {"adapter", caller_.adapter.value()},
       {"sends", std::to_string(sends_)},
       {"engine", last_engine_.value()},
       {"wait_ms", sends_ == 0 ? "" : MillisecondText(first_sent_at_ - begun_)},
       {"first_ms", first_at_ ? MillisecondText(*first_at_ - begun_) : ""},
       {"gap_ms", last_event_at_ ? MillisecondText(longest_gap_) : ""},
       {"config", config_ == nullptr ? "" : std::to_string(config_->version)},
       {"config_age_ms", age ? MillisecondText(*age) : ""},
       {"detail", last_detail_},
       {"ms", MillisecondText(total)}});
}

void RelayRequest(edge_state& host, const http_request& received,
                  gateway::response_writer& sink,
                  boost::asio::yield_context yield) {
  relayed_request(host, received, sink, yield).Run();
}

}  // namespace bluebell::edge
