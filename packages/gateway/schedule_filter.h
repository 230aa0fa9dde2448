#pragma once

#include <boost/asio/io_context.hpp>

#include "gateway/filter.h"
#include "routing/scheduler.h"

namespace bluebell::gateway {

/// Acquires an endpoint and passes the request on. Retries repeatable requests
/// and resumes broken streams on another endpoint.
class schedule_filter final : public filter {
 public:
  schedule_filter(boost::asio::io_context& context,
                  routing::scheduler& scheduler)
      : context_(context), scheduler_(scheduler) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  routing::scheduler::acquire_result Acquire(
      exchange& current, const routing::routing_request& request,
      boost::asio::yield_context yield);
  bool MayRetry(const exchange& current);

  boost::asio::io_context& context_;
  routing::scheduler& scheduler_;
};

}  // namespace bluebell::gateway
