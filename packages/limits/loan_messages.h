#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace bluebell::limits {

/// Peer message `loan_request`: asks for up to `tokens`.
struct loan_request {
  static constexpr const char* kType = "loan_request";
  account_id account;
  token_count tokens;
  /// Validity of the loan, counted from when this message is sent.
  std::chrono::milliseconds ttl{0};
};

/// Response to `loan_request`.
struct loan_offer {
  /// Empty if nothing is lent.
  std::string loan;
  token_count tokens;
  /// Tokens that the lender has left.
  token_count left;
};

/// Peer message `loan_settle`: `used` tokens of the loan are used. Sent when
/// the borrower admits or refuses its request, and again with a lower number if
/// the request used less than it reserved.
struct loan_settle {
  static constexpr const char* kType = "loan_settle";
  std::string loan;
  token_count used;
};

nlohmann::json ToJson(const loan_request& value);
nlohmann::json ToJson(const loan_offer& value);
nlohmann::json ToJson(const loan_settle& value);

/// The parsers fail with `kInvalidArgument` on missing fields and negative
/// numbers.
result<loan_request> ParseLoanRequest(const nlohmann::json& value);
result<loan_offer> ParseLoanOffer(const nlohmann::json& value);
result<loan_settle> ParseLoanSettle(const nlohmann::json& value);

}  // namespace bluebell::limits
