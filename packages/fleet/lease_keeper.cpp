#include "fleet/lease_keeper.h"

#include <utility>

#include "base/digest.h"

namespace bluebell::fleet {
namespace {

using store::object;
using store::write_result;

constexpr std::size_t kProcessIdLength = 16;

// Whether the platform answered, whatever the answer was.
bool Answered(const error& cause) {
  return cause.code == error_code::kNotFound ||
         cause.code == error_code::kConflict ||
         cause.code == error_code::kTooLarge;
}

}  // namespace

lease_keeper::lease_keeper(environment around, const fleet_timing& timing,
                           host_id self, host_addresses addresses)
    : around_(std::move(around)),
      timing_(timing),
      self_(std::move(self)),
      addresses_(std::move(addresses)),
      process_(MakeUniqueId().substr(0, kProcessIdLength)),
      lease_(timing),
      alive_(std::make_shared<bool>(true)) {
  StartTerm();
}

lease_keeper::~lease_keeper() = default;

void lease_keeper::StartTerm() {
  incarnation_ = incarnation_id(process_ + "." + std::to_string(++term_));
  granted_.reset();
}

bool lease_keeper::IsFormerTerm(const incarnation_id& incarnation) const {
  return incarnation != incarnation_ &&
         incarnation.value().rfind(process_ + ".", 0) == 0;
}

bool lease_keeper::Holds() {
  const bool held = lease_.held();
  if (lease_.Evaluate(around_.time.now(), around_.in_outage())) return true;
  if (held) Lapse("expired");
  return false;
}

void lease_keeper::Lapse(const char* reason) {
  lease_.Drop();
  around_.events.Record(
      event_id::kLeaseLapsed,
      {{"incarnation", incarnation_.value()}, {"reason", reason}});
  StartTerm();
}

void lease_keeper::Tick(revision list_version) {
  Holds();
  if (busy_ || released_ || around_.time.now() < not_before_) return;
  if (!version_) {
    ReadRecord();
  } else if (IsDue(list_version)) {
    WriteRecord(list_version);
  }
}

bool lease_keeper::IsDue(revision list_version) const {
  return !last_effective_ || last_.incarnation != incarnation_ ||
         last_.list_version != list_version || last_.leaving != leaving_ ||
         last_.released != released_ ||
         around_.time.now() - last_.sent >= timing_.renewal_interval;
}

void lease_keeper::ReadRecord() {
  busy_ = true;
  const auto sent = around_.time.now();
  around_.store.Get(
      kHostPrefix + self_.value(), [this, alive = std::weak_ptr<bool>(alive_),
                                    sent](const result<object>& found) {
        if (alive.expired()) return;
        busy_ = false;
        if (!found && !Answered(found.error())) {
          RetryLater();
          return;
        }
        around_.on_contact(sent);
        OnPresent(found ? std::optional<object>(*found) : std::nullopt);
      });
}

// Learns from the record as it is what became of the last write.
void lease_keeper::OnPresent(const std::optional<object>& present) {
  if (!present) {
    version_ = revision(store::object_store::kAbsent);
    return;
  }
  const auto record = ParseRecord(present->value);
  const bool own =
      record && record->incarnation.value().rfind(process_ + ".", 0) == 0;
  if (own && record->write == last_.write) {
    OnEffective(last_, present->version);
  } else if (own || !written_) {
    version_ = present->version;
  } else {
    OnRival(present->version);
  }
}

// The record belongs to another process of this host. It is taken back only
// after its lease must have expired.
void lease_keeper::OnRival(revision version) {
  const auto now = around_.time.now();
  if (rival_ != version) {
    rival_ = version;
    rival_seen_ = now;
    around_.events.Record(event_id::kHostSuperseded);
    if (lease_.held()) Lapse("superseded");
  }
  if (now - rival_seen_ >= timing_.reclaim_window) {
    version_ = version;
  } else {
    version_.reset();
    not_before_ = now + timing_.renewal_interval;
  }
}

void lease_keeper::WriteRecord(revision list_version) {
  busy_ = true;
  last_effective_ = false;
  last_ = {incarnation_, ++writes_, around_.time.now(),
           list_version, leaving_,  released_};
  const host_record record{last_.incarnation, addresses_,    list_version,
                           last_.write,       last_.leaving, last_.released};
  around_.store.Put(kHostPrefix + self_.value(), ToJson(record), *version_,
                    [this, alive = std::weak_ptr<bool>(alive_),
                     made = last_](write_result outcome) {
                      if (!alive.expired()) OnWritten(made, std::move(outcome));
                    });
}

void lease_keeper::OnWritten(const attempt& made, write_result outcome) {
  busy_ = false;
  if (outcome) {
    around_.on_contact(made.sent);
    OnEffective(made, *outcome);
  } else if (outcome.error().conflict) {
    around_.on_contact(made.sent);
    OnPresent(outcome.error().conflict->current);
  } else {
    if (outcome.error().cause.code != error_code::kUnavailable) {
      version_.reset();
    }
    RetryLater();
  }
  if (released_ && on_released_) FinishRelease();
}

// An answer that arrives after the lease lapsed does not revive it: `Holds`
// has started a new term by then, which needs a write of its own.
void lease_keeper::OnEffective(const attempt& made, revision version) {
  Holds();
  version_ = version;
  written_ = true;
  last_effective_ = true;
  if (made.incarnation != incarnation_ || released_) return;
  const auto now = around_.time.now();
  if (lease_.held()) {
    lease_.Grant(made.sent, now);
  } else {
    granted_ = made.sent;
    granted_known_ = now;
  }
}

void lease_keeper::OnMembersRead(clock::time_point sent, bool is_member) {
  if (Holds()) {
    if (!is_member) Lapse("no member");
    return;
  }
  const auto now = around_.time.now();
  if (!is_member || !granted_ || sent < granted_known_) return;
  if (now - *granted_ >= timing_.lease) return;
  lease_.Grant(*granted_, now);
  around_.events.Record(event_id::kLeaseGranted,
                        {{"incarnation", incarnation_.value()}});
}

void lease_keeper::RetryLater() {
  not_before_ = around_.time.now() + timing_.contact_bound;
}

void lease_keeper::Release(std::function<void()> done) {
  released_ = true;
  leaving_ = true;
  lease_.Drop();
  granted_.reset();
  on_released_ = std::move(done);
  if (!busy_) FinishRelease();
}

void lease_keeper::FinishRelease() {
  const bool wanted = written_ && version_ && !last_.released;
  if (wanted) {
    WriteRecord(last_.list_version);
    return;
  }
  const auto done = std::exchange(on_released_, nullptr);
  if (done) done();
}

}  // namespace bluebell::fleet
