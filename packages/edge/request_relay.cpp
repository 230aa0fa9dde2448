#include "edge/request_relay.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>

#include "gateway/network.h"

namespace bluebell::edge {
namespace {

namespace asio = boost::asio;
using gateway::answer_sink;
using serving::choice_status;
using serving::engine_choice;
using serving::engine_need;

// A connection opens within a round trip of at most a few milliseconds; a lost
// opening packet is sent again only after a second.
constexpr milliseconds kConnectTimeout{250};
// A request that must not be repeated uses only a connection that was busy
// just before: one that the engine has dropped would lose the request.
constexpr milliseconds kHotIdle{400};
// Repeatable requests may try connections that were idle for longer.
constexpr milliseconds kWarmIdle{3000};
// Life of an idle connection whose engine states none.
constexpr milliseconds kDefaultIdle{3000};
// An idle connection is given up this long before the engine closes it.
constexpr milliseconds kIdleMargin{500};
// The engine's time ends before the caller's, so that its answer arrives.
constexpr milliseconds kDeadlineMargin{5};
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
// A repeatable request is given to another engine after this many times the
// usual answer time, and not before this part of its objective.
constexpr double kSlowAnswerFactor = 5;
constexpr double kSlowAnswerPart = 0.6;
// Part of the connections that an engine accepts; the rest covers orders,
// idle connections and hosts that are not heard.
constexpr double kConnectionPart = 0.8;
// Urgency on the engine of the most important priority.
constexpr int kFirstUrgency = 2;
// Crashes over all hosts after which a request is refused: three engines that
// it ended are evidence enough, and one more is allowed for.
constexpr int kMostCrashes = 3;
// A refused connection answers within a round trip.
constexpr milliseconds kCrashCheck{200};
constexpr std::size_t kMostAnswerBytes = 16 * 1024 * 1024;

milliseconds ToMs(clock::duration span) {
  return std::chrono::duration_cast<milliseconds>(span);
}

std::string Text(milliseconds span) { return std::to_string(span.count()); }

// End position of the last complete event in `bytes`, or 0.
std::size_t CompleteEvents(const std::string& bytes) {
  const auto unix_end = bytes.rfind("\n\n");
  const auto dos_end = bytes.rfind("\r\n\r\n");
  std::size_t end = 0;
  if (unix_end != std::string::npos) end = unix_end + 2;
  if (dos_end != std::string::npos) end = std::max(end, dos_end + 4);
  return end;
}

// Id of the last event in `events`, or empty.
std::string LastEventId(const std::string& events) {
  std::string id;
  std::size_t line = 0;
  while (line < events.size()) {
    auto end = events.find('\n', line);
    if (end == std::string::npos) end = events.size();
    if (events.compare(line, 3, "id:") == 0) {
      auto value = events.find_first_not_of(' ', line + 3);
      if (value < end) id = events.substr(value, end - value);
      if (!id.empty() && id.back() == '\r') id.pop_back();
    }
    line = end + 1;
  }
  return id;
}

// How one send to an engine ended, for the next step.
enum class send_end {
  /// The answer went to the caller, in full or as far as it came.
  kDelivered,
  /// The engine certainly did not run it; another may.
  kNotRun,
  /// It may have run, and no answer went to the caller.
  kUnknown,
  /// The engine ran it and failed; its answer is kept for the caller.
  kFailedAnswer,
  kCallerGone,
  kExpired,
};

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

// One request on its way through this host.
class relayed_request {
 public:
  relayed_request(edge_state& host, const http_request& received,
                  answer_sink& sink, asio::yield_context yield)
      : host_(host),
        received_(received),
        sink_(sink),
        yield_(yield),
        begun_(host.time.now()),
        config_(host.config),
        caller_(host.dialect.ReadRequest(received)) {}

  void Run() {
    if (!Admit()) return;
    Arm();
    Dispatch();
    deadline_timer_.reset();
    sink_.OnCallerGone(nullptr);
  }

 private:
  // Route, account and limits. Returns false if the request was refused.
  bool Admit() {
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
    if (is_model_) host_.demand.Count(need_.model, need_.adapter);
    if (account_ != nullptr && !host_.quota.Take(account_->id, Tokens())) {
      const double seconds = host_.quota.SecondsUntil(account_->id, Tokens());
      return Refuse(429, "over_quota",
                    milliseconds(static_cast<int>(seconds * 1000)) + Spread());
    }
    host_.retries.OnRequest(need_.service);
    fingerprint_ = Fingerprint();
    if (host_.crashes.Crashes(fingerprint_) >= kMostCrashes) {
      return Refuse(503, "crashes_engines", std::nullopt);
    }
    return true;
  }

