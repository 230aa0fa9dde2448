#include "edge/request_relay.h"

#include <algorithm>

#include "edge/engine_statements.h"
#include "edge/relayed_request.h"

namespace bluebell::edge {
namespace {

using serving::choice_status;
using serving::engine_choice;

// Maximum sends per request while engines refuse it.
constexpr int kMaxSends = 4;
// Fraction of its time that a request waits for a model or adapter; the rest
// must suffice to run it.
constexpr double kWaitFraction = 0.6;
// Callers abandon a stream after this long without an event, or after this many
// times its latency objective or its target event gap, whichever is longest.
constexpr milliseconds kMinStreamTimeout{2000};
constexpr int kStreamTimeoutObjectives = 4;
constexpr int kStreamTimeoutGaps = 8;
// Fraction of the latency objective that a request may wait for a slot.
constexpr double kSlotWaitFraction = 0.8;
// Engines of a brittle service that a request asks for room before it waits
// for it.
constexpr std::size_t kMaxRoomRequests = 3;

const char* ToString(gateway::response_progress progress) {
  switch (progress) {
    case gateway::response_progress::kNone:
      return "none";
    case gateway::response_progress::kPartial:
      return "part";
    case gateway::response_progress::kComplete:
      return "whole";
  }
  return "";
}

}  // namespace

void relayed_request::Run() {
  if (!(forwarded_ ? AdmitForwarded() : Admit())) return;
  ArmInterrupts();
  host_.open_requests.insert(this);
  Dispatch();
  deadline_timer_.reset();
  sink_.OnCallerDisconnect(nullptr);
}

void relayed_request::ArmInterrupts() {
  sink_.OnCallerDisconnect([this] { Interrupt(caller_gone_); });
  deadline_timer_ = host_.time.CallAfter(deadline_ - received_at_,
                                         [this] { Interrupt(expired_); });
  if (sink_.caller_disconnected()) caller_gone_ = true;
}

void relayed_request::Interrupt(bool& flag) {
  flag = true;
  if (active_connection_ != nullptr) active_connection_->Close();
  host_.changed.Notify();
}

milliseconds relayed_request::TimeLeft() const {
  return std::max(milliseconds(0),
                  ToMilliseconds(deadline_ - host_.time.now()));
}

bool relayed_request::Forward() {
  if (ForwardTarget() != nullptr && !FixStreamVersion()) {
    if (may_have_run_) {
      Fail(502, "version_unknown");
    } else {
      Refuse(503, "version_unknown", RetryDelay());
    }
    return false;
  }
  while (const auto* peer = ForwardTarget()) {
    const auto result =
        ForwardTo(peer->newest.host, peer->newest.forward_address);
    LogSend(endpoint_id(), result);
    switch (result) {
      case send_result::kDelivered:
      case send_result::kCallerGone:
        End(ToString(result), 0);
        return false;
      case send_result::kExpired:
        Fail(504, ended_for_stop_ ? "ended_for_stop" : "expired");
        return false;
      case send_result::kFailedAnswer:
        sink_.SendResponse(*failed_answer_, yield_);
        End("engine_failed", failed_answer_->status);
        return false;
      case send_result::kUnknown:
        may_have_run_ = true;
        if (!MayRetry() || !TakeRetry()) {
          Fail(502, "host_lost");
          return false;
        }
        break;
      case send_result::kNotRun:
        break;
    }
  }
  const bool refused = !tried_hosts_.empty() && host_.reach.lost();
  forwarding_to_ = host_id();
  if (!refused) return true;
  if (may_have_run_ || sink_.started()) {
    Fail(502, "host_lost");
  } else {
    Refuse(503, "engines_lost", forward_retry_ + RetryJitter());
  }
  return false;
}

void relayed_request::Dispatch() {
  while (true) {
    if (!Forward()) return;
    const auto choice = WaitForEngine();
    if (choice.status != choice_status::kChosen) {
      EndWithoutEngine(choice);
      return;
    }
    const bool is_trial = is_trial_ && sends_ == 0;
    if (!is_trial && (host_.parts.IsQuarantined(caller_.shared_parts) ||
                      host_.crashes.IsQuarantined(fingerprint_))) {
      return Fail(502, "crashes_engines");
    }
    const send_result result = SendTo(choice.engine);
    room_.reset();
    LogSend(choice.engine, result);
    switch (result) {
      case send_result::kDelivered:
      case send_result::kCallerGone:
        return End(ToString(result), 0);
      case send_result::kExpired:
        return Fail(504, ended_for_stop_ ? "ended_for_stop" : "expired");
      case send_result::kNotRun:
        tried_.insert(choice.engine);
        // A send that did not reach an engine needs no retry budget.
        if (sends_ >= kMaxSends || (reached_engine_ && !TakeRetry())) {
          if (may_have_run_) return Fail(502, "engine_failed");
          if (sink_.started()) return Fail(502, "engine_lost");
          Refuse(503, "engines_full", RetryDelay());
          return;
        }
        break;
      case send_result::kUnknown:
        tried_.insert(choice.engine);
        may_have_run_ = true;
        if (!MayRetry() || !(retry_taken_ || TakeRetry())) {
          return Fail(502, "engine_lost");
        }
        break;
      case send_result::kFailedAnswer:
        tried_.insert(choice.engine);
        may_have_run_ = true;
        if (!MayRetry() || !TakeRetry()) {
          sink_.SendResponse(*failed_answer_, yield_);
          return End("engine_failed", failed_answer_->status);
        }
        break;
    }
  }
}

bool relayed_request::MayRetry() const {
  const bool resumes = sink_.started();
  return route_->repeatable &&
         (!resumes || (route_->resumable && !began_at_.value().empty())) &&
         runs_ < route_->max_attempts && TimeLeft() > kDeadlineMargin;
}

bool relayed_request::TakeRetry() {
  return host_.retries.Take(requirements_.service, host_.directory.HostCount());
}

engine_choice relayed_request::WaitForEngine() {
  const auto wait_until =
      received_at_ + FractionOf(CallerTimeout(), kWaitFraction);
  while (true) {
    auto choice = ChooseWithPermit();
    if (IsInterrupted() || choice.status == choice_status::kChosen ||
        choice.status == choice_status::kBusy ||
        choice.status == choice_status::kLimited) {
      return choice;
    }
    const bool may_come =
        choice.status == choice_status::kNoAdapter ||
        choice.status == choice_status::kNoModel ||
        (choice.status == choice_status::kNoVersion && BeginsStream() &&
         host_.time.now() - received_at_ < kMaxConfigWait);
    const auto now = host_.time.now();
    if (!may_come || now >= wait_until) return choice;
    if (choice.status == choice_status::kNoAdapter && host_.request_adapter) {
      host_.request_adapter({requirements_.model, requirements_.adapter});
    }
    host_.changed.Wait(
        std::min<clock::duration>(wait_until - now, kAdapterRequestInterval),
        yield_);
  }
}

engine_choice relayed_request::ChooseWithPermit() {
  auto excluded = tried_;
  std::optional<clock::duration> limited_for;
  const auto pass_over = [&](const endpoint_id& engine, clock::duration wait) {
    excluded.insert(engine);
    limited_for = std::min(limited_for.value_or(wait), wait);
  };
  for (const auto& engine : tried_) {
    const auto paused_for = host_.limits.PausedFor(engine);
    if (paused_for > clock::duration(0)) pass_over(engine, paused_for);
  }
  std::vector<endpoint_id> without_room;
  while (true) {
    if (route_->resumable) requirements_.software = AllowedVersions();
    auto choice = host_.fleet.Choose(requirements_, MaxSlotWait(), excluded);
    const bool none_left = choice.status != choice_status::kChosen ||
                           without_room.size() >= kMaxRoomRequests;
    if (none_left && !without_room.empty()) {
      const auto& engine = without_room.front();
      if (TakeRoom(engine, MaxSlotWait() - (host_.time.now() - received_at_))) {
        return {choice_status::kChosen, engine, clock::duration(0)};
      }
      return {choice_status::kBusy, {}, kMinRetryDelay};
    }
    if (choice.status != choice_status::kChosen) {
      // Another engine may load the adapter within milliseconds.
      if (!limited_for || choice.status == choice_status::kNoAdapter) {
        return choice;
      }
      if (choice.status == choice_status::kBusy && choice.wait < *limited_for) {
        return choice;
      }
      return {choice_status::kLimited, {}, *limited_for};
    }
    const auto permit = TakePermit(host_, choice.engine, yield_);
    permit_engine_ = choice.engine;
    permit_ = permit;
    // The engine may have left during the request for the permit.
    const bool stays = host_.fleet.AcceptsRequests(choice.engine);
    if (permit.granted && stays) {
      if (TakeRoom(choice.engine, clock::duration(0))) return choice;
      without_room.push_back(choice.engine);
    }
    if (permit.granted) {
      excluded.insert(choice.engine);
    } else {
      pass_over(choice.engine, permit.wait);
    }
  }
}

std::set<software_version> relayed_request::AllowedVersions() const {
  if (!BeginsStream()) return {began_at_};
  auto allowed = host_.versions.AllowedForNew(requirements_.service);
  if (!fixed_version_) return allowed;
  if (allowed.count(*fixed_version_) == 0) return {};
  return {*fixed_version_};
}

bool relayed_request::TakeRoom(const endpoint_id& engine,
                               clock::duration wait) {
  room_.reset();
  const bool brittle =
      host_.brittle.Refusals(requirements_.service).has_value();
  if (!brittle || !host_.take_room) return true;
  room_ = host_.take_room(engine, Urgency(), std::max(wait, clock::duration(0)),
                          yield_);
  // The engine may have left during the wait.
  if (!host_.fleet.AcceptsRequests(engine)) room_.reset();
  return room_ != nullptr;
}

clock::duration relayed_request::CallerTimeout() const {
  const auto time = deadline_ - received_at_;
  if (!route_->streaming) return time;
  const auto gap = std::max({kMinStreamTimeout,
                             kStreamTimeoutObjectives * route_->target_latency,
                             kStreamTimeoutGaps * route_->event_gap_target});
  return std::min<clock::duration>(time, gap);
}

clock::duration relayed_request::MaxSlotWait() const {
  const auto objective = FractionOf(route_->target_latency, kSlotWaitFraction);
  return std::min<clock::duration>(objective, TimeLeft());
}

clock::duration relayed_request::FractionOf(clock::duration span,
                                            double fraction) {
  return std::chrono::duration_cast<clock::duration>(fraction * span);
}

void relayed_request::EndWithoutEngine(const engine_choice& choice) {
  if (caller_gone_) return End("caller_gone", 0);
  if (may_have_run_ || sink_.started()) {
    if (failed_answer_ && !sink_.started()) {
      sink_.SendResponse(*failed_answer_, yield_);
      return End("engine_failed", failed_answer_->status);
    }
    if (ended_for_stop_) return Fail(504, "ended_for_stop");
    return Fail(expired_ ? 504 : 502, "engine_lost");
  }
  if (ended_for_stop_) {
    Refuse(503, "stopping", kRetryNow);
    return;
  }
  switch (choice.status) {
    case choice_status::kBusy:
      Refuse(503, "engines_busy", ToMilliseconds(choice.wait) + RetryJitter());
      return;
    case choice_status::kLimited:
      Refuse(503, "engines_limited",
             ToMilliseconds(choice.wait) + RetryJitter());
      return;
    case choice_status::kNoVersion:
      Refuse(503, BeginsStream() ? "version_unknown" : "version_gone",
             RetryDelay());
      return;
    case choice_status::kNoModel:
      Refuse(503, "model_not_loaded", RetryDelay());
      return;
    case choice_status::kNoAdapter:
      Refuse(503, "adapter_not_loaded", RetryDelay());
      return;
    case choice_status::kNoEngine:
    case choice_status::kChosen:
      Refuse(503, "no_engine", RetryDelay());
      return;
  }
}

std::string relayed_request::RouteKind() const {
  if (route_ == nullptr) return "none";
  if (route_->streaming) return "streaming";
  return route_->repeatable ? "repeatable" : "once";
}

clock::duration relayed_request::LongestOpen() const {
  clock::duration longest{0};
  for (const auto* other : host_.open_requests) {
    if (other->route_->name != route_->name) continue;
    longest = std::max(longest, host_.time.now() - other->received_at_);
  }
  return longest;
}

std::string relayed_request::StopAgeText() const {
  const auto begun = host_.stop.begun();
  return begun ? MillisecondText(received_at_ - *begun) : "";
}

std::string relayed_request::FramingText() const {
  return framing_ ? gateway::ToString(*framing_) : "";
}

milliseconds relayed_request::RetryJitter() {
  return milliseconds(
      std::uniform_int_distribution<int>(20, 200)(host_.random));
}

bool relayed_request::Refuse(int status, const char* reason,
                             std::optional<milliseconds> retry_after) {
  auto answer = host_.dialect.LocalAnswer(status, caller_.id, retry_after);
  if (forwarded_) MarkAsNotRun(answer);
  sink_.SendResponse(answer, yield_);
  End(reason, status);
  return false;
}

void relayed_request::Fail(int status, const char* reason) {
  if (sink_.started()) {
    sink_.AbortStream();
  } else {
    if (!may_have_run_ && runs_ == 0) status = 503;
    sink_.SendResponse(
        host_.dialect.LocalAnswer(status, caller_.id, std::nullopt), yield_);
  }
  End(reason, status);
}

void relayed_request::End(const std::string& outcome, int status) {
  const auto total = host_.time.now() - received_at_;
  host_.metrics.RecordEnd(RouteKind(), outcome, total);
  if (first_forwarded_at_ &&
      sink_.progress() == gateway::response_progress::kComplete) {
    const auto first_answer = *first_forwarded_at_ - received_at_;
    host_.stop.OnCompleted(route_->name, {first_answer, total - first_answer,
                                          caller_.output_tokens});
  }
  const auto age = host_.freshness.Age();
  const auto position = sink_.position();
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
       {"forwarded_to", forwarding_to_.value()},
       {"forwarded_by", forwarded_ ? forwarded_->from.value() : ""},
       {"software", engine_software_.value()},
       {"began_at", began_at_.value()},
       {"resumes", caller_.resumes.value()},
       {"last_event", caller_.last_event},
       {"wait_ms",
        sends_ == 0 ? "" : MillisecondText(first_sent_at_ - received_at_)},
       {"first_ms", first_forwarded_at_
                        ? MillisecondText(*first_forwarded_at_ - received_at_)
                        : ""},
       {"gap_ms", last_event_at_ ? MillisecondText(longest_gap_) : ""},
       {"framing", FramingText()},
       {"answer", ToString(sink_.progress())},
       {"connection", std::to_string(position.connection)},
       {"on_connection", std::to_string(position.requests)},
       {"stop_ms", StopAgeText()},
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

void RelayForwarded(edge_state& host, const http_request& received,
                    gateway::response_writer& sink,
                    boost::asio::yield_context yield) {
  const auto call = ReadForwardedCall(received.fields);
  const bool listed = host.directory.IsListed(received.remote_host);
  if (!call || !listed) {
    host.log.Write("forward_rejected",
                   {{"from", received.remote_host},
                    {"detail", listed ? "unreadable" : "not a listed host"}});
    // The sender may have joined since the list was read.
    if (!listed) host.list_hosts_again = true;
    auto answer = host.dialect.LocalAnswer(
        503, host.dialect.ReadRequest(received).id, milliseconds(0));
    MarkAsNotRun(answer);
    sink.SendResponse(answer, yield);
    return;
  }
  relayed_request(host, received, sink, yield, call).Run();
}

void EndOpenRequests(edge_state& host) {
  // A copy: a request removes itself when it ends.
  const auto open = host.open_requests;
  for (auto* request : open) request->EndForStop();
}

}  // namespace bluebell::edge
