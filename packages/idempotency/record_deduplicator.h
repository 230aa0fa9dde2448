#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "fleet/fleet_view.h"
#include "idempotency/attempt_state_machine.h"
#include "idempotency/deduplicator.h"
#include "idempotency/record.h"
#include "idempotency/record_writer.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::idempotency {

struct deduplicator_options {
  /// Time within which `Begin` confirms the record, finds the outcome of an
  /// earlier attempt of another host, or refuses the request.
  clock::duration begin_timeout = std::chrono::seconds(3);
  /// Timeout of a `record_query` to another host.
  clock::duration query_timeout = std::chrono::milliseconds(500);
  /// Time for which a retry waits for the first request on the same host.
  clock::duration wait_timeout = std::chrono::seconds(30);
  /// Age from which a confirmed attempt is no longer dispatched. Far below
  /// `retention`, so that no record is swept while its attempt can still run.
  clock::duration max_dispatch_age = std::chrono::minutes(10);
  /// Age from which a record is removed and its key may be reused.
  clock::duration retention = std::chrono::hours(24);
  /// Delay between two sweep steps; one step lists 1/256 of an account's
  /// records.
  clock::duration sweep_interval = std::chrono::seconds(30);
};

/// Deduplicator that stores its records in the platform's object API
/// (docs/design.md, section 4.3).
///
/// At most one attempt per record is ever dispatched: an attempt is dispatched
/// only after the platform confirmed that the record names it, and a record
/// that names another attempt is taken over only after that attempt's host
/// replied that it never dispatched it and never will. The host replies from
/// memory; an attempt that it does not remember counts as dispatched.
///
/// An outcome is stored in the background, so a repeat at another host can find
/// a pending record after the first answer was delivered. It reads the record
/// again: once after the query, and repeatedly until its deadline if the
/// queried host replied that the outcome is still to be stored.
class record_deduplicator final : public deduplicator {
 public:
  /// Fails with `kInvalidArgument` if a duration is not positive or
  /// `retention` is not above twice `max_dispatch_age`. The references must
  /// outlive the returned object, which serves the peer message
  /// `record_query`.
  static result<std::unique_ptr<record_deduplicator>> Create(
      const deduplicator_options& options, store::object_store& store,
      peer::peer_network& peers, const fleet::fleet_view& fleet, clock& time,
      event_log& events);
  ~record_deduplicator() override;

  void Begin(const idempotent_request& request,
             std::function<void(begin_outcome)> done) override;
  bool MarkDispatched(const attempt& current) override;
  void MarkNotRun(const attempt& current) override;
  void Complete(const attempt& current,
                const recorded_response& response) override;
  void Abandon(const attempt& current) override;

  /// Number of records not stored yet; a draining host waits for 0.
  std::size_t unstored() const { return writer_.size(); }

 private:
  using callback = std::function<void(begin_outcome)>;
  struct local_attempt;
  using local_attempt_ptr = std::shared_ptr<local_attempt>;

  record_deduplicator(const deduplicator_options& options,
                      store::object_store& store, peer::peer_network& peers,
                      const fleet::fleet_view& fleet, clock& time,
                      event_log& events);

  void AddWaiter(const local_attempt_ptr& first,
                 const idempotent_request& request, callback done);
  void OnBeginTimeout(const local_attempt_ptr& current);
  void Write(const local_attempt_ptr& current);
  void OnWritten(const local_attempt_ptr& current,
                 const store::write_result& outcome);
  void ReadBack(const local_attempt_ptr& current);
  void OnRead(const local_attempt_ptr& current,
              const result<store::object>& found);
  void Retry(const local_attempt_ptr& current,
             void (record_deduplicator::*step)(const local_attempt_ptr&));
  void EvaluateStored(const local_attempt_ptr& current,
                      const store::object& found);
  void QueryOwner(const local_attempt_ptr& current, const record& other,
                  revision version);
  void ReadAgain(const local_attempt_ptr& current);
  void OnReadAgain(const local_attempt_ptr& current,
                   const result<store::object>& found);
  void TakeOver(const local_attempt_ptr& current, revision version);
  void Confirm(const local_attempt_ptr& current, revision version);
  void Refuse(const local_attempt_ptr& current, problem_code code,
              const std::string& detail, executed run);
  void EndUnconfirmed(const local_attempt_ptr& current,
                      const begin_outcome& outcome);
  void EndUndispatched(const local_attempt_ptr& current, attempt_event event);
  void Finish(const local_attempt_ptr& current,
              std::optional<recorded_response> response);
  void NotifyWaiters(local_attempt& current, const begin_outcome& outcome);
  void Remove(const local_attempt_ptr& current);

  record_query_response AnswerQuery(const record_query& query);
  bool EnsureNeverDispatched(const std::string& attempt);
  void RememberNeverDispatched(const std::string& attempt);
  record MakeRecord(const local_attempt& current, record_state state) const;
  local_attempt_ptr FindAttempt(const std::string& attempt) const;

  void ScheduleSweep();
  void SweepStep();
  bool MaySweep(const store::object& found) const;

  deduplicator_options options_;
  store::object_store& store_;
  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
  clock& clock_;
  event_log& events_;
  record_writer writer_;
  std::unordered_map<std::string, local_attempt_ptr> by_name_;
  std::unordered_map<std::string, local_attempt_ptr> by_attempt_;
  /// Attempts of this incarnation that were never and will never be
  /// dispatched, oldest first; bounded.
  std::deque<std::string> never_dispatched_order_;
  std::unordered_set<std::string> never_dispatched_;
  /// Accounts whose records are swept.
  std::set<account_id> accounts_;
  account_id sweep_account_;
  unsigned sweep_shard_ = 0;
  timer_handle sweep_timer_;
  /// Expires with this object; late callbacks check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::idempotency
