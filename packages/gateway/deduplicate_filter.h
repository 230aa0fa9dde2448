#pragma once

#include <boost/asio/io_context.hpp>

#include "gateway/filter.h"
#include "idempotency/deduplicator.h"

namespace bluebell::gateway {

/// Executes a non-repeatable request at most once and replays the recorded
/// response to duplicates. Repeatable requests pass unchanged.
class deduplicate_filter final : public filter {
 public:
  deduplicate_filter(boost::asio::io_context& context,
                     idempotency::deduplicator& records)
      : context_(context), records_(records) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  void Run(exchange& current, const idempotency::attempt& attempt,
           next_filter& next, boost::asio::yield_context yield);

  boost::asio::io_context& context_;
  idempotency::deduplicator& records_;
};

}  // namespace bluebell::gateway