  // Identifies the same request when it comes again.
  std::string Fingerprint() const {
    std::string text = received_.method + ' ' + received_.path + '?' +
                       received_.query + '\n' +
                       (account_ == nullptr ? "" : account_->id.value()) +
                       '\n' + received_.body;
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
  }

  // An engine whose address refuses connections right after it lost a request
  // has crashed; the request may be the cause.
  void CheckForCrash(const std::string& address) {
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

  double Tokens() const {
    if (!caller_.prompt_tokens || !caller_.output_tokens) {
      return static_cast<double>(account_->plain_tokens);
    }
    return static_cast<double>(*caller_.prompt_tokens + *caller_.output_tokens);
  }

  // Splits the route's requests over its services by weight.
  serving::service_id ChooseService() {
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

  // Ends a wait or a send when the caller leaves or the time is over.
  void Arm() {
    sink_.OnCallerGone([this] { Interrupt(caller_gone_); });
    deadline_timer_ = host_.time.CallAfter(deadline_ - begun_,
                                           [this] { Interrupt(expired_); });
    if (sink_.caller_gone()) caller_gone_ = true;
  }

  void Interrupt(bool& flag) {
    flag = true;
    if (open_ != nullptr) open_->Close();
    host_.changed.Notify();
  }

  bool Over() const { return caller_gone_ || expired_; }

  milliseconds Left() const {
    return std::max(milliseconds(0), ToMs(deadline_ - host_.time.now()));
  }

  void Dispatch() {
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
            sink_.SendWhole(*failed_answer_, yield_);
            return End("engine_failed", failed_answer_->status);
          }
          break;
      }
    }
  }

  bool MayRepeat() const {
    const bool resumes = sink_.started();
    return route_->repeatable && (!resumes || route_->resumable) &&
           runs_ < route_->max_attempts && Left() > kDeadlineMargin;
  }

  bool TakeRetry() {
    return host_.retries.Take(need_.service, host_.directory.HostCount());
  }

  // Chooses an engine. Waits while a model or an adapter is on its way and the
  // time suffices; does not wait for what cannot come in time.
  engine_choice Wait() {
    const auto patience = begun_ + ToDuration(kWaitPart, CallerPatience());
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
      waited_ = true;
      host_.changed.Wait(
          std::min<clock::duration>(patience - now, kWantInterval), yield_);
    }
  }

  // How long the caller waits for the first event or the answer.
  clock::duration CallerPatience() const {
    const auto time = deadline_ - begun_;
    if (!route_->streaming) return time;
    const auto gap =
        std::max({kStreamPatience, kStreamObjectives * route_->target_latency,
                  kStreamGaps * route_->event_gap_target});
    return std::min<clock::duration>(time, gap);
  }

  clock::duration SlotWait() const {
    const auto objective = ToDuration(kSlotWaitPart, route_->target_latency);
    return std::min<clock::duration>(objective, Left());
  }

  static clock::duration ToDuration(double part, clock::duration span) {
    return std::chrono::duration_cast<clock::duration>(part * span);
  }

