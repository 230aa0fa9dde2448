#include "gateway/json_client.h"

#include <algorithm>

#include "base/nested_json.h"
#include "gateway/endpoint_connection.h"
#include "gateway/network.h"

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;

// Time left until a deadline, at least 1 ms.
class time_left {
 public:
  explicit time_left(milliseconds limit) : deadline_(steady::now() + limit) {}
  milliseconds operator()() const {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline_ - steady::now());
    return std::max(left, milliseconds(1));
  }

 private:
  steady::time_point deadline_;
};

result<json_response> Exchange(boost::asio::io_context& context,
                               const http_request& request,
                               const std::string& address,
                               const time_left& left,
                               boost::asio::yield_context yield) {
  auto opened = endpoint_connection::Connect(context, address, left(), yield);
  if (!opened) {
    // A refused connection fails immediately; an unresponsive host times out.
    const bool timed_out = left() <= milliseconds(1);
    return Fail(timed_out ? error_code::kTimeout : error_code::kUnavailable,
                opened.error().detail);
  }
  const auto sent = (*opened)->Send(request, left(), yield);
  if (!sent) return tl::unexpected(sent.error());
  const auto head = (*opened)->ReadHead(left(), yield);
  if (!head) return tl::unexpected(head.error());
  const auto body = (*opened)->ReadBody(kMaxResponseBytes, left(), yield);
  if (!body) return tl::unexpected(body.error());
  return json_response{head->status, ParseJson(*body)};
}

}  // namespace

void CallJson(boost::asio::io_context& context, const std::string& method,
              const std::string& address, const std::string& path,
              const nlohmann::json& body, milliseconds timeout,
              std::function<void(result<json_response>)> done) {
  http_request request;
  request.method = method;
  request.path = path;
  request.fields.Add("Host", address);
  if (!body.is_null()) {
    request.fields.Add("Content-Type", "application/json");
    request.body = body.dump();
  }
  SpawnTask(context, [&context, request, address, timeout,
                      done = std::move(done)](auto yield) {
    done(Exchange(context, request, address, time_left(timeout), yield));
  });
}

}  // namespace bluebell::gateway
