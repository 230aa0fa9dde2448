#pragma once

#include "config/snapshot.h"
#include "gateway/filter.h"

namespace bluebell::gateway {

/// `max_tokens` of a request that does not set it.
constexpr std::int64_t kDefaultMaxTokens = 256;
/// Tokens charged for one call of a plain service.
constexpr std::int64_t kServiceCallTokens = 1;

/// Validates the body of a completion, or the idempotency key of a
/// non-repeatable call, and computes the token cost of the request.
class parse_filter final : public filter {
 public:
  explicit parse_filter(const config::snapshot& rows) : rows_(rows) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  bool ParseService(exchange& current) const;
  bool ParseCompletion(exchange& current) const;

  const config::snapshot& rows_;
};

/// Estimated tokens of a prompt of `bytes` bytes: one per four bytes, rounded
/// up, because entry hosts do not have the models' tokenizers.
token_count EstimatePromptTokens(std::size_t bytes);

}  // namespace bluebell::gateway