  // No engine was found: nothing has run, unless an earlier send may have.
  void EndUnsent(const engine_choice& choice) {
    if (caller_gone_) return End("caller_gone", 0);
    if (may_have_run_ || sink_.started()) {
      if (failed_answer_ && !sink_.started()) {
        sink_.SendWhole(*failed_answer_, yield_);
        return End("engine_failed", failed_answer_->status);
      }
      return Fail(expired_ ? 504 : 502, "engine_lost");
    }
    switch (choice.status) {
      case choice_status::kBusy:
        Refuse(503, "engines_busy", ToMs(choice.wait) + Spread());
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

  send_end SendTo(const endpoint_id& id) {
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
    auto lease = host_.connections.Take(
        id, address, repeatable ? kWarmIdle : kHotIdle,
        std::min(kConnectTimeout, std::max(Left(), milliseconds(1))), yield_);
    if (!lease) {
      last_detail_ = lease.error().detail;
      host_.connections.Drop(id);
      host_.fleet.OnEnd(id, {true, std::nullopt, clock::duration(0)});
      if (Over())
        return caller_gone_ ? send_end::kCallerGone : send_end::kExpired;
      return send_end::kNotRun;
    }
    reused_ = lease->reused;
    if (Over() || Left() <= kDeadlineMargin) {
      host_.connections.Return(id, std::move(*lease), kDefaultIdle);
      host_.fleet.OnEnd(id, {false, std::nullopt, clock::duration(0)});
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
    host_.fleet.OnEnd(id, {failed, first_answer_, host_.time.now() - sent_at_});
    host_.changed.Notify();
    return end;
  }

  // Sends the request on an open connection and relays the answer.
  send_end Exchange(const endpoint_id& id, engine_connections::lease& lease,
                    double usual_answer) {
    arrived_ = true;
    first_answer_.reset();
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
      const auto skipped =
          connection.ReadRest(kMostAnswerBytes, Left(), yield_);
      if (!skipped) return Lost();
      connection.ExpectAnother();
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
    auto body = connection.ReadRest(kMostAnswerBytes,
                                    std::max(Left(), milliseconds(1)), yield_);
    if (!body) {
      last_detail_ = body.error().detail;
      --runs_;  // counted again by Lost
      return Lost();
    }
    http_answer answer{head->status, host_.dialect.CallerFields(*head),
                       std::move(*body)};
    Keep(id, lease, facts);
    if (answer.status >= 500) {
      failed_answer_ = std::move(answer);
      last_detail_ = "status " + std::to_string(failed_answer_->status);
      return send_end::kFailedAnswer;
    }
    RecordFirstAnswer();
    status_ = answer.status;
    sink_.SendWhole(answer, yield_);
    return send_end::kDelivered;
  }

  // The connection ended without an answer; the request may have run.
  send_end Lost() {
    ++runs_;
    if (caller_gone_) return send_end::kCallerGone;
    if (expired_ || Left() <= milliseconds(0)) return send_end::kExpired;
    return send_end::kUnknown;
  }

  send_end NotRun(const endpoint_id& id, engine_connections::lease& lease,
                  const http_answer& head, const engine_answer& facts) {
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
    const auto body = lease.connection->ReadRest(
        kMostAnswerBytes, std::max(Left(), milliseconds(1)), yield_);
    if (body) Keep(id, lease, facts);
    if (caller_gone_) return send_end::kCallerGone;
    return send_end::kNotRun;
  }

  void Keep(const endpoint_id& id, engine_connections::lease& lease,
            const engine_answer& facts) {
    clock::duration life = kDefaultIdle;
    if (facts.keep_alive) life = *facts.keep_alive - kIdleMargin;
    open_ = nullptr;
    host_.connections.Return(id, std::move(lease), life);
  }

  // Forwards whole events as they come. A stream that ends early is broken
  // off, or resumed by another send after its last event.
  send_end RelayStream(const endpoint_id& id, engine_connections::lease& lease,
                       const http_answer& head, const engine_answer& facts) {
    std::string pending;
    while (true) {
      auto part =
          lease.connection->ReadPart(std::max(Left(), milliseconds(1)), yield_);
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
      const std::string events = pending.substr(0, whole);
      pending.erase(0, whole);
      if (route_->resumable) {
        const auto event = LastEventId(events);
        if (!event.empty()) last_event_ = event;
      }
      sink_.SendPart(events, yield_);
      if (caller_gone_ || sink_.caller_gone()) {
        lease.connection->Close();
        return send_end::kCallerGone;
      }
    }
    Keep(id, lease, facts);
    status_ = head.status;
    if (!sink_.started()) {
      sink_.SendWhole(
          {head.status, host_.dialect.CallerFields(head), std::move(pending)},
          yield_);
      return send_end::kDelivered;
    }
    if (!pending.empty()) sink_.SendPart(pending, yield_);
    sink_.FinishStream(yield_);
    return send_end::kDelivered;
  }

  // A repeatable request is not left with an engine that has stalled.
  milliseconds AnswerLimit(double usual_answer) const {
    const auto left = std::max(Left(), milliseconds(1));
    if (!MayRepeat() || runs_ + 1 >= route_->max_attempts) return left;
    const auto slow =
        std::max(ToMs(ToDuration(kSlowAnswerPart, route_->target_latency)),
                 milliseconds(static_cast<int>(1000 * kSlowAnswerFactor *
                                               usual_answer)));
    return std::min(left, slow);
  }

  int Urgency() const {
    const int priority = account_ != nullptr && account_->priority
                             ? std::min(*account_->priority, route_->priority)
                             : route_->priority;
    return std::clamp(kFirstUrgency + priority, 0, 9);
  }

  void RecordFirstAnswer() {
    first_at_ = host_.time.now();
    host_.metrics.RecordFirstAnswer(Kind(), *first_at_ - begun_);
  }

  std::string Kind() const {
    if (route_ == nullptr) return "none";
    if (route_->streaming) return "streaming";
    return route_->repeatable ? "repeatable" : "once";
  }

  milliseconds Spread() {
    return milliseconds(
        std::uniform_int_distribution<int>(20, 200)(host_.random));
  }
  milliseconds Soon() { return kSoon + Spread(); }

  bool Refuse(int status, const char* reason,
              std::optional<milliseconds> retry_after) {
    sink_.SendWhole(host_.dialect.OwnAnswer(status, caller_.id, retry_after),
                    yield_);
    End(reason, status);
    return false;
  }

  // The request may have run, so the answer promises nothing.
  void Fail(int status, const char* reason) {
    if (sink_.started()) {
      sink_.BreakStream();
    } else {
      const bool not_run = !may_have_run_ && runs_ == 0;
      sink_.SendWhole(host_.dialect.OwnAnswer(not_run ? 503 : status,
                                              caller_.id, std::nullopt),
                      yield_);
    }
    End(reason, status);
  }

  void End(const std::string& outcome, int status) {
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
         {"wait_ms", sends_ == 0 ? "" : Text(ToMs(first_sent_at_ - begun_))},
         {"first_ms", first_at_ ? Text(ToMs(*first_at_ - begun_)) : ""},
         {"config", config_ == nullptr ? "" : std::to_string(config_->version)},
         {"config_age_ms", age ? Text(ToMs(*age)) : ""},
         {"detail", last_detail_},
         {"ms", Text(ToMs(total))}});
  }

  void LogSend(const endpoint_id& engine, send_end end) {
    // The end of the request tells of a send that succeeded at once.
    if (end == send_end::kDelivered && sends_ == 1) return;
    host_.log.Write("send_end",
                    {{"request", caller_.id.value()},
                     {"engine", engine.value()},
                     {"outcome", ToString(end)},
                     {"reused", reused_ ? "yes" : "no"},
                     {"detail", last_detail_},
                     {"sends", std::to_string(sends_)},
                     {"ms", Text(ToMs(host_.time.now() - sent_at_))}});
  }

  // Shortest wait that is worth a caller's new connection.
  static constexpr milliseconds kNow{0};
  static constexpr milliseconds kSoon{250};
  // The placement holder is asked again for an adapter this often.
  static constexpr milliseconds kWantInterval{100};

  edge_state& host_;
  const http_request& received_;
  answer_sink& sink_;
  asio::yield_context yield_;
  clock::time_point begun_;
  std::shared_ptr<const serving::serving_config> config_;
  caller_request caller_;
  timer_handle deadline_timer_;

  const serving::route* route_ = nullptr;
  const serving::account* account_ = nullptr;
  bool is_model_ = false;
  std::string fingerprint_;
  engine_need need_;
  clock::time_point deadline_;
  bool caller_gone_ = false;
  bool expired_ = false;
  bool waited_ = false;

  std::set<endpoint_id> tried_;
  int sends_ = 0;
  /// Engines that ran or may have run the request.
  int runs_ = 0;
  bool may_have_run_ = false;
  std::optional<http_answer> failed_answer_;
  std::string last_event_;

  clock::time_point first_sent_at_;
  std::optional<clock::time_point> first_at_;

  // The current or last send.
  endpoint_id last_engine_;
  gateway::endpoint_connection* open_ = nullptr;
  clock::time_point sent_at_;
  std::optional<clock::duration> first_answer_;
  bool reused_ = false;
  /// The send reached an engine; without a connection it did not.
  bool arrived_ = false;
  bool broke_off_ = false;
  bool misdirected_ = false;
  int status_ = 0;
  std::string last_detail_;
};

}  // namespace

void RelayRequest(edge_state& host, const http_request& received,
                  answer_sink& sink, asio::yield_context yield) {
  relayed_request(host, received, sink, yield).Run();
}

}  // namespace bluebell::edge
