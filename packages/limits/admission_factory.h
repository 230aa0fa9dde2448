#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/result.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "limits/admission.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::limits {

/// How budgets are divided between hosts. All hosts of a fleet use the same.
enum class admission_policy {
  /// Fractions and loans: `fleet_admission`.
  kShares,
  /// Baseline: each member has an equal part.
  kStaticSplit,
  /// Baseline: one host per account decides all requests.
  kSingleOwner,
};

/// Parses "shares", "static_split" or "single_owner".
result<admission_policy> ParseAdmissionPolicy(const std::string& name);

/// Creates the admission of this host. The references must outlive it.
result<std::unique_ptr<admission>> MakeAdmission(
    admission_policy policy, config::snapshot& rows, store::object_store& store,
    peer::peer_network& peers, const fleet::fleet_view& fleet, clock& time,
    event_log& events);

}  // namespace bluebell::limits
