#include "limits/lender.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/digest.h"

namespace bluebell::limits {
namespace {

// The ttl starts when the borrower sends its request, which is before the
// lender receives it; the margin covers clock rate differences.
constexpr auto kExpiryMargin = std::chrono::milliseconds(100);
// Below T, so that a loan expires before its share can be reclaimed.
constexpr auto kMaxTtl = std::chrono::milliseconds(500);
// Time for which a settled loan accepts a refund when its request finishes.
constexpr auto kRefundPeriod = std::chrono::minutes(10);
// Limits memory to about 10 MB. Beyond it the oldest settled loan is evicted
// and its refund lost.
constexpr std::size_t kMaxLoans = 50'000;

}  // namespace

lender::lender(peer::peer_network& peers, const clock& time, bucket_lookup find)
    : clock_(time), find_bucket_(std::move(find)) {
  const std::weak_ptr<char> alive = alive_;
  peers.SetHandler(loan_request::kType,
                   [this, alive](const host_id&, const nlohmann::json& body,
                                 const peer::peer_network::respond& respond) {
                     if (alive.expired()) return;
                     const auto request = ParseLoanRequest(body);
                     respond(ToJson(request ? Lend(*request) : loan_offer{}));
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

loan_offer lender::Lend(const loan_request& request) {
  loan_offer offer;
  token_bucket* bucket = find_bucket_(request.account, true);
  if (!bucket || request.ttl > kMaxTtl) return offer;
  if (loans_.size() >= kMaxLoans) EvictOldestSettled();
  if (loans_.size() >= kMaxLoans) return offer;
  const auto now = clock_.now();
  const double available = std::floor(std::max(0.0, bucket->Available(now)));
  const double tokens =
      std::min(available, static_cast<double>(request.tokens.value()));
  offer.left = token_count(static_cast<std::int64_t>(available - tokens));
  if (tokens <= 0) return offer;
  bucket->SetAside(tokens);
  offer.loan = MakeUniqueId();
  offer.tokens = token_count(static_cast<std::int64_t>(tokens));
  loan& created = loans_[offer.loan];
  created.account = request.account;
  created.tokens = tokens;
  created.deadline = now + request.ttl + kExpiryMargin;
  deadlines_.emplace(created.deadline, offer.loan);
  return offer;
}

void lender::Settle(const loan_settle& message) {
  const auto found = loans_.find(message.loan);
  if (found == loans_.end()) return;
  loan& open = found->second;
  const double used =
      std::min(open.tokens, static_cast<double>(message.used.value()));
  if (!open.settled) {
    Charge(open, used);
    return;
  }
  // The second message reports fewer tokens than the first; if they arrive out
  // of order, the first one is ignored.
  token_bucket* bucket = find_bucket_(open.account, false);
  if (used >= open.used || !bucket) return;
  bucket->Refund(open.charge, open.used - used);
  loans_.erase(found);
}

void lender::Charge(loan& open, double used) {
  open.settled = true;
  open.used = used;
  open.deadline = clock_.now() + kRefundPeriod;
  token_bucket* bucket = find_bucket_(open.account, false);
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
      Discard(id);
    } else {
      deadlines_.emplace(due.deadline, id);
    }
  }
}

// Removes a settled loan without a refund.
void lender::Discard(const std::string& id) {
  const loan ended = std::move(loans_.at(id));
  loans_.erase(id);
  token_bucket* bucket = find_bucket_(ended.account, false);
  if (bucket && ended.used > 0) bucket->Refund(ended.charge, 0);
}

void lender::EvictOldestSettled() {
  for (auto at = deadlines_.begin(); at != deadlines_.end(); ++at) {
    const auto found = loans_.find(at->second);
    if (found == loans_.end() || !found->second.settled) continue;
    const std::string id = at->second;
    deadlines_.erase(at);
    Discard(id);
    return;
  }
}

}  // namespace bluebell::limits
