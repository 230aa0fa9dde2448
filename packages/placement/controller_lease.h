#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "fleet/fleet_view.h"
#include "store/object_store.h"

namespace bluebell::placement {

/// The right to control the engines: the object `controller/lease`.
///
/// Its version is the fencing number. The object is not renewed: the right
/// lasts as long as the holder keeps its host lease without a break. A break
/// is noticed if the host lease is found expired or if two checks are further
/// apart than `kMaxCheckGap`; the lease is then acquired again by a conditional
/// write, which fails if another host reclaimed it meanwhile.
class controller_lease {
 public:
  /// Interval at which a lease that another host holds is read again, unless
  /// its holder may be succeeded before: 340 hosts make 68 reads a second.
  static constexpr std::chrono::seconds kReadInterval{5};
  /// Another host may reclaim the lease only a second or more after the host
  /// lease expired, so checks this close together see the expired state.
  static constexpr std::chrono::milliseconds kMaxCheckGap{900};

  controller_lease(const clock& source, const fleet::fleet_view& fleet,
                   store::object_store& store);

  /// Tries to acquire the lease, if no attempt is under way. `done` is called
  /// only after success.
  void Acquire(std::function<void()> done);
  /// Writes the lease object again to get a higher fencing number.
  void RaiseFence(std::function<void()> done);
  /// Hands the lease back for immediate use by another host.
  void Release();

  /// Whether this host holds the lease now. Call immediately before each act
  /// that needs it, and at least every `kMaxCheckGap`.
  bool Check() {
    Observe();
    return held_;
  }
  /// 0 while the lease is not held.
  std::uint64_t fence() const { return held_ ? version_ : 0; }
  void Drop() { held_ = false; }

 private:
  void Observe();
  void Write(std::uint64_t expected, std::function<void()> done);
  void OnWritten(const std::string& writer, const store::write_result& end,
                 const std::function<void()>& done);
  void Hold(std::uint64_t version, const std::function<void()>& done);
  void ReadBack(const std::string& writer, std::function<void()> done);
  bool MayTake(const nlohmann::json& value) const;

  const clock& clock_;
  const fleet::fleet_view& fleet_;
  store::object_store& store_;
  bool held_ = false;
  bool busy_ = false;
  bool releasing_ = false;
  /// Whether the host lease was kept since the present write was started.
  bool unbroken_ = false;
  std::uint64_t version_ = 0;
  /// Value with another holder as last read, and when to read it again.
  nlohmann::json other_;
  clock::time_point next_read_;
  clock::time_point checked_at_;
  /// Tells late answers whether the object still exists.
  std::shared_ptr<controller_lease*> self_;
};

}  // namespace bluebell::placement
