#pragma once

#include <boost/asio/spawn.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "edge/edge_state.h"
#include "edge/engine_connections.h"
#include "gateway/response_writer.h"

namespace bluebell::edge {

/// How one send to an engine ended, for the next step.
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

const char* ToString(send_end end);

inline milliseconds ToMilliseconds(clock::duration span) {
  return std::chrono::duration_cast<milliseconds>(span);
}

/// Whole milliseconds of `span`, for the log.
inline std::string MillisecondText(clock::duration span) {
  return std::to_string(ToMilliseconds(span).count());
}

/// One request on its way through this host.
class relayed_request {
 public:
  relayed_request(edge_state& host, const http_request& received,
                  gateway::response_writer& sink,
                  boost::asio::yield_context yield)
      : host_(host),
        received_(received),
        sink_(sink),
        yield_(yield),
        begun_(host.time.now()),
        config_(host.config),
        caller_(host.dialect.ReadRequest(received)) {}

  /// Serves the request to its end.
  void Run();

 private:
  // Route, account and limits. Returns false if the request was refused.
  bool Admit();
  void AwaitConfig();
  // Identifies the same request when it comes again.
  std::string Fingerprint() const;
  // An engine whose address refuses connections right after it lost a request
  // has crashed; the request may be the cause.
  void CheckForCrash(const std::string& address);
  double Tokens() const;
  // Splits the route's requests over its services by weight.
  serving::service_id ChooseService();
  // Ends a wait or a send when the caller leaves or the time is over.
  void Arm();
  void Interrupt(bool& flag);
  bool Over() const { return caller_gone_ || expired_; }
  milliseconds Left() const;
  void Dispatch();
  bool MayRepeat() const;
  bool TakeRetry();
  // Chooses an engine. Waits while a model or an adapter is on its way and the
  // time suffices; does not wait for what cannot come in time.
  serving::engine_choice Wait();
  // How long the caller waits for the first event or the answer.
  clock::duration CallerPatience() const;
  clock::duration SlotWait() const;
  static clock::duration PartOf(clock::duration span, double part);
  // No engine was found: nothing has run, unless an earlier send may have.
  void EndUnsent(const serving::engine_choice& choice);
  send_end SendTo(const endpoint_id& id);
  // Whether a connection that was idle for a while still exists.
  bool IsAlive(const endpoint_id& id, engine_connections::lease& lease);
  // Sends the request on an open connection and relays the answer.
  send_end Exchange(const endpoint_id& id, engine_connections::lease& lease,
                    double usual_answer);
  // The connection ended without an answer; the request may have run.
  send_end Lost();
  send_end NotRun(const endpoint_id& id, engine_connections::lease& lease,
                  const http_response& head, const engine_answer& facts);
  void Keep(const endpoint_id& id, engine_connections::lease& lease,
            const engine_answer& facts);
  // Forwards whole events as they come. A stream that ends early is broken
  // off, or resumed by another send after its last event.
  send_end RelayStream(const endpoint_id& id, engine_connections::lease& lease,
                       const http_response& head, const engine_answer& facts);
  // Pace of the last send, none if it answered too little.
  std::optional<clock::duration> Step() const;
  // A repeatable request is not left with an engine that has stalled.
  milliseconds AnswerLimit(double usual_answer) const;
  int Urgency() const;
  void RecordFirstAnswer();
  std::string Kind() const;
  milliseconds Spread();
  milliseconds Soon() { return kSoon + Spread(); }
  bool Refuse(int status, const char* reason,
              std::optional<milliseconds> retry_after);
  // The request may have run, so the answer promises nothing.
  void Fail(int status, const char* reason);
  void End(const std::string& outcome, int status);
  void LogSend(const endpoint_id& engine, send_end end);

  // The engine's time ends before the caller's, so that its answer arrives.
  static constexpr milliseconds kDeadlineMargin{5};
  // The caller may return at once, to another host.
  static constexpr milliseconds kNow{0};
  // Least time after which models, adapters or engines may be there again.
  static constexpr milliseconds kSoon{250};
  // The placement holder is asked again for an adapter this often.
  static constexpr milliseconds kWantInterval{100};

  edge_state& host_;
  const http_request& received_;
  gateway::response_writer& sink_;
  boost::asio::yield_context yield_;
  clock::time_point begun_;
  std::shared_ptr<const serving::serving_config> config_;
  caller_request caller_;
  timer_handle deadline_timer_;

  const serving::route* route_ = nullptr;
  const serving::account* account_ = nullptr;
  bool is_model_ = false;
  std::string fingerprint_;
  serving::engine_need need_;
  clock::time_point deadline_;
  bool caller_gone_ = false;
  bool expired_ = false;

  std::set<endpoint_id> tried_;
  int sends_ = 0;
  /// Engines that ran or may have run the request.
  int runs_ = 0;
  bool may_have_run_ = false;
  std::optional<http_response> failed_answer_;
  std::string last_event_;

  clock::time_point first_sent_at_;
  std::optional<clock::time_point> first_at_;
  /// Longest pause between events of a stream.
  std::optional<clock::time_point> last_event_at_;
  clock::duration longest_gap_{0};

  // The current or last send.
  endpoint_id last_engine_;
  gateway::endpoint_connection* open_ = nullptr;
  clock::time_point sent_at_;
  std::optional<clock::duration> first_answer_;
  /// When the first part of the stream arrived, and the events after it.
  std::optional<clock::time_point> first_part_at_;
  int later_events_ = 0;
  bool reused_ = false;
  /// The send reached an engine; without a connection it did not.
  bool arrived_ = false;
  bool broke_off_ = false;
  bool misdirected_ = false;
  int status_ = 0;
  std::string last_detail_;
};

}  // namespace bluebell::edge
