#include <algorithm>

#include "edge/relayed_request.h"
#include "edge/stream_events.h"
#include "gateway/network.h"

namespace bluebell::edge {
namespace {

// A connection opens within a round trip of at most a few milliseconds; a lost
// opening packet is sent again only after a second.
constexpr milliseconds kConnectTimeout{250};
// A request that must not be repeated uses a connection that was busy just
// before, or one to a model engine that has answered a question first: one that
// the engine has dropped would lose the request.
constexpr milliseconds kHotIdle{400};
// Other connections may have been idle for longer; a new one costs the engine
// more than a question.
constexpr milliseconds kWarmIdle{3000};
// The question is answered within a round trip of a few milliseconds.
constexpr milliseconds kAliveTimeout{60};
// Life of an idle connection whose engine states none.
constexpr milliseconds kDefaultIdle{3000};
// An idle connection is given up this long before the engine closes it.
constexpr milliseconds kIdleMargin{500};
// A repeatable request is given to another engine after this many times the
// usual answer time, and not before this part of its objective.
constexpr double kSlowAnswerFactor = 5;
constexpr double kSlowAnswerPart = 0.6;
// Urgency on the engine of the most important priority.
constexpr int kFirstUrgency = 2;
// A refused connection answers within a round trip.
constexpr milliseconds kCrashCheck{200};
// Fewer events than this are too few to tell the pace of an engine.
constexpr int kLeastPaceEvents = 3;
constexpr std::size_t kMostAnswerBytes = 16 * 1024 * 1024;

}  // namespace

const char* ToString(send_end end) {
  switch (end) {
    case send_end::kDelivered:
      return "delivered";
    case send_end::kNotRun:
      return "not_run";
    case send_end::kUnknown:
      return "unknown";
    case send_end::kFailedAnswer:
      return "failed";
    case send_end::kCallerGone:
      return "caller_gone";
    case send_end::kExpired:
      return "expired";
  }
  return "";
}

void relayed_request::CheckForCrash(const std::string& address) {
  edge_state& host = host_;
  gateway::SpawnTask(
      host_.io, [&host, address, fingerprint = fingerprint_](auto yield) {
        const auto begun = host.time.now();
        const auto opened = gateway::endpoint_connection::Connect(
            host.io, address, kCrashCheck, yield);
        const bool refused = !opened && host.time.now() - begun < kCrashCheck;
        if (!refused) return;
        host.crashes.RecordCrash(fingerprint);
        host.log.Write("engine_crashed",
                       {{"address", address}, {"fingerprint", fingerprint}});
      });
}

send_end relayed_request::SendTo(const endpoint_id& id) {
  const auto* engine = host_.fleet.Find(id);
  const std::string address = engine->record.address;
  const double usual_answer = engine->answer_s;
  ++sends_;
  arrived_ = false;
  const bool repeatable = route_->repeatable;
  host_.fleet.OnSend(id);
  sent_at_ = host_.time.now();
  if (sends_ == 1) first_sent_at_ = sent_at_;
  last_engine_ = id;
  const auto timeout =
      std::min(kConnectTimeout, std::max(Left(), milliseconds(1)));
  // Plain endpoints do not answer the question.
  auto lease = host_.connections.Take(
      id, address, repeatable || is_model_ ? kWarmIdle : kHotIdle, timeout,
      yield_);
  if (lease && !repeatable && lease->idle > kHotIdle && !IsAlive(id, *lease)) {
    lease = host_.connections.Take(id, address, clock::duration(0), timeout,
                                   yield_);
  }
  if (!lease) {
    last_detail_ = lease.error().detail;
    host_.connections.Drop(id);
    host_.fleet.OnEnd(id, {true, std::nullopt, clock::duration(0), {}, {}});
    if (Over())
      return caller_gone_ ? send_end::kCallerGone : send_end::kExpired;
    return send_end::kNotRun;
  }
  reused_ = lease->reused;
  if (Over() || Left() <= kDeadlineMargin) {
    host_.connections.Return(id, std::move(*lease), kDefaultIdle);
    host_.fleet.OnEnd(id, {false, std::nullopt, clock::duration(0), {}, {}});
    if (!caller_gone_) expired_ = true;
    return caller_gone_ ? send_end::kCallerGone : send_end::kExpired;
  }
  open_ = lease->connection.get();
  const send_end end = Exchange(id, *lease, usual_answer);
  open_ = nullptr;
  const bool failed =
      end == send_end::kUnknown || end == send_end::kFailedAnswer ||
      (end == send_end::kNotRun && !misdirected_) ||
      (end == send_end::kExpired && !first_answer_) || broke_off_;
  if (end == send_end::kUnknown) CheckForCrash(address);
  host_.fleet.OnEnd(id, {failed, first_answer_, host_.time.now() - sent_at_,
                         need_.model, Step()});
  host_.changed.Notify();
  return end;
}

// Asks the engine for its report, which needs no slot, to learn whether the
// connection still exists.
bool relayed_request::IsAlive(const endpoint_id& id,
                              engine_connections::lease& lease) {
  auto& connection = *lease.connection;
  const auto question = host_.dialect.ReportRequest(id);
  if (!connection.Send(question, kAliveTimeout, yield_, true)) return false;
  const auto head = connection.ReadHead(kAliveTimeout, yield_);
  if (!head || head->status != 200) return false;
  return connection.ReadBody(kMostAnswerBytes, kAliveTimeout, yield_) &&
         connection.reusable();
}

send_end relayed_request::Exchange(const endpoint_id& id,
                                   engine_connections::lease& lease,
                                   double usual_answer) {
  arrived_ = true;
  first_answer_.reset();
  first_part_at_.reset();
  later_events_ = 0;
  broke_off_ = false;
  last_detail_.clear();
  misdirected_ = false;
  auto& connection = *lease.connection;
  engine_call call;
  call.engine = id;
  if (account_ != nullptr) call.account = account_->id;
  call.time_left = Left() - kDeadlineMargin;
  if (is_model_) call.urgency = Urgency();
  call.last_event = last_event_;
  const auto request = host_.dialect.EngineRequest(received_, call);
  if (!connection.Send(request, Left(), yield_, true)) return Lost();
  const auto limit = AnswerLimit(usual_answer);
  auto head = connection.ReadHead(limit, yield_);
  if (!head) {
    last_detail_ = head.error().detail;
    return Lost();
  }
  auto facts = host_.dialect.ReadAnswer(*head, caller_.id);
  // An answer to an earlier request may stand before this one's.
  for (int extra = 0; !facts.belongs && extra < 2; ++extra) {
    const auto skipped = connection.ReadBody(kMostAnswerBytes, Left(), yield_);
    if (!skipped) return Lost();
    connection.ExpectNextResponse();
    head = connection.ReadHead(std::max(Left(), milliseconds(1)), yield_);
    if (!head) return Lost();
    facts = host_.dialect.ReadAnswer(*head, caller_.id);
  }
  if (!facts.belongs) {
    last_detail_ = "answer to another request";
    return Lost();
  }
  if (facts.not_run) return NotRun(id, lease, *head, facts);
  ++runs_;
  first_answer_ = host_.time.now() - sent_at_;
  const bool success = head->status >= 200 && head->status < 300;
  if (route_->streaming && success) {
    return RelayStream(id, lease, *head, facts);
  }
  if (sink_.started()) {
    // Part of a stream went to the caller; no other answer can follow it.
    last_detail_ = "status " + std::to_string(head->status) + " on resume";
    return send_end::kUnknown;
  }
  auto body = connection.ReadBody(kMostAnswerBytes,
                                  std::max(Left(), milliseconds(1)), yield_);
  if (!body) {
    last_detail_ = body.error().detail;
    --runs_;  // counted again by Lost
    return Lost();
  }
  http_response answer{head->status, host_.dialect.CallerFields(*head),
                       std::move(*body)};
  Keep(id, lease, facts);
  if (answer.status >= 500) {
    failed_answer_ = std::move(answer);
    last_detail_ = "status " + std::to_string(failed_answer_->status);
    return send_end::kFailedAnswer;
  }
  RecordFirstAnswer();
  status_ = answer.status;
  sink_.SendResponse(answer, yield_);
  return send_end::kDelivered;
}

send_end relayed_request::Lost() {
  ++runs_;
  if (caller_gone_) return send_end::kCallerGone;
  if (expired_ || Left() <= milliseconds(0)) return send_end::kExpired;
  return send_end::kUnknown;
}

send_end relayed_request::NotRun(const endpoint_id& id,
                                 engine_connections::lease& lease,
                                 const http_response& head,
                                 const engine_answer& facts) {
  last_detail_ = "status " + std::to_string(head.status);
  misdirected_ = facts.misdirected;
  if (facts.misdirected) {
    if (!facts.engine.value().empty() && facts.engine != id) {
      host_.fleet.OnMisdirected(id);
      host_.connections.Drop(id);
    } else {
      host_.fleet.OnAbsent(id, need_);
    }
  }
  const auto body = lease.connection->ReadBody(
      kMostAnswerBytes, std::max(Left(), milliseconds(1)), yield_);
  if (body) Keep(id, lease, facts);
  if (caller_gone_) return send_end::kCallerGone;
  return send_end::kNotRun;
}

void relayed_request::Keep(const endpoint_id& id,
                           engine_connections::lease& lease,
                           const engine_answer& facts) {
  clock::duration life = kDefaultIdle;
  if (facts.keep_alive) life = *facts.keep_alive - kIdleMargin;
  open_ = nullptr;
  host_.connections.Return(id, std::move(lease), life);
}

send_end relayed_request::RelayStream(const endpoint_id& id,
                                      engine_connections::lease& lease,
                                      const http_response& head,
                                      const engine_answer& facts) {
  std::string pending;
  while (true) {
    auto part =
        lease.connection->ReadSome(std::max(Left(), milliseconds(1)), yield_);
    if (!part) {
      last_detail_ = part.error().detail;
      broke_off_ = !Over();
      --runs_;
      return Lost();
    }
    if (part->empty()) break;
    pending += *part;
    const auto whole = CompleteEvents(pending);
    if (whole == 0) continue;
    if (!sink_.started()) {
      RecordFirstAnswer();
      sink_.StartStream({head.status, host_.dialect.CallerFields(head), {}},
                        yield_);
    }
    const auto now = host_.time.now();
    if (last_event_at_) {
      longest_gap_ = std::max(longest_gap_, now - *last_event_at_);
    }
    last_event_at_ = now;
    const std::string events = pending.substr(0, whole);
    if (first_part_at_) {
      later_events_ += CountEvents(events);
    } else {
      first_part_at_ = now;
    }
    pending.erase(0, whole);
    if (route_->resumable) {
      const auto event = LastEventId(events);
      if (!event.empty()) last_event_ = event;
    }
    sink_.SendChunk(events, yield_);
    if (caller_gone_ || sink_.caller_disconnected()) {
      lease.connection->Close();
      return send_end::kCallerGone;
    }
  }
  Keep(id, lease, facts);
  status_ = head.status;
  if (!sink_.started()) {
    sink_.SendResponse(
        {head.status, host_.dialect.CallerFields(head), std::move(pending)},
        yield_);
    return send_end::kDelivered;
  }
  if (!pending.empty()) sink_.SendChunk(pending, yield_);
  sink_.FinishStream(yield_);
  return send_end::kDelivered;
}

// Streams are measured by the time between events, which prompts of different
// lengths do not change; plain answers by the time to the answer.
std::optional<clock::duration> relayed_request::Step() const {
  if (!route_->streaming) return first_answer_;
  if (!first_part_at_ || later_events_ < kLeastPaceEvents) return std::nullopt;
  return (*last_event_at_ - *first_part_at_) / later_events_;
}

milliseconds relayed_request::AnswerLimit(double usual_answer) const {
  const auto left = std::max(Left(), milliseconds(1));
  if (!MayRepeat() || runs_ + 1 >= route_->max_attempts) return left;
  const auto slow = std::max(
      ToMilliseconds(PartOf(route_->target_latency, kSlowAnswerPart)),
      milliseconds(static_cast<int>(1000 * kSlowAnswerFactor * usual_answer)));
  return std::min(left, slow);
}

int relayed_request::Urgency() const {
  const int priority = account_ != nullptr && account_->priority
                           ? std::min(*account_->priority, route_->priority)
                           : route_->priority;
  return std::clamp(kFirstUrgency + priority, 0, 9);
}

void relayed_request::RecordFirstAnswer() {
  first_at_ = host_.time.now();
  host_.metrics.RecordFirstAnswer(Kind(), *first_at_ - begun_);
}

void relayed_request::LogSend(const endpoint_id& engine, send_end end) {
  // The end of the request tells of a send that succeeded at once.
  if (end == send_end::kDelivered && sends_ == 1) return;
  host_.log.Write("send_end",
                  {{"request", caller_.id.value()},
                   {"engine", engine.value()},
                   {"outcome", ToString(end)},
                   {"reused", reused_ ? "yes" : "no"},
                   {"detail", last_detail_},
                   {"sends", std::to_string(sends_)},
                   {"ms", MillisecondText(host_.time.now() - sent_at_)}});
}

}  // namespace bluebell::edge
