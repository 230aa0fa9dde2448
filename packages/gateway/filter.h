#pragma once

#include <boost/asio/spawn.hpp>
#include <memory>
#include <vector>

#include "gateway/exchange.h"

namespace bluebell::gateway {

/// The remaining filters after a filter.
class next_filter {
 public:
  virtual ~next_filter() = default;
  virtual void Process(exchange& current, boost::asio::yield_context yield) = 0;
};

/// One step of the request pipeline. A filter ends the exchange itself or
/// calls `next`, and may act before and after that call.
class filter {
 public:
  virtual ~filter() = default;
  virtual void Process(exchange& current, next_filter& next,
                       boost::asio::yield_context yield) = 0;
};

/// Filters in the order in which a request passes them.
class pipeline {
 public:
  explicit pipeline(std::vector<std::unique_ptr<filter>> filters)
      : filters_(std::move(filters)) {}

  void Process(exchange& current, boost::asio::yield_context yield);

 private:
  std::vector<std::unique_ptr<filter>> filters_;
};

}  // namespace bluebell::gateway
