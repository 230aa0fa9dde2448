#include "fault_test_cluster.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio.hpp>

#include "base/digest.h"

namespace bluebell::daemon {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string Bearer(const std::string& key) {
  return "Authorization: Bearer " + key;
}

std::string OrderBody(const std::string& order) {
  return nlohmann::json{{"order", order}}.dump();
}

std::string CompletionBody(const std::string& model, int max_tokens,
                           bool stream, const std::string& prompt) {
  return nlohmann::json{{"model", model},
                        {"prompt", prompt},
                        {"max_tokens", max_tokens},
                        {"stream", stream}}
      .dump();
}

caller_connection::caller_connection(const std::string& address)
    : address_(address) {
  const std::size_t colon = address.find(':');
  boost::system::error_code failure;
  socket_.connect(
      {asio::ip::make_address(address.substr(0, colon)),
       static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
      failure);
  connected_ = !failure;
}

void caller_connection::Send(const std::string& method,
                             const std::string& target, const std::string& body,
                             const std::vector<std::string>& fields) {
  std::string request = method + " " + target +
                        " HTTP/1.1\r\nHost: " + address_ +
                        "\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n";
  for (const auto& field : fields) request += field + "\r\n";
  request += "\r\n" + body;
  boost::system::error_code failure;
  asio::write(socket_, asio::buffer(request), failure);
  if (failure) connected_ = false;
}

http_reply caller_connection::Read(milliseconds limit) {
  const auto deadline = steady_clock::now() + limit;
  const timeval wait{0, 100'000};
  if (connected_) {
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait,
               sizeof(wait));
  }
  char part[8192];
  while (connected_ && steady_clock::now() < deadline) {
    const std::size_t end = buffer_.find("\r\n\r\n");
    const std::size_t field = buffer_.find("Content-Length: ");
    if (end != std::string::npos && field < end) {
      const std::size_t length = std::stoul(buffer_.substr(field + 16));
      if (buffer_.size() >= end + 4 + length) {
        http_reply reply;
        reply.status = std::stoi(buffer_.substr(buffer_.find(' ') + 1, 3));
        reply.head = buffer_.substr(0, end + 2);
        reply.body = buffer_.substr(end + 4, length);
        reply.complete = true;
        buffer_.erase(0, end + 4 + length);
        return reply;
      }
    }
    const ssize_t count =
        ::recv(socket_.native_handle(), part, sizeof(part), 0);
    if (count > 0) buffer_.append(part, static_cast<std::size_t>(count));
    const bool ended =
        count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    if (ended) connected_ = false;
  }
  return {};
}

void caller_connection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  connected_ = false;
}

void fault_test_cluster::StartHosts(int hosts) {
  StartPlatform();
  hosts_ = hosts;
  for (int i = 0; i < hosts; ++i) StartHost(i);
  ASSERT_TRUE(WaitUntil([&] {
    for (int i = 0; i < hosts; ++i) {
      if (HostsKnown(i) != static_cast<std::size_t>(hosts)) return false;
    }
    return true;
  }));
  key_ = AddAccount("ndiaye", 1'000'000, 5'000'000);
}

void fault_test_cluster::AddOrders(int max_concurrency,
                                   const std::vector<std::string>& options) {
  StartService("orders-0", options);
  RegisterService("orders-0", "orders", max_concurrency);
  PutRow("routes", "orders",
         {{"id", "orders"},
          {"prefix", "/orders"},
          {"group", "orders"},
          {"open", false},
          {"repeatable", false}});
}

void fault_test_cluster::AddEngine(const std::string& id, int zone,
                                   std::int64_t memory, bool checks_fencing,
                                   const std::vector<std::string>& options) {
  std::vector<std::string> all = {"--memory-bytes", std::to_string(memory)};
  if (checks_fencing) all.push_back("--checks-fencing");
  all.insert(all.end(), options.begin(), options.end());
  StartEngine(id, "", all);
  PutRow("endpoints", id,
         {{"id", id},
          {"address", address_of(id)},
          {"zone", "z" + std::to_string(zone)},
          {"kind", "engine"},
          {"group", ""},
          {"memory_bytes", memory},
          {"checks_fencing", checks_fencing},
          {"max_concurrency", 8}});
}

void fault_test_cluster::AddModel(const std::string& id, std::int64_t memory,
                                  int copies) {
  PutRow("models", id,
         {{"id", id}, {"memory_bytes", memory}, {"min_copies", copies}});
}

http_reply fault_test_cluster::Admin(int host, const std::string& method,
                                     const std::string& target,
                                     const std::string& body,
                                     std::uint64_t revision) {
  return Call(admin_address(host), method, target, body,
              {Bearer(kOperatorKey), "If-Match: " + std::to_string(revision)});
}

bool fault_test_cluster::RemoveRow(const std::string& table,
                                   const std::string& id) {
  const std::string target = "/admin/v1/config/" + table + "/" + id;
  return WaitUntil([&] {
    for (int host = 0; host < hosts_; ++host) {
      const auto row = Admin(host, "GET", target);
      if (row.status != 200) continue;
      const auto revision = row.json().value("revision", std::uint64_t{0});
      const auto removed = Admin(host, "DELETE", target, "", revision);
      if (removed.status >= 200 && removed.status < 300) return true;
    }
    return false;
  });
}

int fault_test_cluster::Controller() {
  for (int host = 0; host < hosts_; ++host) {
    const auto status = Call(admin_address(host), "GET", "/admin/v1/status", "",
                             {Bearer(kOperatorKey)}, milliseconds(1500))
                            .json();
    if (status.is_object() &&
        status.dump().find("\"controls_placement\":true") !=
            std::string::npos) {
      return host;
    }
  }
  return -1;
}

http_reply fault_test_cluster::Complete(int host, const std::string& model,
                                        int max_tokens, milliseconds limit) {
  return Call(host_address(host), "POST", "/v1/completions",
              CompletionBody(model, max_tokens), {Bearer(key_)}, limit);
}

http_reply fault_test_cluster::SendOrder(int host, const std::string& order,
                                         milliseconds limit) {
  return Call(host_address(host), "POST", "/orders", OrderBody(order),
              {Bearer(key_), "Idempotency-Key: " + order}, limit);
}

void fault_test_cluster::SetFaults(const std::string& address,
                                   const nlohmann::json& faults) {
  EXPECT_EQ(Call(address, "POST", "/admin/faults", faults.dump()).status, 200)
      << faults.dump();
}

nlohmann::json fault_test_cluster::Counters(const std::string& id) {
  return Call(address_of(id), "GET", "/admin/counters").json();
}

int fault_test_cluster::Runs(const std::string& order) {
  const auto reply = Call(address_of("orders-0"), "GET", "/admin/runs").json();
  return reply.is_object() ? reply["runs"].value(order, 0) : 0;
}

int fault_test_cluster::Received(const std::string& order) {
  const auto reply =
      Call(address_of("orders-0"), "GET", "/admin/requests").json();
  if (!reply.is_object()) return 0;
  int count = 0;
  for (const auto& request : reply["requests"]) {
    if (request.value("body", "") == OrderBody(order)) ++count;
  }
  return count;
}

bool fault_test_cluster::HasRecord(const std::string& order) {
  return Call(platform_address(), "GET",
              "/v1/objects/idempotency/ndiaye/" + Sha256Hex(order))
             .status == 200;
}

std::size_t fault_test_cluster::HostsKnown(int host) {
  const auto reply = Call(host_address(host), "GET", "/v1/entry-hosts?zone=z0");
  return reply.status == 200 ? reply.json()["hosts"].size() : 0;
}

double fault_test_cluster::Gauge(int host, const std::string& name) {
  const auto metrics = Call(host_address(host), "GET", "/metrics").body;
  const std::string line = "bluebell_state{name=\"" + name + "\"} ";
  const std::size_t at = metrics.find(line);
  return at == std::string::npos ? -1
                                 : std::stod(metrics.substr(at + line.size()));
}

}  // namespace bluebell::daemon
