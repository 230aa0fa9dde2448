#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "fleet/fleet_view.h"
#include "store/object_store.h"

namespace bluebell::placement {

/// Lease on the control of the engines, stored as the object
/// `controller/lease`.
///
/// The object's version is the fencing number. The object is not renewed: the
/// lease lasts as long as its holder keeps its host lease without interruption.
/// An interruption is detected if the host lease is found expired or if two
/// checks are further apart than `kMaxCheckGap`; the lease is then acquired
/// again by a conditional write, which fails if another host reclaimed it in
/// the meantime.
class controller_lease {
 public:
  /// Interval at which a lease held by another host is read again, unless it
  /// can be reclaimed earlier. 340 hosts make 68 reads a second.
  static constexpr std::chrono::seconds kReadInterval{5};
  /// Another host may reclaim the lease only a second or more after the host
  /// lease expired, so at least one check in that time sees it expired.
  static constexpr std::chrono::milliseconds kMaxCheckGap{900};

  controller_lease(const clock& source, const fleet::fleet_view& fleet,
                   store::object_store& store);

  /// Tries to acquire the lease, if no attempt is in progress. `done` is called
  /// only after success.
  void Acquire(std::function<void()> done);
  /// Rewrites the lease object to get a higher fencing number.
  void RaiseFence(std::function<void()> done);
  /// Releases the lease so that another host can acquire it immediately.
  void Release();

  /// Whether this host holds the lease now. Call immediately before each act
  /// that needs it, and at least every `kMaxCheckGap`.
  bool Check() {
    CheckHostLease();
    return held_;
  }
  /// 0 while the lease is not held.
  std::uint64_t fence() const { return held_ ? version_ : 0; }
  void Drop() { held_ = false; }

 private:
  void CheckHostLease();
  void Write(std::uint64_t expected, std::function<void()> done);
  void OnWritten(const std::string& writer, const store::write_result& outcome,
                 const std::function<void()>& done);
  void ConfirmHeld(std::uint64_t version, const std::function<void()>& done);
  void ReadBack(const std::string& writer, std::function<void()> done);
  bool IsAvailable(const nlohmann::json& value) const;

  const clock& clock_;
  const fleet::fleet_view& fleet_;
  store::object_store& store_;
  bool held_ = false;
  bool busy_ = false;
  bool releasing_ = false;
  /// Whether the host lease was held without interruption since the current
  /// write started.
  bool host_lease_kept_ = false;
  std::uint64_t version_ = 0;
  /// Last value read that names another holder, and when to read it again.
  nlohmann::json other_holder_;
  clock::time_point next_read_;
  clock::time_point checked_at_;
  /// Callbacks hold it weakly to detect that the lease was destroyed.
  std::shared_ptr<controller_lease*> self_;
};

}  // namespace bluebell::placement
