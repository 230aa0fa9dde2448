#include "placement/controller_lease.h"

#include <utility>

#include "base/digest.h"

namespace bluebell::placement {
namespace {

constexpr const char* kName = "controller/lease";

}  // namespace

controller_lease::controller_lease(const clock& source,
                                   const fleet::fleet_view& fleet,
                                   store::object_store& store)
    : clock_(source),
      fleet_(fleet),
      store_(store),
      self_(std::make_shared<controller_lease*>(this)) {}

// Ends the right, and the attempt to get it, if the host lease was not kept
// since the previous check.
void controller_lease::Observe() {
  const auto now = clock_.now();
  if (!fleet_.HoldsLease() || now - checked_at_ > kMaxCheckGap) {
    held_ = false;
    unbroken_ = false;
  }
  checked_at_ = now;
}

void controller_lease::Acquire(std::function<void()> done) {
  if (held_ || busy_ || releasing_ || !fleet_.HoldsLease()) return;
  const bool held_by_other = !other_.is_null() && !MayTake(other_);
  if (held_by_other && clock_.now() < next_read_) return;
  busy_ = true;
  store_.Get(kName,
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
               if ((*lease)->MayTake(found->value)) {
                 (*lease)->Write(found->version.value(), done);
               } else {
                 (*lease)->other_ = found->value;
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
  store_.Put(kName, value, revision(version_),
             [](const store::write_result&) {});
}

// Whether the lease is free, this host's own, or may be reclaimed.
bool controller_lease::MayTake(const nlohmann::json& value) const {
  const bool readable = value.is_object() && value.value("host", "") != "";
  if (!readable || value.value("released", false)) return true;
  const host_id host(value.value("host", ""));
  const incarnation_id incarnation(value.value("incarnation", ""));
  if (host == fleet_.self() && incarnation == fleet_.incarnation()) return true;
  return fleet_.MayReclaim(host, incarnation);
}

void controller_lease::Write(std::uint64_t expected,
                             std::function<void()> done) {
  if (!fleet_.HoldsLease()) return;
  busy_ = true;
  unbroken_ = true;
  checked_at_ = clock_.now();
  const std::string writer = MakeUniqueId();
  const nlohmann::json value = {{"host", fleet_.self().value()},
                                {"incarnation", fleet_.incarnation().value()},
                                {"released", false},
                                {"writer", writer}};
  store_.Put(kName, value, revision(expected),
             [self = std::weak_ptr<controller_lease*>(self_), writer,
              done = std::move(done)](const store::write_result& end) {
               if (const auto lease = self.lock()) {
                 (*lease)->OnWritten(writer, end, done);
               }
             });
}

void controller_lease::OnWritten(const std::string& writer,
                                 const store::write_result& end,
                                 const std::function<void()>& done) {
  busy_ = false;
  if (end) {
    Hold(end->value(), done);
    return;
  }
  if (end.error().cause.code == error_code::kOutcomeUnknown) {
    ReadBack(writer, done);
    return;
  }
  // A conflict means that another host holds the lease; after any other
  // failure the object is unchanged and a present right stays valid.
  if (end.error().cause.code == error_code::kConflict) held_ = false;
}

// The right starts only if the host lease was kept while the write was under
// way; otherwise another host may already have reclaimed it.
void controller_lease::Hold(std::uint64_t version,
                            const std::function<void()>& done) {
  Observe();
  held_ = unbroken_;
  if (!held_) return;
  version_ = version;
  if (done) done();
}

// Resolves a write of unknown outcome by the writer id.
void controller_lease::ReadBack(const std::string& writer,
                                std::function<void()> done) {
  busy_ = true;
  store_.Get(kName,
             [self = std::weak_ptr<controller_lease*>(self_), writer,
              done = std::move(done)](const result<store::object>& found) {
               const auto lease = self.lock();
               if (!lease) return;
               (*lease)->busy_ = false;
               if (found && found->value.is_object() &&
                   found->value.value("writer", "") == writer) {
                 (*lease)->Hold(found->version.value(), done);
               } else {
                 // The write may still take effect, so the version is not
                 // known.
                 (*lease)->held_ = false;
               }
             });
}

}  // namespace bluebell::placement
