#pragma once

#include <boost/asio/io_context.hpp>

#include "gateway/filter.h"
#include "limits/admission.h"

namespace bluebell::gateway {

/// Reserves the tokens of a request from the client account's budget and
/// refunds what was not used. Requests on open routes have no budget.
class admit_filter final : public filter {
 public:
  admit_filter(boost::asio::io_context& context, limits::admission& admission)
      : context_(context), admission_(admission) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  boost::asio::io_context& context_;
  limits::admission& admission_;
};

}  // namespace bluebell::gateway
