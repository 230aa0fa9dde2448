#pragma once

#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "edge/edge_state.h"
#include "edge/engine_connections.h"
#include "edge/forwarded_call.h"
#include "edge/room_exchange.h"
#include "gateway/endpoint_connection.h"
#include "gateway/response_writer.h"

namespace bluebell::edge {

/// Result of one send to an engine, which determines the next step.
enum class send_result {
  /// The answer was forwarded to the caller, in full or as far as it was
  /// received.
  kDelivered,
  /// The engine did not run the request; another engine may.
  kNotRun,
  /// The request may have run, and no answer was forwarded to the caller.
  kUnknown,
  /// The engine ran the request and failed; its answer is kept for the caller.
  kFailedAnswer,
  kCallerGone,
  kExpired,
};

const char* ToString(send_result result);

/// One request that is forwarded through this host.
class relayed_request {
 public:
  relayed_request(edge_state& host, const http_request& received,
                  gateway::response_writer& sink,
                  boost::asio::yield_context yield,
                  std::optional<forwarded_call> forwarded = std::nullopt)
      : host_(host),
        received_(received),
        sink_(sink),
        yield_(yield),
        received_at_(host.time.now()),
        config_(host.config),
        caller_(host.dialect.ReadRequest(received)),
        forwarded_(std::move(forwarded)),
        held_(host.memory) {}

  /// Serves the request to completion.
  void Run();
  ~relayed_request() { host_.open_requests.erase(this); }
  relayed_request(const relayed_request&) = delete;
  relayed_request& operator=(const relayed_request&) = delete;

  /// Ends the request before its deadline, because the process stops.
  void EndForStop() {
    ended_for_stop_ = true;
    Interrupt(expired_);
  }

