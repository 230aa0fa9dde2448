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
#include "idempotency/attempt_machine.h"
#include "idempotency/deduplicator.h"
#include "idempotency/record.h"
#include "idempotency/record_writer.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::idempotency {

struct deduplicator_options {
  /// Time within which `Begin` confirms the record or refuses.
  clock::duration begin_limit = std::chrono::seconds(3);
  /// Time within which another host says whether it dispatched an attempt.
  clock::duration query_timeout = std::chrono::milliseconds(500);
  /// Time for which a repeat waits for the first request on the same host.
  clock::duration wait_limit = std::chrono::seconds(30);
  /// Age from which a confirmed attempt is no longer dispatched. Far below
  /// `retention`, so that no record is swept while its attempt may still run.
  clock::duration dispatch_limit = std::chrono::minutes(10);
  /// Age from which a record is removed and its key may be used again.
  clock::duration retention = std::chrono::hours(24);
  /// Pause between two steps of the sweep; one step lists 1/256 of an account.
  clock::duration sweep_interval = std::chrono::seconds(30);
};

/// Deduplicator on records in the platform's object API (docs/design.md,
/// section 4.3).
///
/// At most one attempt per record is ever dispatched: an attempt is dispatched
/// only after the platform confirmed that the record names it, and a record
/// that names an attempt is taken over only after that attempt's host said
/// that it never dispatched it and never will. This answer is given from
/// memory; an attempt that the host does not remember counts as dispatched.
class record_deduplicator final : public deduplicator {
 public:
  /// Fails with `kInvalidArgument` if a duration is not positive or
  /// `retention` is not above twice `dispatch_limit`. The references must
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
  void Complete(const attempt& current, const recorded_answer& answer) override;
  void Abandon(const attempt& current) override;

  /// Records that are still to be stored; a draining host waits for 0.
  std::size_t unstored() const { return writer_.size(); }

 private:
  using callback = std::function<void(begin_outcome)>;
  struct entry;
  using entry_ptr = std::shared_ptr<entry>;

  record_deduplicator(const deduplicator_options& options,
                      store::object_store& store, peer::peer_network& peers,
                      const fleet::fleet_view& fleet, clock& time,
                      event_log& events);

  void Join(const entry_ptr& first, const idempotent_request& request,
            callback done);
  void OnBeginLimit(const entry_ptr& current);
  void Write(const entry_ptr& current);
  void OnWritten(const entry_ptr& current, const store::write_result& outcome);
  void ReadBack(const entry_ptr& current);
  void OnRead(const entry_ptr& current, const result<store::object>& found);
  void Retry(const entry_ptr& current,
             void (record_deduplicator::*step)(const entry_ptr&));
  void Evaluate(const entry_ptr& current, const store::object& found);
  void Query(const entry_ptr& current, const record& other, revision version);
  void TakeOver(const entry_ptr& current, revision version);
  void Confirm(const entry_ptr& current, revision version);
  void Refuse(const entry_ptr& current, problem_code code,
              const std::string& detail, executed run);
  void Conclude(const entry_ptr& current, const begin_outcome& outcome);
  void EndUndispatched(const entry_ptr& current, attempt_event why);
  void Finish(const entry_ptr& current, std::optional<recorded_answer> answer);
  void AnswerWaiters(entry& current, const begin_outcome& outcome);
  void Remove(const entry_ptr& current);

  bool ReleaseLocal(const std::string& attempt);
  void RememberReleased(const std::string& attempt);
  record MakeRecord(const entry& current, record_state state) const;
  entry_ptr FindAttempt(const std::string& attempt) const;

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
  std::unordered_map<std::string, entry_ptr> by_name_;
  std::unordered_map<std::string, entry_ptr> by_attempt_;
  /// Attempts of this incarnation that were never and will never be
  /// dispatched, oldest first; bounded.
  std::deque<std::string> released_order_;
  std::unordered_set<std::string> released_;
  /// Accounts whose records the sweep visits.
  std::set<account_id> accounts_;
  account_id sweep_account_;
  unsigned sweep_shard_ = 0;
  timer_handle sweep_;
  /// Expires with this object; late callbacks check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::idempotency
