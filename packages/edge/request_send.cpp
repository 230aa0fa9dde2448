#include <algorithm>
#include <string_view>
#include <utility>

#include "edge/engine_statements.h"
#include "edge/peer_cut_off.h"
#include "edge/relayed_request.h"
#include "edge/stream_events.h"
#include "gateway/listener_probe.h"
#include "gateway/network.h"

namespace bluebell::edge {
namespace {

// Connecting takes one round trip of a few milliseconds at most; a lost SYN is
// retransmitted only after a second.
constexpr milliseconds kConnectTimeout{250};
// A non-repeatable request uses a recently used connection, or one to a model
// engine that has just answered a report request, because a connection that
// the engine has dropped would lose the request.
constexpr milliseconds kMaxUnverifiedIdle{400};
// Other connections may have been idle for longer; a new connection costs the
// engine more than a report request.
constexpr milliseconds kMaxIdle{3000};
// The report request is answered within a round trip of a few milliseconds.
constexpr milliseconds kLivenessTimeout{60};
// Lifetime of an idle connection if the engine states none.
constexpr milliseconds kDefaultIdleLifetime{3000};
// An idle connection is closed this long before the engine would close it.
constexpr milliseconds kIdleMargin{500};
// A repeatable request is sent to another engine after this many times the
// typical answer time, but not before this fraction of its latency objective.
constexpr double kSlowAnswerFactor = 5;
constexpr double kSlowAnswerFraction = 0.6;
// Covers one write of the store that is answered late, and one retry.
constexpr milliseconds kMaxStartWait{1000};
// An endpoint that starts writes its record within this time.
constexpr milliseconds kRecordDelay{250};
// Covers the reading of the records by another host, and one retry.
constexpr milliseconds kMaxRecordWait{1500};
// Interval at which the age of the records is checked.
constexpr milliseconds kRecordInterval{50};
// Urgency at the engine of the highest priority.
constexpr int kTopUrgency = 2;
// A connection is refused within a round trip.
constexpr milliseconds kCrashProbeTimeout{200};
// Engines that are asked whether this host has lost all of them.
constexpr std::size_t kWitnesses = 3;
// A lost SYN is no evidence of a crash.
constexpr int kMaxProbes = 2;
// An engine that has written this many events of a stream for this long does
// not crash by its request.
constexpr int kSurvivalEvents = 5;
constexpr milliseconds kSurvivalTime{300};
// Minimum number of events from which the step time is measured.
constexpr int kMinStepTimeEvents = 3;
// Limits on what one request holds in memory when an engine sends bytes without
// end: a whole answer, and one event of a stream. A host has 100 MB.
constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// A request that was in an engine's hands when its connection ended.
struct lost_request {
  request_id request;
  endpoint_id engine;
  std::string address;
  std::string fingerprint;
  /// Parts of its prompt. Empty, like the fingerprint, if the engine had
  /// survived its answer.
  std::vector<prompt_part_id> parts;
  clock::time_point sent_at;
  clock::time_point lost_at;
  /// Events of its stream that were forwarded from that engine.
  int events = 0;
};

std::string PartsText(const std::vector<prompt_part_id>& parts) {
  std::string text;
  for (const auto& part : parts) {
    if (!text.empty()) text += ',';
    text += part.value();
  }
  return text;
}

// Whether an engine other than `engine` accepts connections. If none does, the
// links of this host are at fault.
bool ReachesAnother(edge_state& host, const endpoint_id& engine,
                    boost::asio::yield_context yield) {
  std::vector<std::string> others;
  for (const auto& [id, state] : host.fleet.engines()) {
    if (id != engine) others.push_back(state.record.address);
  }
  std::shuffle(others.begin(), others.end(), host.random);
  for (std::size_t i = 0; i < std::min(others.size(), kWitnesses); ++i) {
    const auto listener =
        gateway::ProbeListener(host.io, others[i], kCrashProbeTimeout, yield);
    if (listener == gateway::listener_state::kAccepting) return true;
  }
  return others.empty();
}

bool StatesAnotherType(const http_response& head) {
  constexpr std::string_view kStreamType = "text/event-stream";
  const auto type = head.fields.Find("Content-Type");
  return !type.empty() && !gateway::EqualsIgnoringCase(
                              type.substr(0, kStreamType.size()), kStreamType);
}

}  // namespace

const char* ToString(send_result result) {
  switch (result) {
    case send_result::kDelivered:
      return "delivered";
    case send_result::kNotRun:
      return "not_run";
    case send_result::kUnknown:
      return "unknown";
    case send_result::kFailedAnswer:
      return "failed";
    case send_result::kCallerGone:
      return "caller_gone";
    case send_result::kExpired:
      return "expired";
  }
  return "";
}

void relayed_request::DetectCrash() {
  edge_state& host = host_;
  lost_request lost{
      caller_.id,
      last_engine_,
      engine_address_,
      engine_survived_ ? std::string() : fingerprint_,
      engine_survived_ ? std::vector<prompt_part_id>() : caller_.shared_parts,
      sent_at_,
      host_.time.now(),
      events_forwarded_};
  gateway::SpawnTask(host_.io, [&host, lost = std::move(lost)](auto yield) {
    const auto listener = gateway::ProbeListener(host.io, lost.address,
                                                 kCrashProbeTimeout, yield);
    if (listener != gateway::listener_state::kRefusing) return;
    host.connections.OnNotAccepted(lost.engine);
    if (!ReachesAnother(host, lost.engine, yield)) return;
    host.crashes.OnCrash(lost.fingerprint, lost.engine, lost.sent_at,
                         lost.lost_at);
    host.parts.OnCrash(lost.parts, lost.engine, lost.sent_at, lost.lost_at);
    host.log.Write("engine_crashed", {{"engine", lost.engine.value()},
                                      {"address", lost.address},
                                      {"request", lost.request.value()},
                                      {"fingerprint", lost.fingerprint},
                                      {"parts", PartsText(lost.parts)},
                                      {"events", std::to_string(lost.events)}});
  });
}

bool relayed_request::IsProvedWhole() {
  if (framing_ != gateway::body_framing::kConnection) return true;
  auto listener = gateway::listener_state::kSilent;
  for (int probes = 0;
       probes < kMaxProbes && listener == gateway::listener_state::kSilent;
       ++probes) {
    const auto timeout =
        std::min(kCrashProbeTimeout, std::max(TimeLeft(), milliseconds(1)));
    listener =
        gateway::ProbeListener(host_.io, engine_address_, timeout, yield_);
  }
  if (listener == gateway::listener_state::kAccepting) return true;
  last_detail_ = std::string("the answer ended with its connection, engine ") +
                 gateway::ToString(listener);
  return false;
}

send_result relayed_request::SendTo(const endpoint_id& id) {
  const auto* engine = host_.fleet.Find(id);
  engine_address_ = engine->record.address;
  engine_software_ = engine->record.software;
  const double typical_answer_s = engine->first_answer_s;
  ++sends_;
  reached_engine_ = false;
  const bool repeatable = route_->repeatable;
  if (engine->record.zone != host_.settings.zone) {
    host_.metrics.Count("sent_to_other_zone");
  }
  host_.fleet.OnSend(id);
  sent_at_ = host_.time.now();
  if (sends_ == 1) first_sent_at_ = sent_at_;
  last_engine_ = id;
  const auto timeout =
      std::min(kConnectTimeout, std::max(TimeLeft(), milliseconds(1)));
  // Plain endpoints do not answer report requests, and at an engine with a
  // limit these would count.
  const bool may_verify = is_model_ && !host_.limits.NeedsPermit(id);
  auto lease = host_.connections.Take(
      id, engine_address_,
      repeatable || may_verify ? kMaxIdle : kMaxUnverifiedIdle, timeout,
      yield_);
  if (lease && !repeatable && lease->idle > kMaxUnverifiedIdle &&
      !IsAlive(id, *lease)) {
    lease = host_.connections.Take(id, engine_address_, clock::duration(0),
                                   timeout, yield_);
  }
  if (!lease) {
    last_detail_ = lease.error().detail;
    host_.connections.OnNotAccepted(id);
    host_.reach.OnNotConnected();
    host_.connections.CloseIdle(id);
    host_.fleet.OnEnd(id, {true, std::nullopt, clock::duration(0), {}, {}});
    if (IsInterrupted())
      return caller_gone_ ? send_result::kCallerGone : send_result::kExpired;
    return send_result::kNotRun;
  }
  reused_ = lease->reused;
  if (!reused_) host_.reach.OnConnected();
  if (IsInterrupted() || TimeLeft() <= kDeadlineMargin) {
    host_.connections.Return(id, std::move(*lease), kDefaultIdleLifetime);
    host_.fleet.OnEnd(id, {false, std::nullopt, clock::duration(0), {}, {}});
    if (!caller_gone_) expired_ = true;
    return caller_gone_ ? send_result::kCallerGone : send_result::kExpired;
  }
  // The permit has aged while the connection was opened.
  if (!host_.limits.MayUse(
          id, id == permit_engine_ ? permit_ : serving::send_permit())) {
    host_.metrics.Count("cold_permits_denied");
    last_detail_ = "the permit was too old";
    host_.connections.Return(id, std::move(*lease), kDefaultIdleLifetime);
    host_.fleet.OnEnd(id, {false, std::nullopt, clock::duration(0), {}, {}});
    return send_result::kNotRun;
  }
  active_connection_ = lease->connection.get();
  const auto send = host_.reach.OnSend(id);
  const send_result result = Exchange(id, *lease, typical_answer_s);
  ReportCutOff(host_, "engine", engine_address_, lease->connection.get());
  host_.reach.OnEnd(send);
  active_connection_ = nullptr;
  const bool failed =
      result == send_result::kUnknown || result == send_result::kFailedAnswer ||
      (result == send_result::kNotRun && !misdirected_) ||
      (result == send_result::kExpired && !first_answer_) || stream_broken_;
  const bool may_have_crashed =
      result == send_result::kUnknown ||
      (result == send_result::kDelivered && !engine_survived_);
  if (may_have_crashed) DetectCrash();
  host_.fleet.OnEnd(id, {failed, first_answer_, host_.time.now() - sent_at_,
                         requirements_.model, MeasureStepTime()});
  host_.changed.Notify();
  return result;
}

// Tests the connection by a request for the engine's report, which needs no
// slot.
bool relayed_request::IsAlive(const endpoint_id& id,
                              engine_connections::lease& lease) {
  auto& connection = *lease.connection;
  const auto report_request = host_.dialect.ReportRequest(id);
  if (!connection.Send(report_request, kLivenessTimeout, yield_, true))
    return false;
  const auto head = connection.ReadHead(kLivenessTimeout, yield_);
  if (head) OnEngineAnswer(host_, id, *head);
  const bool read =
      head && head->status == 200 &&
      connection.ReadBody(kMaxAnswerBytes, kLivenessTimeout, yield_, &held_);
  ReportCutOff(host_, "engine", engine_address_, &connection);
  return read && connection.reusable();
}

engine_answer relayed_request::ReadAnswer(const endpoint_id& id,
                                          const http_response& head) {
  if (!forwarding_to_.value().empty()) return ReadForwardedAnswer(head);
  auto answer = host_.dialect.ReadAnswer(head, caller_.id);
  const bool ran = answer.matches_request && !answer.not_run &&
                   head.status >= 200 && head.status < 300;
  OnEngineAnswer(host_, id, head, ran ? std::optional(sent_at_) : std::nullopt);
  if (room_ != nullptr) {
    room_->outcome.load = host_.dialect.ReadStatement(head).load;
  }
  return answer;
}

send_result relayed_request::Exchange(const endpoint_id& id,
                                      engine_connections::lease& lease,
                                      double typical_answer_s) {
  reached_engine_ = true;
  first_answer_.reset();
  first_part_at_.reset();
  events_after_first_part_ = 0;
  events_forwarded_ = 0;
  engine_survived_ = false;
  stream_broken_ = false;
  last_detail_.clear();
  retry_taken_ = false;
  misdirected_ = false;
  framing_.reset();
  auto& connection = *lease.connection;
  engine_call call;
  call.engine = id;
  if (account_ != nullptr) call.account = account_->id;
  call.time_left = TimeLeft() - kDeadlineMargin;
  if (is_model_) call.urgency = Urgency();
  call.last_event = last_event_;
  const bool forwards = !forwarding_to_.value().empty();
  auto request = forwards ? ForwardedRequest(call)
                          : host_.dialect.EngineRequest(received_, call);
  if (forwarded_) request = WithoutForwardedCall(std::move(request));
  if (BeginsStream()) RecordStart();
  const auto sent =
      connection.Send(request, received_.body, TimeLeft(), yield_, true);
  if (!sent) {
    last_detail_ = sent.error().detail;
    return sent.error().code == error_code::kInvalidArgument
               ? send_result::kNotRun
               : OnConnectionLost();
  }
  auto slow_timer = RetryWhenSlow(connection, typical_answer_s);
  auto head =
      connection.ReadHead(std::max(TimeLeft(), milliseconds(1)), yield_);
  slow_timer.reset();
  if (!head) {
    last_detail_ = head.error().detail;
    if (!IsInterrupted() && !forwards) host_.reach.OnNoAnswer();
    return OnConnectionLost();
  }
  auto answer_info = ReadAnswer(id, *head);
  // An answer to an earlier request may precede the expected one.
  for (int extra = 0; !answer_info.matches_request && extra < 2; ++extra) {
    const auto skipped =
        connection.ReadBody(kMaxAnswerBytes, TimeLeft(), yield_, &held_);
    if (!skipped) return OnConnectionLost();
    connection.ExpectNextResponse();
    head = connection.ReadHead(std::max(TimeLeft(), milliseconds(1)), yield_);
    if (!head) return OnConnectionLost();
    answer_info = ReadAnswer(id, *head);
  }
  if (!answer_info.matches_request) {
    last_detail_ = "answer to another request";
    return OnConnectionLost();
  }
  if (answer_info.not_run) return OnNotRun(id, lease, *head, answer_info);
  ++runs_;
  framing_ = connection.framing();
  first_answer_ = host_.time.now() - sent_at_;
  const bool success = head->status >= 200 && head->status < 300;
  if (route_->streaming && success && !StatesAnotherType(*head)) {
    return RelayStream(id, lease, *head, answer_info);
  }
  if (sink_.started()) {
    // Part of a stream was forwarded; no other answer can follow it.
    last_detail_ = "status " + std::to_string(head->status) + " on resume";
    return send_result::kUnknown;
  }
  auto body = connection.ReadBody(
      kMaxAnswerBytes, std::max(TimeLeft(), milliseconds(1)), yield_, &held_);
  if (!body) last_detail_ = body.error().detail;
  if (!body || !IsProvedWhole()) {
    --runs_;  // counted again by OnConnectionLost
    return OnConnectionLost();
  }
  http_response answer{head->status, host_.dialect.CallerFields(*head),
                       std::move(*body)};
  ReturnConnection(id, lease, answer_info);
  if (answer.status >= 500) {
    failed_answer_ = std::move(answer);
    last_detail_ = "status " + std::to_string(failed_answer_->status);
    return send_result::kFailedAnswer;
  }
  OnEngineSurvived();
  RecordFirstAnswer();
  status_ = answer.status;
  sink_.SendResponse(answer, yield_);
  return send_result::kDelivered;
}

void relayed_request::OnEngineSurvived() {
  engine_survived_ = true;
  host_.parts.OnAnswered(caller_.shared_parts, sent_at_);
  host_.crashes.OnAnswered(fingerprint_, sent_at_);
}

send_result relayed_request::OnConnectionLost() {
  ++runs_;
  if (caller_gone_) return send_result::kCallerGone;
  if (expired_ || TimeLeft() <= milliseconds(0)) return send_result::kExpired;
  return send_result::kUnknown;
}

send_result relayed_request::OnNotRun(const endpoint_id& id,
                                      engine_connections::lease& lease,
                                      const http_response& head,
                                      const engine_answer& answer_info) {
  last_detail_ = "status " + std::to_string(head.status);
  misdirected_ = answer_info.misdirected;
  if (room_ != nullptr) room_->outcome.refused = !misdirected_;
  if (answer_info.misdirected) {
    if (!answer_info.engine.value().empty() && answer_info.engine != id) {
      host_.fleet.OnMisdirected(id);
      host_.connections.CloseIdle(id);
    } else {
      host_.fleet.OnNotResident(id, requirements_);
    }
  }
  const auto body = lease.connection->ReadBody(
      kMaxAnswerBytes, std::max(TimeLeft(), milliseconds(1)), yield_, &held_);
  if (body) ReturnConnection(id, lease, answer_info);
  if (caller_gone_) return send_result::kCallerGone;
  return send_result::kNotRun;
}

void relayed_request::ReturnConnection(const endpoint_id& id,
                                       engine_connections::lease& lease,
                                       const engine_answer& answer_info) {
  clock::duration life = kDefaultIdleLifetime;
  if (answer_info.keep_alive) life = *answer_info.keep_alive - kIdleMargin;
  active_connection_ = nullptr;
  host_.connections.Return(id, std::move(lease), life);
}

void relayed_request::RecordStart() {
  start_ticket_ = host_.versions.RecordStart(
      requirements_.service, {StreamKey(caller_.id), engine_software_},
      start_ticket_.has_value());
  recorded_at_ = engine_software_;
  if (start_ticket_) host_.versions_changed.Notify();
}

bool relayed_request::AwaitStartStored() {
  const auto wait_until = host_.time.now() + kMaxStartWait;
  while (start_ticket_ && !host_.versions.IsStored(*start_ticket_)) {
    if (IsInterrupted() || host_.time.now() >= wait_until) return false;
    host_.versions_changed.Wait(wait_until - host_.time.now(), yield_);
  }
  return true;
}

bool relayed_request::AwaitProcessKnown(const endpoint_id& id,
                                        clock::time_point opened_at) {
  // A model engine that has started again holds no model, and runs nothing
  // until it was ordered to load one by its new record.
  if (!route_->resumable || is_model_) return true;
  const auto process = [&]() -> std::optional<std::int64_t> {
    const auto* engine = host_.fleet.Find(id);
    if (engine == nullptr || engine->record.software != engine_software_) {
      return std::nullopt;
    }
    return engine->record.started_ms;
  };
  const auto sent_to = process();
  const auto was_read = [&] {
    const auto read_at = host_.records.read_at();
    return read_at && *read_at >= opened_at + kRecordDelay;
  };
  const auto begun = host_.time.now();
  const auto last_read = host_.records.read_at().value_or(opened_at);
  const bool had_ended = host_.connections.WasNotAcceptedSince(id, last_read);
  if (!had_ended && !host_.versions.HasSeveral(requirements_.service)) {
    return true;
  }
  while (sent_to && !was_read()) {
    if (IsInterrupted()) return false;
    // Without the store, only its end suggests that the endpoint has started
    // again. Records that are old already are not waited for.
    if (host_.time.now() - std::min(begun, last_read) >= kMaxRecordWait) {
      return !had_ended;
    }
    host_.changed.Wait(kRecordInterval, yield_);
  }
  return sent_to && process() == sent_to;
}

send_result relayed_request::RelayStream(const endpoint_id& id,
                                         engine_connections::lease& lease,
                                         const http_response& head,
                                         const engine_answer& answer_info) {
  const auto break_off = [&](std::string detail) {
    last_detail_ = std::move(detail);
    stream_broken_ = !IsInterrupted();
    lease.connection->Close();
    --runs_;  // counted again by OnConnectionLost
    return OnConnectionLost();
  };
  const bool from_engine = forwarding_to_.value().empty();
  bool process_known = !from_engine;
  std::string pending;
  while (true) {
    auto part = lease.connection->ReadSome(
        std::max(TimeLeft(), milliseconds(1)), yield_);
    if (!part) {
      return break_off(part.error().detail + (HoldsPartOfEvent(pending)
                                                  ? " inside an event"
                                                  : " between events"));
    }
    if (from_engine) host_.reach.OnContact();
    if (part->empty()) break;
    const auto scanned = pending.size();
    pending += *part;
    const auto complete = CompleteEvents(pending, scanned);
    if (complete == 0) {
      if (pending.size() > kMaxEventBytes) {
        lease.connection->CutOff(gateway::excess::kEvent);
        return break_off("event too large");
      }
      if (!held_.Resize(pending.size())) {
        lease.connection->CutOff(gateway::excess::kMemory);
        return break_off("too many answers are held");
      }
      continue;
    }
    if (!process_known) {
      process_known = AwaitProcessKnown(id, lease.opened_at);
      if (!process_known) return break_off("the process is not known");
    }
    if (!sink_.started()) {
      if (BeginsStream()) {
        if (!AwaitStartStored()) {
          return break_off("the start of the stream was not stored");
        }
        host_.versions.OnBegun({StreamKey(caller_.id), engine_software_});
      }
      RecordFirstAnswer();
      if (from_engine) began_at_ = engine_software_;
      sink_.StartStream({head.status, host_.dialect.CallerFields(head), {}},
                        yield_);
    }
    const auto now = host_.time.now();
    if (last_event_at_) {
      longest_gap_ = std::max(longest_gap_, now - *last_event_at_);
    }
    last_event_at_ = now;
    const std::string events = pending.substr(0, complete);
    const int event_count = CountEvents(events);
    events_forwarded_ += event_count;
    if (first_part_at_) {
      events_after_first_part_ += event_count;
    } else {
      first_part_at_ = now;
    }
    pending.erase(0, complete);
    if (route_->resumable) {
      const auto event = LastEventId(events);
      if (!event.empty()) last_event_ = event;
    }
    if (!engine_survived_ && events_forwarded_ >= kSurvivalEvents &&
        now - *first_part_at_ >= kSurvivalTime) {
      OnEngineSurvived();
    }
    sink_.SendChunk(events, yield_);
    if (caller_gone_ || sink_.caller_disconnected()) {
      lease.connection->Close();
      return send_result::kCallerGone;
    }
  }
  const bool unframed = framing_ == gateway::body_framing::kConnection;
  // An answer without type or events is whole if its framing says so.
  const bool may_be_plain =
      !sink_.started() && !unframed && head.fields.Find("Content-Type").empty();
  if (!may_be_plain && HoldsPartOfEvent(pending)) {
    return break_off("the stream ended inside an event");
  }
  // Such a connection closes in the same way when the engine ends after the
  // head of its answer.
  if (!sink_.started() && unframed) {
    return break_off("the stream ended without an event");
  }
  if (!IsProvedWhole()) return break_off(last_detail_);
  OnEngineSurvived();
  ReturnConnection(id, lease, answer_info);
  status_ = head.status;
  if (!sink_.started()) {
    sink_.SendResponse(
        {head.status, host_.dialect.CallerFields(head), std::move(pending)},
        yield_);
    return send_result::kDelivered;
  }
  if (!pending.empty()) sink_.SendChunk(pending, yield_);
  sink_.FinishStream(yield_);
  return send_result::kDelivered;
}

// The step time of a stream is the time between events, which does not depend
// on the prompt length; that of a plain answer is the time to the answer.
std::optional<clock::duration> relayed_request::MeasureStepTime() const {
  if (!route_->streaming) return first_answer_;
  if (!first_part_at_ || events_after_first_part_ < kMinStepTimeEvents)
    return std::nullopt;
  return (*last_event_at_ - *first_part_at_) / events_after_first_part_;
}

timer_handle relayed_request::RetryWhenSlow(
    gateway::endpoint_connection& connection, double typical_answer_s) {
  const bool forwards = !forwarding_to_.value().empty();
  if (forwards || !MayRetry() || runs_ + 1 >= route_->max_attempts) return {};
  const auto slow = std::max(
      ToMilliseconds(FractionOf(route_->target_latency, kSlowAnswerFraction)),
      milliseconds(
          static_cast<int>(1000 * kSlowAnswerFactor * typical_answer_s)));
  return host_.time.CallAfter(slow, [this, &connection] {
    // Without a retry left, a slow answer is better than none.
    retry_taken_ = !IsInterrupted() && TakeRetry();
    if (retry_taken_) connection.Close();
  });
}

int relayed_request::Urgency() const {
  const int priority = account_ != nullptr && account_->priority
                           ? std::min(*account_->priority, route_->priority)
                           : route_->priority;
  return std::clamp(kTopUrgency + priority, 0, 9);
}

void relayed_request::RecordFirstAnswer() {
  first_forwarded_at_ = host_.time.now();
  host_.metrics.RecordFirstAnswer(RouteKind(),
                                  *first_forwarded_at_ - received_at_);
}

void relayed_request::LogSend(const endpoint_id& engine, send_result result) {
  // A first send that succeeds is covered by `request_end`.
  if (result == send_result::kDelivered && sends_ == 1) return;
  host_.log.Write("send_end",
                  {{"request", caller_.id.value()},
                   {"engine", engine.value()},
                   {"forwarded_to", forwarding_to_.value()},
                   {"software", engine_software_.value()},
                   {"outcome", ToString(result)},
                   {"reused", reused_ ? "yes" : "no"},
                   {"framing", FramingText()},
                   {"detail", last_detail_},
                   {"sends", std::to_string(sends_)},
                   {"ms", MillisecondText(host_.time.now() - sent_at_)}});
}

}  // namespace bluebell::edge
