#include "limits/static_split_admission.h"

#include <algorithm>

#include "limits/request_check.h"

namespace bluebell::limits {
namespace {

// Interval at which configuration and membership are applied; they are also
// applied before each request.
constexpr auto kTickInterval = std::chrono::milliseconds(200);

}  // namespace

static_split_admission::static_split_admission(config::snapshot& rows,
                                               const fleet::fleet_view& fleet,
                                               clock& time)
    : rows_(rows), fleet_(fleet), clock_(time) {
  Tick();
}

void static_split_admission::Tick() {
  for (const auto& [account, row] : rows_.accounts()) Configure(account, row);
  tick_ = clock_.CallAfter(kTickInterval, [this] { Tick(); });
}

void static_split_admission::Configure(const account_id& account,
                                       const config::account_row& row) {
  const auto members =
      static_cast<double>(std::max<std::size_t>(1, fleet_.Members().size()));
  const auto now = clock_.now();
  buckets_.try_emplace(account, now)
      .first->second.Configure(
          now, static_cast<double>(row.rate.value()) / members,
          static_cast<double>(row.burst.value()) / members);
}

void static_split_admission::Reserve(const account_id& account,
                                     token_count tokens,
                                     std::function<void(reserve_result)> done) {
  const auto checked = CheckRequest(rows_, account, tokens);
  if (!checked) {
    done(tl::make_unexpected(checked.error()));
    return;
  }
  Configure(account, **checked);
  token_bucket& bucket = buckets_.at(account);
  const auto wanted = static_cast<double>(tokens.value());
  if (bucket.Available(clock_.now()) < wanted) {
    done(tl::make_unexpected(admission_refusal::kRateExceeded));
    return;
  }
  const reservation created{next_id_++, account, tokens};
  open_charges_[created.id] = bucket.Charge(clock_.now(), wanted);
  done(created);
}

void static_split_admission::Settle(const reservation& ended,
                                    token_count used) {
  const auto node = open_charges_.extract(ended.id);
  if (node.empty()) return;
  const auto unused = static_cast<double>((ended.tokens - used).value());
  buckets_.at(ended.account).Refund(node.mapped(), unused);
}

}  // namespace bluebell::limits
