#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace bluebell::store {

struct http_store_options {
  /// Addresses of the platform, `IPv4:port`. A call starts with the one that
  /// worked last and goes on to the next while nothing was sent.
  std::vector<std::string> addresses;
  /// Longest duration of a call other than a watch.
  std::chrono::milliseconds call_limit{2000};
  /// A watch lasts at most its wait and this much.
  std::chrono::milliseconds watch_margin{2000};
  /// Longest idle time of a connection that is kept for the next read.
  std::chrono::milliseconds idle_limit{5000};
};

/// The platform's object API over HTTP/1.1 on an `io_context`.
///
/// Every write uses a fresh connection, because a kept one may have gone
/// silent, which would leave the outcome of the write unknown. Reads use kept
/// connections for at most half the call limit and then a fresh one. A write
/// fails with `kUnavailable` only if no byte of it was sent; a read that gets
/// no usable answer always does. Callbacks never run inside the call itself;
/// destroying the store drops those that are open.
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
