#pragma once

#include "config/snapshot.h"
#include "gateway/filter.h"

namespace bluebell::gateway {

/// Tokens generated when the caller gives no `max_tokens`.
constexpr std::int64_t kDefaultMaxTokens = 256;
/// Tokens charged for one call of a plain service.
constexpr std::int64_t kServiceCallTokens = 1;

/// Checks the body of a completion, or the idempotency key of a call that may
/// not be repeated, and works out what the request costs.
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

/// Metered tokens of a prompt of `bytes` bytes. Entry hosts have no tokenizer
/// of the models, so the meter counts four bytes as one token.
token_count MeterPrompt(std::size_t bytes);

}  // namespace bluebell::gateway