 private:
  // Checks route, account and limits. Returns false if the request was refused.
  bool Admit();
  // Admits a request for which another host has decided account and quota.
  bool AdmitForwarded();
  // Sets what the request needs of an engine of its service.
  void SetRequirements();
  void AwaitConfig();
  // Id under which the start of the stream of `attempt` is known. Callers
  // choose ids; long ones are represented by their hash.
  static request_id StreamKey(const request_id& attempt);
  // Finds the software version that began the stream that the caller takes up.
  // Returns false if the request was refused.
  bool FindStreamVersion();
  // Waits for a listing of stream versions that begins now.
  bool AwaitVersionListing();
  // Asks the other hosts where the stream of `attempt` began.
  std::optional<serving::found_version> AwaitStartReport(
      const request_id& attempt);
  // Waits for a change of the stream versions until `done`.
  void AwaitVersions(milliseconds limit, const std::function<bool()>& done);
  // Hash that identifies repetitions of the same request.
  std::string Fingerprint() const;
  // Records that the engine has survived writing the answer.
  void OnEngineSurvived();
  // Records a crash, which the request may have caused, if the engine's address
  // refuses connections right after the request was lost.
  void DetectCrash();
  // Whether something shows that the answer that was read is whole: its length,
  // its last chunk, or that the engine runs on. A crash ends a connection in
  // the same way as the end of an answer that has neither.
  bool IsProvedWhole();
  double TokenCost() const;
  // Chooses one of the route's services at random by weight.
  serving::service_id ChooseService();
  // Interrupts a wait or a send when the caller disconnects or the deadline
  // passes.
  void ArmInterrupts();
  void Interrupt(bool& flag);
  bool IsInterrupted() const { return caller_gone_ || expired_; }
  milliseconds TimeLeft() const;
  void Dispatch();
  bool MayRetry() const;
  bool TakeRetry();
  // Chooses an engine. Waits for a model or an adapter that is being loaded
  // while enough time remains to run the request; otherwise returns at once.
  serving::engine_choice WaitForEngine();
  // Chooses an engine and takes a permit to send to it, or chooses another.
  serving::engine_choice ChooseWithPermit();
  // Takes room at `engine` if its service is brittle; waits for it for `wait`.
  // Returns false if there is none.
  bool TakeRoom(const endpoint_id& engine, clock::duration wait);
  // Time for which the caller waits for the first event or the answer.
  clock::duration CallerTimeout() const;
  clock::duration MaxSlotWait() const;
  static clock::duration FractionOf(clock::duration span, double fraction);
  // Ends the request when no engine is available. It has not run, unless an
  // earlier send may have run it.
  void EndWithoutEngine(const serving::engine_choice& choice);
  send_result SendTo(const endpoint_id& id);
  // A host that reaches engines, while this one does not; null if this host
  // has to serve the request itself.
  const serving::host_directory::peer* ForwardTarget();
  send_result ForwardTo(const host_id& host, const std::string& address);
  // Passes the request on while this host reaches no engine. Returns false if
  // the request has ended.
  bool Forward();
  // Decides at which version the stream begins at other hosts. Returns false if
  // that is not known.
  bool FixStreamVersion();
  // A version at which the stream may begin, by the engines that other hosts
  // can be expected to choose; none if it may begin at none.
  std::optional<software_version> ChooseStreamVersion();
  http_request ForwardedRequest(const engine_call& call) const;
  engine_answer ReadForwardedAnswer(const http_response& head);
  // Whether the engine still answers on an idle connection.
  bool IsAlive(const endpoint_id& id, engine_connections::lease& lease);
  // Sends the request on an open connection and relays the answer.
  send_result Exchange(const endpoint_id& id, engine_connections::lease& lease,
                       double typical_answer_s);
  // Handles a connection that failed before the answer; the request may have
  // run.
  send_result OnConnectionLost();
  send_result OnNotRun(const endpoint_id& id, engine_connections::lease& lease,
                       const http_response& head,
                       const engine_answer& answer_info);
  void ReturnConnection(const endpoint_id& id, engine_connections::lease& lease,
                        const engine_answer& answer_info);
  // Reads the head of an answer from the address of `id`.
  engine_answer ReadAnswer(const endpoint_id& id, const http_response& head);
  // Whether this request begins a stream that may be taken up later.
  bool BeginsStream() const {
    return forwarding_to_.value().empty() && route_->resumable &&
           caller_.last_event.empty() && !sink_.started();
  }
  // Waits until the record of the engine is known to be that of the process
  // which a connection opened at `opened_at` leads to: it may have started
  // again under its id at another version. Returns false if it is not.
  bool AwaitProcessKnown(const endpoint_id& id, clock::time_point opened_at);
  // Versions of the engines that the next send may go to.
  std::set<software_version> AllowedVersions() const;
  // Records at which version the stream begins, before it is sent there.
  void RecordStart();
  // Waits until the start is stored. Returns false if it could not be stored.
  bool AwaitStartStored();
  // Forwards complete events as they arrive. A stream that ends early is
  // aborted, or resumed after its last event by another send.
  send_result RelayStream(const endpoint_id& id,
                          engine_connections::lease& lease,
                          const http_response& head,
                          const engine_answer& answer_info);
  // Step time of the last send; none if it produced too few events.
  std::optional<clock::duration> MeasureStepTime() const;
  // Closes the connection if the answer is slow, the request may be sent to
  // another engine and the retry budget allows it, so that a stalled engine
  // does not use up the deadline. The timer is to be reset at the answer.
  timer_handle RetryWhenSlow(gateway::endpoint_connection& connection,
                             double typical_answer_s);
  int Urgency() const;
  void RecordFirstAnswer();
  std::string RouteKind() const;
  // Age of the oldest open request on the same route.
  clock::duration LongestOpen() const;
  // Time from the stop signal until the request was read; empty without one.
  std::string StopAgeText() const;
  // Framing of the last engine's answer; empty without an answer.
  std::string FramingText() const;
  milliseconds RetryJitter();
  milliseconds RetryDelay() { return kMinRetryDelay + RetryJitter(); }
  bool Refuse(int status, const char* reason,
              std::optional<milliseconds> retry_after);
  // Ends the request with an error. The request may have run, so the error does
  // not state that a retry is safe.
  void Fail(int status, const char* reason);
  void End(const std::string& outcome, int status);
  void LogSend(const endpoint_id& engine, send_result result);

