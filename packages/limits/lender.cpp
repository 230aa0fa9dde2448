#include "limits/lender.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/digest.h"

namespace bluebell::limits {
namespace {

// The ttl counts from the borrower's sending, which is before the lender's
// receipt; the margin covers clocks that run at different rates.
constexpr auto kExpiryMargin = std::chrono::milliseconds(100);
// Below T: a loan ends before the fraction that it came from can be reclaimed.
constexpr auto kLongestTtl = std::chrono::milliseconds(500);
// Settled loans accept the refund of the finished request for this long.
constexpr auto kRefundPeriod = std::chrono::minutes(10);
// Loans remembered at most, about 10 MB; beyond it the oldest settled one is
// forgotten and its refund lost.
constexpr std::size_t kMaxLoans = 50'000;

}  // namespace

lender::lender(peer::peer_network& peers, const clock& time, bucket_lookup find)
    : clock_(time), find_(std::move(find)) {
  const std::weak_ptr<char> alive = alive_;
  peers.SetHandler(loan_request::kType,
                   [this, alive](const host_id&, const nlohmann::json& body,
                                 const peer::peer_network::respond& respond) {
                     if (alive.expired()) return;
                     const auto asked = ParseLoanRequest(body);
                     respond(ToJson(asked ? Lend(*asked) : loan_offer{}));
                   });
  peers.SetHandler(loan_settle::kType,
                   [this, alive](const host_id&, const nlohmann::json& body,
                                 const peer::peer_network::respond& respond) {
                     if (alive.expired()) return;
                     const auto settled = ParseLoanSettle(body);
                     if (settled) Settle(*settled);
                     respond(nlohmann::json::object());
                   });
}

loan_offer lender::Lend(const loan_request& asked) {
  loan_offer offer;
  token_bucket* bucket = find_(asked.account, true);
  if (!bucket || asked.ttl > kLongestTtl) return offer;
  if (loans_.size() >= kMaxLoans) ForgetOldest();
  if (loans_.size() >= kMaxLoans) return offer;
  const auto now = clock_.now();
  const double available = std::floor(std::max(0.0, bucket->Available(now)));
  const double tokens =
      std::min(available, static_cast<double>(asked.tokens.value()));
  offer.left = token_count(static_cast<std::int64_t>(available - tokens));
  if (tokens <= 0) return offer;
  bucket->SetAside(tokens);
  offer.loan = MakeUniqueId();
  offer.tokens = token_count(static_cast<std::int64_t>(tokens));
  loan& made = loans_[offer.loan];
  made.account = asked.account;
  made.tokens = tokens;
  made.deadline = now + asked.ttl + kExpiryMargin;
  deadlines_.emplace(made.deadline, offer.loan);
  return offer;
}

void lender::Settle(const loan_settle& settled) {
  const auto found = loans_.find(settled.loan);
  if (found == loans_.end()) return;
  loan& open = found->second;
  const double used =
      std::min(open.tokens, static_cast<double>(settled.used.value()));
  if (!open.settled) {
    Charge(open, used);
    return;
  }
  // A first message that arrives after the second names more and is ignored.
  token_bucket* bucket = find_(open.account, false);
  if (used >= open.used || !bucket) return;
  bucket->Refund(open.charge, open.used - used);
  loans_.erase(found);
}

void lender::Charge(loan& open, double used) {
  open.settled = true;
  open.used = used;
  open.deadline = clock_.now() + kRefundPeriod;
  token_bucket* bucket = find_(open.account, false);
  if (!bucket) return;
  bucket->Release(open.tokens);
  if (used > 0) open.charge = bucket->Charge(clock_.now(), used);
}

void lender::Expire() {
  const auto now = clock_.now();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::string id = std::move(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
    const auto found = loans_.find(id);
    if (found == loans_.end()) continue;
    loan& due = found->second;
    if (!due.settled) Charge(due, due.tokens);
    if (due.deadline <= now || due.used <= 0) {
      Forget(id);
    } else {
      deadlines_.emplace(due.deadline, id);
    }
  }
}

// Ends a settled loan without a refund.
void lender::Forget(const std::string& id) {
  const loan ended = std::move(loans_.at(id));
  loans_.erase(id);
  token_bucket* bucket = find_(ended.account, false);
  if (bucket && ended.used > 0) bucket->Refund(ended.charge, 0);
}

void lender::ForgetOldest() {
  for (auto at = deadlines_.begin(); at != deadlines_.end(); ++at) {
    const auto found = loans_.find(at->second);
    if (found == loans_.end() || !found->second.settled) continue;
    const std::string id = at->second;
    deadlines_.erase(at);
    Forget(id);
    return;
  }
}

}  // namespace bluebell::limits
