#include "limits/loan_messages.h"

#include <stdexcept>

#include "base/json_guard.h"

namespace bluebell::limits {
namespace {

using nlohmann::json;

std::int64_t ReadNonNegative(const json& value, const char* field) {
  const auto number = value.at(field).get<std::int64_t>();
  if (number < 0) {
    throw std::invalid_argument(std::string(field) + " is negative");
  }
  return number;
}

}  // namespace

json ToJson(const loan_request& value) {
  return {{"account", value.account.value()},
          {"tokens", value.tokens.value()},
          {"ttl_ms", value.ttl.count()}};
}

json ToJson(const loan_offer& value) {
  return {{"loan", value.loan},
          {"tokens", value.tokens.value()},
          {"left", value.left.value()}};
}

json ToJson(const loan_settle& value) {
  return {{"loan", value.loan}, {"used", value.used.value()}};
}

result<loan_request> ParseLoanRequest(const json& value) {
  return GuardParse(loan_request::kType, [&] {
    return loan_request{
        account_id(value.at("account").get<std::string>()),
        token_count(ReadNonNegative(value, "tokens")),
        std::chrono::milliseconds(ReadNonNegative(value, "ttl_ms"))};
  });
}

result<loan_offer> ParseLoanOffer(const json& value) {
  return GuardParse("loan_offer", [&] {
    return loan_offer{value.at("loan").get<std::string>(),
                      token_count(ReadNonNegative(value, "tokens")),
                      token_count(ReadNonNegative(value, "left"))};
  });
}

result<loan_settle> ParseLoanSettle(const json& value) {
  return GuardParse(loan_settle::kType, [&] {
    return loan_settle{value.at("loan").get<std::string>(),
                       token_count(ReadNonNegative(value, "used"))};
  });
}

}  // namespace bluebell::limits
