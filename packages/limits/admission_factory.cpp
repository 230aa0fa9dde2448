#include "limits/admission_factory.h"

#include "limits/fleet_admission.h"
#include "limits/single_owner_admission.h"
#include "limits/static_split_admission.h"

namespace bluebell::limits {

result<admission_policy> ParseAdmissionPolicy(const std::string& name) {
  if (name == "shares") return admission_policy::kShares;
  if (name == "static_split") return admission_policy::kStaticSplit;
  if (name == "single_owner") return admission_policy::kSingleOwner;
  return Fail(error_code::kInvalidArgument,
              "admission policy '" + name +
                  "': allowed: shares, static_split, single_owner");
}

result<std::unique_ptr<admission>> MakeAdmission(
    admission_policy policy, config::snapshot& rows, store::object_store& store,
    peer::peer_network& peers, const fleet::fleet_view& fleet, clock& time,
    event_log& events) {
  switch (policy) {
    case admission_policy::kShares:
      return std::make_unique<fleet_admission>(rows, store, peers, fleet, time,
                                               events);
    case admission_policy::kStaticSplit:
      return std::make_unique<static_split_admission>(rows, fleet, time);
    case admission_policy::kSingleOwner:
      return std::make_unique<single_owner_admission>(rows, peers, fleet, time);
  }
  return Fail(error_code::kInvalidArgument, "unknown admission policy");
}

}  // namespace bluebell::limits
