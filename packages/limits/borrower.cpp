#include "limits/borrower.h"

#include <algorithm>

#include "limits/share_record.h"

namespace bluebell::limits {

struct borrower::collect_operation {
  account_id account;
  std::int64_t needed = 0;
  std::function<void(collected_loans)> done;
  std::vector<host_id> holders;
  std::size_t outstanding = 0;
  bool requested_all = false;
  collected_loans found;
};

borrower::borrower(peer::peer_network& peers, const fleet::fleet_view& fleet,
                   clock& time)
    : peers_(peers), fleet_(fleet), clock_(time) {}

void borrower::Collect(const account_id& account, std::int64_t needed,
                       std::function<void(collected_loans)> done) {
  auto operation = std::make_shared<collect_operation>();
  operation->account = account;
  operation->needed = needed;
  operation->done = std::move(done);
  std::vector<host_id> hosts;
  for (const auto& each : fleet_.EntryHosts(zone_id())) {
    hosts.push_back(each.id);
  }
  operation->holders = ChooseHolders(account, std::move(hosts));
  auto& holders = operation->holders;
  holders.erase(std::remove(holders.begin(), holders.end(), fleet_.self()),
                holders.end());
  RequestFromOne(operation);
}

// Querying a single holder leaves the tokens of the others available to
// concurrent requests.
void borrower::RequestFromOne(const collect_operation_ptr& operation) {
  auto& holders = operation->holders;
  const auto available = [&](const host_id& holder) {
    const auto known = known_available_.find({operation->account, holder});
    return known == known_available_.end() ? 0 : known->second;
  };
  const auto best = std::max_element(holders.begin(), holders.end(),
                                     [&](const host_id& a, const host_id& b) {
                                       return available(a) < available(b);
                                     });
  if (best == holders.end() || available(*best) < operation->needed) {
    RequestFromAll(operation);
    return;
  }
  const host_id holder = *best;
  holders.erase(best);
  operation->outstanding = 1;
  RequestLoan(operation, holder);
}

void borrower::RequestFromAll(const collect_operation_ptr& operation) {
  operation->requested_all = true;
  const auto holders = std::move(operation->holders);
  operation->outstanding = holders.size();
  if (holders.empty()) {
    Finish(operation);
    return;
  }
  for (const host_id& holder : holders) RequestLoan(operation, holder);
}

void borrower::RequestLoan(const collect_operation_ptr& operation,
                           const host_id& holder) {
  ++operation->found.queried;
  const loan_request request{
      operation->account,
      token_count(operation->needed - operation->found.total), kLoanTtl};
  peers_.Request(holder, loan_request::kType, ToJson(request), kResponseTimeout,
                 [this, operation, holder, sent = clock_.now(),
                  alive = std::weak_ptr<char>(alive_)](
                     const result<nlohmann::json>& response) {
                   if (!alive.expired())
                     OnResponse(operation, holder, sent, response);
                 });
}

void borrower::OnResponse(const collect_operation_ptr& operation,
                          const host_id& holder, clock::time_point sent,
                          const result<nlohmann::json>& response) {
  --operation->outstanding;
  const auto offer = response ? ParseLoanOffer(*response)
                              : tl::make_unexpected(response.error());
  known_available_[{operation->account, holder}] =
      offer ? offer->left.value() : 0;
  if (offer) ++operation->found.responded;
  if (offer && !offer->loan.empty()) {
    const loan received{holder, offer->loan, offer->tokens.value(),
                        sent + kLoanTtl};
    if (!operation->done) {
      Settle(received, 0);
      return;
    }
    operation->found.loans.push_back(received);
    operation->found.total += received.tokens;
  }
  if (!operation->done) return;
  if (operation->found.total >= operation->needed) {
    Finish(operation);
  } else if (operation->outstanding == 0 && !operation->requested_all) {
    RequestFromAll(operation);
  } else if (operation->outstanding == 0) {
    Finish(operation);
  }
}

void borrower::Finish(const collect_operation_ptr& operation) {
  const auto done = std::move(operation->done);
  operation->done = nullptr;
  done(std::move(operation->found));
}

void borrower::Settle(const loan& settled, std::int64_t used) {
  // If this message is lost, the loan expires at the lender and counts as used.
  peers_.Request(settled.lender, loan_settle::kType,
                 ToJson(loan_settle{settled.id, token_count(used)}),
                 kResponseTimeout, [](const auto&) {});
}

}  // namespace bluebell::limits
