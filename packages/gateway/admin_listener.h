#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "admin/admin_service.h"
#include "base/result.h"
#include "gateway/http_server.h"

namespace bluebell::gateway {

/// HTTP transport of the admin operations, on a separate address.
class admin_listener {
 public:
  /// `service` must outlive the listener. Error `kUnavailable`: the address
  /// cannot be listened on.
  static result<std::unique_ptr<admin_listener>> Create(
      boost::asio::io_context& context, const std::string& address,
      admin::admin_service& service);

  http_server& server() { return *server_; }

 private:
  admin_listener(boost::asio::io_context& context,
                 admin::admin_service& service)
      : context_(context), service_(service) {}

  void Handle(const http_request& request, response_writer& writer,
              boost::asio::yield_context yield);

  boost::asio::io_context& context_;
  admin::admin_service& service_;
  std::unique_ptr<http_server> server_;
};

}  // namespace bluebell::gateway