  // The engine's deadline is earlier than the caller's by this much, which lets
  // its answer arrive in time.
  static constexpr milliseconds kDeadlineMargin{5};
  // The caller may retry at once, at another host.
  static constexpr milliseconds kRetryNow{0};
  // Minimum time until models, adapters or engines may be available again.
  static constexpr milliseconds kMinRetryDelay{250};
  // Covers one read of the configuration and one retry.
  static constexpr milliseconds kMaxConfigWait{300};
  // Interval at which an adapter is requested again from the placement lease
  // holder.
  static constexpr milliseconds kAdapterRequestInterval{100};

  edge_state& host_;
  const http_request& received_;
  gateway::response_writer& sink_;
  boost::asio::yield_context yield_;
  clock::time_point received_at_;
  std::shared_ptr<const serving::serving_config> config_;
  caller_request caller_;
  /// Set if another host passed the request on to this one.
  std::optional<forwarded_call> forwarded_;
  timer_handle deadline_timer_;
  /// The part of the engine's answer that is held.
  byte_share held_;

  const serving::route* route_ = nullptr;
  const serving::account* account_ = nullptr;
  bool is_model_ = false;
  std::string fingerprint_;
  /// It was admitted to test whether it, or a part of its prompt, still crashes
  /// engines.
  bool is_trial_ = false;
  serving::engine_requirements requirements_;
  clock::time_point deadline_;
  bool caller_gone_ = false;
  bool expired_ = false;
  /// `expired_` was set because the process stops.
  bool ended_for_stop_ = false;

  std::set<endpoint_id> tried_;
  std::set<host_id> tried_hosts_;
  /// Host that the current or last send went to; empty if it went to an engine.
  host_id forwarding_to_;
  /// Longest time after which a host that refused the request may take it.
  milliseconds forward_retry_{0};
  int sends_ = 0;
  /// Number of engines that ran or may have run the request.
  int runs_ = 0;
  bool may_have_run_ = false;
  std::optional<http_response> failed_answer_;
  std::string last_event_;
  /// Software of the engine that brought the first event.
  software_version began_at_;
  /// Ticket of the stored start (`stream_versions`), none if it needs none, and
  /// the version in it.
  std::optional<std::uint64_t> start_ticket_;
  software_version recorded_at_;
  /// The only version at which the stream may begin, at this host and others.
  /// Set once the stream is passed on: each host stores where it begins, and
  /// stored starts of one attempt at different hosts have no order.
  std::optional<software_version> fixed_version_;

  clock::time_point first_sent_at_;
  std::optional<clock::time_point> first_forwarded_at_;
  /// Time of the last event of a stream, and the longest gap between events.
  std::optional<clock::time_point> last_event_at_;
  clock::duration longest_gap_{0};

  /// Room for the next or current send; none where none is needed.
  std::unique_ptr<room_lease> room_;

  /// The last permit, and the engine that it is for.
  endpoint_id permit_engine_;
  serving::send_permit permit_;

  // State of the current or last send.
  endpoint_id last_engine_;
  software_version engine_software_;
  std::string engine_address_;
  gateway::endpoint_connection* active_connection_ = nullptr;
  clock::time_point sent_at_;
  std::optional<clock::duration> first_answer_;
  /// Arrival of the first part of the stream, the number of later events, and
  /// of all events.
  std::optional<clock::time_point> first_part_at_;
  int events_after_first_part_ = 0;
  int events_forwarded_ = 0;
  /// The engine of the current send has survived writing the answer.
  bool engine_survived_ = false;
  bool reused_ = false;
  /// Whether the send had a connection, so that it could reach the engine.
  bool reached_engine_ = false;
  std::optional<gateway::body_framing> framing_;
  bool stream_broken_ = false;
  /// A retry was taken from the budget when the connection was closed.
  bool retry_taken_ = false;
  bool misdirected_ = false;
  int status_ = 0;
  std::string last_detail_;
};

}  // namespace bluebell::edge
