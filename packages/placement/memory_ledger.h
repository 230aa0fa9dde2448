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
  /// Whether a load was ordered, by this controller or a previous one.
  /// Whether this controller has sent the order, not only reserved memory.
  bool load_sent = false;
  clock::time_point last_order;
  clock::time_point resident_since;
};

/// An order that may still take effect.
struct open_order {
  byte_count size;
  std::uint64_t fence = 0;
  /// Responsive time of the engine when the order was last given.
  clock::duration age{0};
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
  /// Earliest time at which the latest report's sample can have been taken.
  clock::time_point sampled_at;
  /// Time during which the engine is known to have answered polls.
  clock::duration responsive{0};
  /// Highest fencing number that this incarnation is known to enforce.
  std::uint64_t confirmed_fence = 0;
  /// Fencing number that was accepted and awaits a report after `accepted_at`.
  std::uint64_t accepted_fence = 0;
  clock::time_point accepted_at;
  /// Memory of targets without a known size.
  byte_count unknown;
  std::map<std::string, ledger_entry> entries;
  /// Last load and unload order of each target.
  std::map<std::string, open_order> loads;
  std::map<std::string, open_order> unloads;
};

/// Accounts for the memory of every engine: resident + loading + unconfirmed
/// unloading + loads that may still arrive.
///
/// A report that shows a target as absent does not prove that no order to load
/// it is under way: a late or doubled order takes effect after the report. A
/// target therefore counts until its last load order cannot take effect any
/// more. That is the case
/// - on an engine that checks fencing numbers: as soon as the present process
///   of the engine has accepted a higher number, and a report was sampled
///   after that. A restarted process has forgotten the number, so its orders
///   of the last `order_lifetime` count again;
/// - on an engine that ignores them: after the engine was responsive for
///   `order_lifetime` since the order. This bounds how late an order may take
///   effect. Time in which the engine was silent is not counted, since a
///   frozen process may hold the order in a socket buffer.
/// Loading a target that is resident or loading already takes no more memory,
/// so an order may be repeated freely while its target counts.
class memory_ledger {
 public:
  using size_function = std::function<byte_count(const std::string& target)>;

  /// `size_of` returns 0 for targets that the configuration does not know.
  memory_ledger(const clock& source, clock::duration order_lifetime,
                size_function size_of);

  void SetEngine(const endpoint_id& id, byte_count memory, bool checks_fencing);
  /// Leaves the engine without usable memory. Its records stay, because its
  /// row may be created again while orders are under way.
  void DisableEngine(const endpoint_id& id);

  /// Takes in the answer to a poll that was sent at `polled_at`.
  void OnReport(const endpoint_id& id, const routing::endpoint_report& report,
                clock::time_point polled_at);
  /// Whether the target fits, or counts already.
  bool CanLoad(const endpoint_id& id, const std::string& target) const;
  /// Counts the target from now on; call before the order leaves the process.
  void OnLoadOrdered(const endpoint_id& id, const std::string& target,
                     std::uint64_t fence);
  void OnLoadSent(const endpoint_id& id, const std::string& target,
                  std::uint64_t fence);
  /// Gives up a load that no report has shown: one that was never sent is
  /// taken back, any other counts until it is settled.
  void Abandon(const endpoint_id& id, const std::string& target);
  /// Gives up all loads of an earlier term.
  void AbandonAll();
  void OnUnloadSent(const endpoint_id& id, const std::string& target,
                    std::uint64_t fence);
  /// Counts a load that a previous controller may have ordered.
  void OnIntent(const endpoint_id& id, const std::string& target,
                byte_count size);
  /// The engine accepted an order with `fence` that was sent at `sent_at`.
  void OnFenceAccepted(const endpoint_id& id, std::uint64_t fence,
                       clock::time_point sent_at);

  /// Memory that is or may come into use.
  byte_count Committed(const endpoint_id& id) const;
  /// Memory left; negative if an engine reports more than it has.
  byte_count Free(const endpoint_id& id) const;
  /// Targets with a load order that may still take effect.
  std::vector<std::pair<std::string, byte_count>> OpenLoads(
      const endpoint_id& id) const;
  /// Highest fencing number of orders that only hold memory until the engine
  /// enforces a higher number; 0 if there are none.
  std::uint64_t FenceToExceed(const endpoint_id& id) const;
  /// Whether an earlier order to unload the target may still take effect.
  bool MayBeUnloaded(const endpoint_id& id, const std::string& target) const;

  const ledger_engine* Find(const endpoint_id& id) const;
  ledger_entry* FindEntry(const endpoint_id& id, const std::string& target);
  const std::map<endpoint_id, ledger_engine>& engines() const {
    return engines_;
  }

 private:
  bool IsDead(const ledger_engine& engine, const open_order& order) const;
  bool IsSettled(const ledger_engine& engine, const std::string& target) const;
  void Reinstate(ledger_engine& engine);
  void ForgetOldOrders(const ledger_engine& engine,
                       std::map<std::string, open_order>& orders) const;
  void Settle(ledger_engine& engine);
  ledger_entry& EntryOf(ledger_engine& engine, const std::string& target);
  void Observe(ledger_engine& engine, const std::string& target,
               residency_event event);

  const clock& clock_;
  clock::duration order_lifetime_;
  size_function size_of_;
  std::map<endpoint_id, ledger_engine> engines_;
};

}  // namespace bluebell::placement
