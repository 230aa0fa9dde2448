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

/// How budgets are divided between hosts; must be the same on all hosts of a
/// fleet.
enum class admission_policy {
  /// Adjustable shares and loans: `fleet_admission`.
  kShares,
  /// Baseline: each member has a fixed equal share.
  kStaticSplit,
  /// Baseline: one host per account admits all its requests.
  kSingleOwner,
};

/// Parses "shares", "static_split" or "single_owner"; fails with
/// `kInvalidArgument` on any other name.
result<admission_policy> ParseAdmissionPolicy(const std::string& name);

/// Creates the admission control of this host. The references must outlive it.
result<std::unique_ptr<admission>> MakeAdmission(
    admission_policy policy, config::snapshot& rows, store::object_store& store,
    peer::peer_network& peers, const fleet::fleet_view& fleet, clock& time,
    event_log& events);

}  // namespace bluebell::limits
