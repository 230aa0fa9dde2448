#pragma once

#include <boost/asio/io_context.hpp>

#include "placement/order_sink.h"

namespace bluebell::gateway {

/// Sends orders to engines with `POST /v1/orders`.
class http_order_sink final : public placement::order_sink {
 public:
  explicit http_order_sink(boost::asio::io_context& context)
      : context_(context) {}

  void Send(const config::endpoint_row& engine, const placement::order& order,
            std::function<void(placement::order_result)> done) override;

 private:
  boost::asio::io_context& context_;
};

}  // namespace bluebell::gateway
