#include "limits/borrower.h"

#include <algorithm>

#include "limits/share_record.h"

namespace bluebell::limits {

struct borrower::collection {
  account_id account;
  std::int64_t need = 0;
  std::function<void(loan_collection)> done;
  std::vector<host_id> holders;
  std::size_t outstanding = 0;
  bool asked_all = false;
  loan_collection found;
};

borrower::borrower(peer::peer_network& peers, const fleet::fleet_view& fleet,
                   clock& time)
    : peers_(peers), fleet_(fleet), clock_(time) {}

void borrower::Collect(const account_id& account, std::int64_t need,
                       std::function<void(loan_collection)> done) {
  auto current = std::make_shared<collection>();
  current->account = account;
  current->need = need;
  current->done = std::move(done);
  std::vector<host_id> hosts;
  for (const auto& each : fleet_.EntryHosts(zone_id())) {
    hosts.push_back(each.id);
  }
  current->holders = ChooseHolders(account, std::move(hosts));
  auto& holders = current->holders;
  holders.erase(std::remove(holders.begin(), holders.end(), fleet_.self()),
                holders.end());
  AskFirst(current);
}

// Asking a single holder keeps the tokens of the others free for concurrent
// requests.
void borrower::AskFirst(const collection_ptr& current) {
  auto& holders = current->holders;
  const auto left = [&](const host_id& holder) {
    const auto known = left_.find({current->account, holder});
    return known == left_.end() ? 0 : known->second;
  };
  const auto richest = std::max_element(
      holders.begin(), holders.end(),
      [&](const host_id& a, const host_id& b) { return left(a) < left(b); });
  if (richest == holders.end() || left(*richest) < current->need) {
    AskAll(current);
    return;
  }
  const host_id holder = *richest;
  holders.erase(richest);
  current->outstanding = 1;
  Ask(current, holder);
}

void borrower::AskAll(const collection_ptr& current) {
  current->asked_all = true;
  const auto holders = std::move(current->holders);
  current->outstanding = holders.size();
  if (holders.empty()) {
    Finish(current);
    return;
  }
  for (const host_id& holder : holders) Ask(current, holder);
}

void borrower::Ask(const collection_ptr& current, const host_id& holder) {
  ++current->found.asked;
  const loan_request request{current->account,
                             token_count(current->need - current->found.total),
                             kLoanTtl};
  peers_.Request(holder, loan_request::kType, ToJson(request), kAnswerTimeout,
                 [this, current, holder, sent = clock_.now(),
                  alive = std::weak_ptr<char>(alive_)](
                     const result<nlohmann::json>& answer) {
                   if (!alive.expired())
                     OnAnswer(current, holder, sent, answer);
                 });
}

void borrower::OnAnswer(const collection_ptr& current, const host_id& holder,
                        clock::time_point sent,
                        const result<nlohmann::json>& answer) {
  --current->outstanding;
  const auto offer =
      answer ? ParseLoanOffer(*answer) : tl::make_unexpected(answer.error());
  left_[{current->account, holder}] = offer ? offer->left.value() : 0;
  if (offer) ++current->found.answered;
  if (offer && !offer->loan.empty()) {
    const loan lent{holder, offer->loan, offer->tokens.value(),
                    sent + kLoanTtl};
    if (!current->done) {
      Settle(lent, 0);
      return;
    }
    current->found.loans.push_back(lent);
    current->found.total += lent.tokens;
  }
  if (!current->done) return;
  if (current->found.total >= current->need) {
    Finish(current);
  } else if (current->outstanding == 0 && !current->asked_all) {
    AskAll(current);
  } else if (current->outstanding == 0) {
    Finish(current);
  }
}

void borrower::Finish(const collection_ptr& current) {
  const auto done = std::move(current->done);
  current->done = nullptr;
  done(std::move(current->found));
}

void borrower::Settle(const loan& settled, std::int64_t used) {
  // Without an answer the loan expires at the lender and counts as used.
  peers_.Request(settled.lender, loan_settle::kType,
                 ToJson(loan_settle{settled.id, token_count(used)}),
                 kAnswerTimeout, [](const auto&) {});
}

}  // namespace bluebell::limits
