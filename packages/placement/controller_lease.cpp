#include "placement/controller_lease.h"

#include <utility>

#include "base/digest.h"
#include "base/json_member.h"

namespace bluebell::placement {
namespace {

constexpr const char* kObjectName = "controller/lease";

}  // namespace

controller_lease::controller_lease(const clock& source,
                                   const fleet::fleet_view& fleet,
                                   store::object_store& store)
    : clock_(source),
      fleet_(fleet),
      store_(store),
      self_(std::make_shared<controller_lease*>(this)) {}

// Ends the lease, and an acquisition in progress, if the host lease was not
// held without interruption since the previous check.
void controller_lease::CheckHostLease() {
  const auto now = clock_.now();
  if (!fleet_.HoldsLease() || now - checked_at_ > kMaxCheckGap) {
    held_ = false;
    host_lease_kept_ = false;
  }
  checked_at_ = now;
}

void controller_lease::Acquire(std::function<void()> done) {
  if (held_ || busy_ || releasing_ || !fleet_.HoldsLease()) return;
  const bool held_by_other =
      !other_holder_.is_null() && !IsAvailable(other_holder_);
  if (held_by_other && clock_.now() < next_read_) return;
  busy_ = true;
  store_.Get(kObjectName,
             [self = std::weak_ptr<controller_lease*>(self_),
              done = std::move(done)](const result<store::object>& found) {
               const auto lease = self.lock();
               if (!lease) return;
               (*lease)->busy_ = false;
               if (!found) {
                 if (found.error().code == error_code::kNotFound) {
                   (*lease)->Write(store::object_store::kAbsent, done);
                 }
                 return;
               }
               if ((*lease)->IsAvailable(found->value)) {
                 (*lease)->Write(found->version.value(), done);
               } else {
                 (*lease)->other_holder_ = found->value;
                 (*lease)->next_read_ = (*lease)->clock_.now() + kReadInterval;
               }
             });
}

void controller_lease::RaiseFence(std::function<void()> done) {
  if (busy_ || !Check()) return;
  Write(version_, std::move(done));
}

void controller_lease::Release() {
  releasing_ = true;
  if (!held_) return;
  held_ = false;
  const nlohmann::json value = {{"host", fleet_.self().value()},
                                {"incarnation", fleet_.incarnation().value()},
                                {"released", true},
                                {"writer", MakeUniqueId()}};
  store_.Put(kObjectName, value, revision(version_),
             [](const store::write_result&) {});
}

// Whether the lease is released, held by this host, or may be reclaimed.
bool controller_lease::IsAvailable(const nlohmann::json& value) const {
  const std::string none;
  const host_id host(MemberOr(value, "host", none));
  const bool readable = !host.value().empty();
  if (!readable || MemberOr(value, "released", false)) return true;
  const incarnation_id incarnation(MemberOr(value, "incarnation", none));
  if (host == fleet_.self() && incarnation == fleet_.incarnation()) return true;
  return fleet_.MayReclaim(host, incarnation);
}

void controller_lease::Write(std::uint64_t expected,
                             std::function<void()> done) {
  if (!fleet_.HoldsLease()) return;
  busy_ = true;
  host_lease_kept_ = true;
  checked_at_ = clock_.now();
  const std::string writer = MakeUniqueId();
  const nlohmann::json value = {{"host", fleet_.self().value()},
                                {"incarnation", fleet_.incarnation().value()},
                                {"released", false},
                                {"writer", writer}};
  store_.Put(kObjectName, value, revision(expected),
             [self = std::weak_ptr<controller_lease*>(self_), writer,
              done = std::move(done)](const store::write_result& outcome) {
               if (const auto lease = self.lock()) {
                 (*lease)->OnWritten(writer, outcome, done);
               }
             });
}

void controller_lease::OnWritten(const std::string& writer,
                                 const store::write_result& outcome,
                                 const std::function<void()>& done) {
  busy_ = false;
  if (outcome) {
    ConfirmHeld(outcome->value(), done);
    return;
  }
  if (outcome.error().cause.code == error_code::kOutcomeUnknown) {
    ReadBack(writer, done);
    return;
  }
  // A conflict means that another host holds the lease; after any other
  // failure the object is unchanged and a lease already held stays valid.
  if (outcome.error().cause.code == error_code::kConflict) held_ = false;
}

// The lease is held only if the host lease lasted for the whole write;
// otherwise another host may already have reclaimed it.
void controller_lease::ConfirmHeld(std::uint64_t version,
                                   const std::function<void()>& done) {
  CheckHostLease();
  held_ = host_lease_kept_;
  if (!held_) return;
  version_ = version;
  if (done) done();
}

// Resolves a write of unknown outcome by comparing the writer id.
void controller_lease::ReadBack(const std::string& writer,
                                std::function<void()> done) {
  busy_ = true;
  store_.Get(kObjectName, [self = std::weak_ptr<controller_lease*>(self_),
                           writer, done = std::move(done)](
                              const result<store::object>& found) {
    const auto lease = self.lock();
    if (!lease) return;
    (*lease)->busy_ = false;
    if (found && MemberOr(found->value, "writer", std::string()) == writer) {
      (*lease)->ConfirmHeld(found->version.value(), done);
    } else {
      // The write may still take effect, so the version is not known.
      (*lease)->held_ = false;
    }
  });
}

}  // namespace bluebell::placement
