#include "gateway/http_report_source.h"

#include "gateway/json_client.h"

namespace bluebell::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

void http_report_source::Fetch(
    const config::endpoint_row& endpoint, clock::duration timeout,
    std::function<void(result<routing::endpoint_report>)> done) {
  const auto limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  CallJson(context_, "GET", endpoint.address, "/v1/load", nullptr, limit,
           [done = std::move(done)](const result<json_response>& response) {
             if (!response) {
               done(tl::unexpected(response.error()));
             } else if (response->status == kNotFound) {
               done(Fail(error_code::kNotFound, "no load report"));
             } else if (response->status != kOk) {
               done(Fail(error_code::kRefused,
                         "status " + std::to_string(response->status)));
             } else {
               done(routing::ParseReport(response->body));
             }
           });
}

}  // namespace bluebell::gateway
