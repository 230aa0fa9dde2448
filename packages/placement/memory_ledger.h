#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "placement/residency.h"
#include "routing/endpoint_report.h"

namespace bluebell::placement {

/// One model or adapter that may occupy memory of an engine.
struct ledger_entry {
  residency status;
  byte_count size;
  /// Whether a load order was or may have been sent, by this controller or a
  /// previous one; false while its memory is only reserved.
  bool load_sent = false;
  clock::time_point last_order;
  clock::time_point resident_since;
};

/// An order that may still take effect.
struct open_order {
  byte_count size;
  std::uint64_t fence = 0;
  /// Value of `ledger_engine::responsive_time` when the order was last issued.
  clock::duration responsive_at_order{0};
};

struct ledger_engine {
  /// The lower of the configured and the reported memory.
  byte_count memory;
  byte_count reported_memory;
  bool checks_fencing = false;
  bool reported = false;
  std::string incarnation;
  /// Receipt of the first report of this incarnation.
  clock::time_point incarnation_since;
  /// Earliest possible sampling time of the latest report.
  clock::time_point sampled_at;
  /// Time during which the engine is known to have answered polls.
  clock::duration responsive_time{0};
  /// Highest fencing number that this incarnation is known to enforce.
  std::uint64_t confirmed_fence = 0;
  /// Fencing number that was accepted and awaits a report after `accepted_at`.
  std::uint64_t accepted_fence = 0;
  clock::time_point accepted_at;
  /// Memory in use by targets without a known size.
  byte_count unattributed;
  std::map<std::string, ledger_entry> entries;
  /// Last load and unload order of each target.
  std::map<std::string, open_order> loads;
  std::map<std::string, open_order> unloads;
};

/// Accounts for the memory of every engine: resident + loading + unconfirmed
/// unloading + loads that may still arrive.
///
/// A report that shows a target as absent does not prove that no order to load
/// it is in flight: a delayed or duplicated order can take effect after the
/// report. A target therefore counts until its last load order can no longer
/// take effect. That is the case
/// - on an engine that checks fencing numbers: as soon as the current process
///   of the engine has accepted a higher number, and a report was sampled
///   after that. A restarted process no longer knows the number, so orders of
///   the last `order_lifetime` count again;
/// - on an engine that ignores them: after the engine was responsive for
///   `order_lifetime` since the order. This bounds how late an order may take
///   effect. Time during which the engine was unresponsive is not counted,
///   since a frozen process may hold the order in a socket buffer.
/// Loading a target that is already resident or loading takes no further
/// memory, so an order may be resent freely while its target counts.
class memory_ledger {
 public:
  using size_function = std::function<byte_count(const std::string& target)>;

  /// `size_of` returns 0 for targets that the configuration does not know.
  memory_ledger(const clock& source, clock::duration order_lifetime,
                size_function size_of);

  void SetEngine(const endpoint_id& id, byte_count memory, bool checks_fencing);
  /// Sets the engine's usable memory to 0. Its records stay, because its row
  /// may be created again while orders are in flight.
  void DisableEngine(const endpoint_id& id);

  /// Applies the report that answers a poll sent at `polled_at`.
  void OnReport(const endpoint_id& id, const routing::endpoint_report& report,
                clock::time_point polled_at);
  /// Whether the target fits or is already counted.
  bool CanLoad(const endpoint_id& id, const std::string& target) const;
  /// Reserves the target's memory; call before the order is sent.
  void OnLoadOrdered(const endpoint_id& id, const std::string& target,
                     std::uint64_t fence);
  void OnLoadSent(const endpoint_id& id, const std::string& target,
                  std::uint64_t fence);
  /// Abandons a load that no report has shown yet. A load that was never sent
  /// is removed; any other counts until its order can no longer take effect.
  void Abandon(const endpoint_id& id, const std::string& target);
  /// Abandons all unreported loads of an earlier term of control.
  void AbandonAll();
  void OnUnloadSent(const endpoint_id& id, const std::string& target,
                    std::uint64_t fence);
  /// Counts a load that a previous controller may have ordered.
  void OnIntent(const endpoint_id& id, const std::string& target,
                byte_count size);
  /// The engine accepted an order with `fence` that was sent at `sent_at`.
  void OnFenceAccepted(const endpoint_id& id, std::uint64_t fence,
                       clock::time_point sent_at);

  /// Memory that is in use or may come into use.
  byte_count Committed(const endpoint_id& id) const;
  /// Memory not committed; negative if an engine reports more than it has.
  byte_count Free(const endpoint_id& id) const;
  /// Targets with a load order that may still take effect.
  std::vector<std::pair<std::string, byte_count>> OpenLoads(
      const endpoint_id& id) const;
  /// Highest fencing number of load orders that hold memory only because the
  /// engine does not yet enforce a higher number; 0 if there are none.
  std::uint64_t FenceToExceed(const endpoint_id& id) const;
  /// Whether an earlier order to unload the target may still take effect.
  bool MayBeUnloaded(const endpoint_id& id, const std::string& target) const;

  const ledger_engine* Find(const endpoint_id& id) const;
  ledger_entry* FindEntry(const endpoint_id& id, const std::string& target);
  const std::map<endpoint_id, ledger_engine>& engines() const {
    return engines_;
  }

 private:
  bool IsObsolete(const ledger_engine& engine, const open_order& order) const;
  bool IsAbsenceConfirmed(const ledger_engine& engine,
                          const std::string& target) const;
  void RecountLoads(ledger_engine& engine);
  void PruneOrders(const ledger_engine& engine,
                   std::map<std::string, open_order>& orders) const;
  void RemoveAbsent(ledger_engine& engine);
  ledger_entry& EntryOf(ledger_engine& engine, const std::string& target);
  void Observe(ledger_engine& engine, const std::string& target,
               residency_event event);

  const clock& clock_;
  clock::duration order_lifetime_;
  size_function size_of_;
  std::map<endpoint_id, ledger_engine> engines_;
};

}  // namespace bluebell::placement
