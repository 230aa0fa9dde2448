#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace bluebell::store {

struct http_store_options {
  /// Addresses of the platform, `IPv4:port`. A call starts with the one that
  /// worked last and tries the next ones while nothing was sent.
  std::vector<std::string> addresses;
  /// Time limit of a call other than a watch; more while a large response
  /// arrives.
  std::chrono::milliseconds call_limit{2000};
  /// Added to the wait of a watch for its time limit.
  std::chrono::milliseconds watch_margin{2000};
  /// Idle time after which a kept-alive connection is closed.
  std::chrono::milliseconds idle_limit{5000};
  /// Called with the target of a list in which elements cannot be read, which
  /// are left out, whenever their number has changed.
  std::function<void(const std::string& target, const std::string& detail)>
      report_unreadable = nullptr;
};

/// The platform's object API over HTTP/1.1 on an `io_context`.
///
/// Every write opens a new connection, because a kept-alive one may no longer
/// respond, which would leave the outcome of the write unknown. Reads try a
/// kept-alive connection for at most half the call limit and then a new one. A
/// write fails with `kUnavailable` only if no byte of it was sent; a read
/// without a usable response always does. Callbacks never run inside the call
/// itself; destroying the store drops the pending ones.
class http_object_store final : public object_store {
 public:
  /// Returns `kInvalidArgument` if an address is not `IPv4:port` or there is
  /// none.
  static result<std::unique_ptr<http_object_store>> Create(
      boost::asio::io_context& context, http_store_options options);
  ~http_object_store() override;

  void Get(const std::string& name,
           std::function<void(result<object>)> done) override;
  void Put(const std::string& name, const nlohmann::json& value,
           std::optional<revision> expected,
           std::function<void(write_result)> done) override;
  void Remove(const std::string& name, revision expected,
              std::function<void(write_result)> done) override;
  void List(const std::string& prefix,
            std::function<void(result<object_list>)> done) override;
  void Watch(const std::string& prefix, revision after,
             std::chrono::milliseconds wait,
             std::function<void(result<object_list>)> done) override;
  void ListHosts(
      std::function<void(result<std::vector<listed_host>>)> done) override;

  struct client;

 private:
  explicit http_object_store(std::shared_ptr<client> state);

  std::shared_ptr<client> client_;
};

}  // namespace bluebell::store
