#pragma once

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bluebell::daemon {

/// Key that the hosts of a test site take from operators.
inline constexpr char kOperatorKey[] = "operator-key-of-the-test";

/// A child process of the test; killed when the object is destroyed.
class child_process {
 public:
  /// Starts `arguments[0]` with output to `log_file`.
  child_process(const std::vector<std::string>& arguments,
                const std::string& log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number);
  /// Kills the process and waits for its end.
  void Kill();
  /// Waits for the end; returns the exit status, or -1 after `limit`.
  int Wait(std::chrono::milliseconds limit);
  bool running();

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = -1;
};

/// Status, body and transport result of one HTTP call.
struct http_reply {
  /// 0 if there was no answer.
  int status = 0;
  std::string head;
  std::string body;
  /// Whether the answer arrived to its marked end.
  bool complete = false;

  nlohmann::json json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
};

/// Sends one HTTP/1.1 request to `address`; waits at most `limit` for it all.
http_reply Call(const std::string& address, const std::string& method,
                const std::string& target, const std::string& body = "",
                const std::vector<std::string>& fields = {},
                std::chrono::milliseconds limit = std::chrono::seconds(20));

/// Polls until `condition` holds; returns false after `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

/// A whole site on loopback: stand-ins and entry hosts as processes.
class test_site {
 public:
  test_site();
  ~test_site();

  void StartPlatform();
  /// Starts an engine stand-in with `models` ("m:bytes,n:bytes") resident.
  void StartEngine(const std::string& id, const std::string& models,
                   const std::vector<std::string>& options = {});
  void StartService(const std::string& id,
                    const std::vector<std::string>& options = {});
  /// Starts host `index` (0 based) in availability zone "z<index>".
  void StartHost(int index);
  /// Starts a host again under its old settings.
  void RestartHost(int index) { StartHost(index); }

  /// Runs bluebellrailctl against host 0; returns its exit status.
  int Ctl(const std::vector<std::string>& arguments,
          std::string* output = nullptr);
  /// Creates a row through the admin listener of host 0 and waits for it.
  void PutRow(const std::string& table, const std::string& id,
              const nlohmann::json& value);
  void RegisterEngine(const std::string& id, std::int64_t memory,
                      bool checks_fencing = true);
  void RegisterService(const std::string& id, const std::string& group,
                       int max_concurrency = 8);
  /// Creates an account and a key for it; returns the key.
  std::string AddAccount(const std::string& id, std::int64_t rate,
                         std::int64_t burst, int priority = 5);
  /// Waits until every started host serves with all rows so far.
  bool WaitReady();

  std::string host_address(int index) const;
  std::string admin_address(int index) const;
  std::string address_of(const std::string& id) const;
  std::string platform_address() const;
  /// Output of a process, by "host-<index>" or endpoint id.
  std::string log_file(const std::string& id) const;
  child_process& host(int index);
  child_process& endpoint(const std::string& id);
  child_process& platform();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace bluebell::daemon
