#include "fleet/lease_keeper.h"

#include <utility>

#include "base/digest.h"

namespace bluebell::fleet {
namespace {

using store::object;
using store::write_result;

constexpr std::size_t kProcessIdLength = 16;

// Whether the error is an answer of the platform, which proves contact.
bool IsPlatformAnswer(const error& cause) {
  return cause.code == error_code::kNotFound ||
         cause.code == error_code::kConflict ||
         cause.code == error_code::kTooLarge;
}

}  // namespace

lease_keeper::lease_keeper(dependencies deps, const fleet_timing& timing,
                           host_id self, host_addresses addresses)
    : deps_(std::move(deps)),
      timing_(timing),
      self_(std::move(self)),
      addresses_(std::move(addresses)),
      process_id_(MakeUniqueId().substr(0, kProcessIdLength)),
      lease_(timing),
      alive_(std::make_shared<bool>(true)) {
  StartTerm();
}

lease_keeper::~lease_keeper() = default;

void lease_keeper::StartTerm() {
  incarnation_ = incarnation_id(process_id_ + "." + std::to_string(++term_));
  pending_grant_sent_.reset();
}

bool lease_keeper::IsFormerTerm(const incarnation_id& incarnation) const {
  return incarnation != incarnation_ &&
         incarnation.value().rfind(process_id_ + ".", 0) == 0;
}

bool lease_keeper::Holds() {
  const bool held = lease_.held();
  if (lease_.Evaluate(deps_.time.now(), deps_.in_outage())) return true;
  if (held) Lapse("expired");
  return false;
}

void lease_keeper::Lapse(const char* reason) {
  lease_.Drop();
  deps_.events.Record(
      event_id::kLeaseLapsed,
      {{"incarnation", incarnation_.value()}, {"reason", reason}});
  StartTerm();
}

void lease_keeper::Tick(revision list_version) {
  Holds();
  if (request_pending_ || released_ || deps_.time.now() < not_before_) return;
  if (!version_) {
    ReadRecord();
  } else if (IsDue(list_version)) {
    WriteRecord(list_version);
  }
}

bool lease_keeper::IsDue(revision list_version) const {
  return !last_committed_ || last_write_.incarnation != incarnation_ ||
         last_write_.list_version != list_version ||
         last_write_.leaving != leaving_ || last_write_.released != released_ ||
         deps_.time.now() - last_write_.sent >= timing_.renewal_interval;
}

void lease_keeper::ReadRecord() {
  request_pending_ = true;
  const auto sent = deps_.time.now();
  deps_.store.Get(
      kHostPrefix + self_.value(), [this, alive = std::weak_ptr<bool>(alive_),
                                    sent](const result<object>& found) {
        if (alive.expired()) return;
        request_pending_ = false;
        if (!found && !IsPlatformAnswer(found.error())) {
          RetryLater();
          return;
        }
        deps_.on_contact(sent);
        OnRecordRead(found ? std::optional<object>(*found) : std::nullopt);
      });
}

// Determines the outcome of the last write from the current record.
void lease_keeper::OnRecordRead(const std::optional<object>& current) {
  if (!current) {
    version_ = revision(store::object_store::kAbsent);
    return;
  }
  const auto record = ParseRecord(current->value);
  const bool own =
      record && record->incarnation.value().rfind(process_id_ + ".", 0) == 0;
  if (own && record->write == last_write_.write) {
    OnCommitted(last_write_, current->version);
  } else if (own || !has_written_) {
    version_ = current->version;
  } else {
    OnSuperseded(current->version);
  }
}

// The record was written by another process of this host. It is overwritten
// only after that process's lease must have expired.
void lease_keeper::OnSuperseded(revision version) {
  const auto now = deps_.time.now();
  if (superseding_version_ != version) {
    superseding_version_ = version;
    superseded_at_ = now;
    deps_.events.Record(event_id::kHostSuperseded);
    if (lease_.held()) Lapse("superseded");
  }
  if (now - superseded_at_ >= timing_.reclaim_window) {
    version_ = version;
  } else {
    version_.reset();
    not_before_ = now + timing_.renewal_interval;
  }
}

void lease_keeper::WriteRecord(revision list_version) {
  request_pending_ = true;
  last_committed_ = false;
  last_write_ = {incarnation_, ++write_count_, deps_.time.now(),
                 list_version, leaving_,       released_};
  const host_record record{
      last_write_.incarnation, addresses_,          list_version,
      last_write_.write,       last_write_.leaving, last_write_.released};
  deps_.store.Put(kHostPrefix + self_.value(), ToJson(record), *version_,
                  [this, alive = std::weak_ptr<bool>(alive_),
                   attempted = last_write_](write_result outcome) {
                    if (!alive.expired())
                      OnWritten(attempted, std::move(outcome));
                  });
}

void lease_keeper::OnWritten(const attempt& attempted, write_result outcome) {
  request_pending_ = false;
  if (outcome) {
    deps_.on_contact(attempted.sent);
    OnCommitted(attempted, *outcome);
  } else if (outcome.error().conflict) {
    deps_.on_contact(attempted.sent);
    OnRecordRead(outcome.error().conflict->current);
  } else {
    if (outcome.error().cause.code != error_code::kUnavailable) {
      version_.reset();
    }
    RetryLater();
  }
  if (released_ && on_released_) FinishRelease();
}

// An answer that arrives after the lease lapsed does not renew it: `Holds` has
// started a new term by then, which needs a write of its own.
void lease_keeper::OnCommitted(const attempt& attempted, revision version) {
  Holds();
  version_ = version;
  has_written_ = true;
  last_committed_ = true;
  if (attempted.incarnation != incarnation_ || released_) return;
  const auto now = deps_.time.now();
  if (lease_.held()) {
    lease_.Grant(attempted.sent, now);
  } else {
    pending_grant_sent_ = attempted.sent;
    pending_grant_committed_ = now;
  }
}

void lease_keeper::OnMembersRead(clock::time_point sent, bool is_member) {
  if (Holds()) {
    if (!is_member) Lapse("not a member");
    return;
  }
  const auto now = deps_.time.now();
  if (!is_member || !pending_grant_sent_ || sent < pending_grant_committed_)
    return;
  if (now - *pending_grant_sent_ >= timing_.lease) return;
  lease_.Grant(*pending_grant_sent_, now);
  deps_.events.Record(event_id::kLeaseGranted,
                      {{"incarnation", incarnation_.value()}});
}

void lease_keeper::RetryLater() {
  not_before_ = deps_.time.now() + timing_.contact_bound;
}

void lease_keeper::Release(std::function<void()> done) {
  released_ = true;
  leaving_ = true;
  lease_.Drop();
  pending_grant_sent_.reset();
  on_released_ = std::move(done);
  if (!request_pending_) FinishRelease();
}

void lease_keeper::FinishRelease() {
  const bool needs_write = has_written_ && version_ && !last_write_.released;
  if (needs_write) {
    WriteRecord(last_write_.list_version);
    return;
  }
  const auto done = std::exchange(on_released_, nullptr);
  if (done) done();
}

}  // namespace bluebell::fleet
