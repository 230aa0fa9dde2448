#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "test_processes.h"

namespace bluebell::daemon {

std::string Bearer(const std::string& key);
std::string OrderBody(const std::string& order);
std::string CompletionBody(const std::string& model, int max_tokens,
                           bool stream = false,
                           const std::string& prompt = "carve a rose");

/// A caller's persistent connection.
class caller_connection {
 public:
  explicit caller_connection(const std::string& address);

  bool connected() const { return connected_; }
  /// Sends one request without waiting for its answer.
  void Send(const std::string& method, const std::string& target,
            const std::string& body, const std::vector<std::string>& fields);
  /// Reads the next answer, which must have a Content-Length; the status is 0
  /// after `limit` or if the connection ended.
  http_reply Read(std::chrono::milliseconds limit = std::chrono::seconds(20));
  void Close();

 private:
  std::string address_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
  bool connected_ = false;
  std::string buffer_;
};

/// A test cluster with the operations that the fault tests share.
class fault_test_cluster : public test_cluster {
 public:
  /// Starts the platform and `hosts` hosts, waits until they know each other,
  /// and creates the account "ndiaye" with a key.
  void StartHosts(int hosts = 3);
  /// Starts the service "orders-0" and creates the route "/orders" to it.
  void AddOrders(int max_concurrency = 8,
                 const std::vector<std::string>& options = {});

  /// Starts an engine without models and registers it in "z<zone>".
  void AddEngine(const std::string& id, int zone, std::int64_t memory,
                 bool checks_fencing,
                 const std::vector<std::string>& options = {});
  void AddModel(const std::string& id, std::int64_t memory, int copies = 1);
  /// Calls the admin listener of a host with the operator key.
  http_reply Admin(int host, const std::string& method,
                   const std::string& target, const std::string& body = "",
                   std::uint64_t revision = 0);
  /// Removes a row; retries after conflicts.
  bool RemoveRow(const std::string& table, const std::string& id);
  /// Index of the host that controls the placement, or -1.
  int Controller();

  http_reply Complete(
      int host, const std::string& model, int max_tokens = 4,
      std::chrono::milliseconds limit = std::chrono::seconds(25));
  http_reply SendOrder(
      int host, const std::string& order,
      std::chrono::milliseconds limit = std::chrono::seconds(20));

  void SetFaults(const std::string& address, const nlohmann::json& faults);
  nlohmann::json Counters(const std::string& id);
  /// Executions and received requests of an order since the service started.
  int Runs(const std::string& order);
  int Received(const std::string& order);
  /// Whether the platform holds the idempotency record of an order.
  bool HasRecord(const std::string& order);
  std::size_t HostsKnown(int host);
  /// A gauge of `/metrics`, or -1 if the host does not answer.
  double Gauge(int host, const std::string& name);

  const std::string& key() const { return key_; }

 private:
  std::string key_;
  int hosts_ = 0;
};

}  // namespace bluebell::daemon
