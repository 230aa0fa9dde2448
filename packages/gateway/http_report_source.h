#pragma once

#include <boost/asio/io_context.hpp>

#include "routing/endpoint_poller.h"

namespace bluebell::gateway {

/// Fetches load reports with `GET /v1/load`.
class http_report_source final : public routing::report_source {
 public:
  explicit http_report_source(boost::asio::io_context& context)
      : context_(context) {}

  void Fetch(
      const config::endpoint_row& endpoint, clock::duration timeout,
      std::function<void(result<routing::endpoint_report>)> done) override;

 private:
  boost::asio::io_context& context_;
};

}  // namespace bluebell::gateway
