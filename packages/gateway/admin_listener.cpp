#include "gateway/admin_listener.h"

#include "base/digest.h"
#include "gateway/await.h"
#include "gateway/relay_filter.h"

namespace bluebell::gateway {
namespace {

constexpr std::string_view kBearer = "Bearer ";

admin::admin_request ToAdminRequest(const http_request& request) {
  admin::admin_request converted;
  converted.method = request.method;
  converted.path = request.path;
  converted.query = request.query;
  converted.body = request.body;
  if (request.fields.Count("If-Match") > 0) {
    converted.if_match = request.fields.Find("If-Match");
  }
  const std::string authorization = request.fields.Find("Authorization");
  if (EqualsIgnoringCase(authorization.substr(0, kBearer.size()), kBearer)) {
    converted.operator_key = authorization.substr(kBearer.size());
  }
  return converted;
}

http_response ToHttpResponse(const admin::admin_response& response) {
  http_response converted;
  converted.status = response.status;
  converted.fields.Add("Content-Type", response.content_type);
  if (!response.etag.empty()) converted.fields.Add("ETag", response.etag);
  converted.body = response.body;
  return converted;
}

}  // namespace

result<std::unique_ptr<admin_listener>> admin_listener::Create(
    boost::asio::io_context& context, const std::string& address,
    admin::admin_service& service) {
  std::unique_ptr<admin_listener> created(new admin_listener(context, service));
  auto* self = created.get();
  auto server = http_server::Listen(
      context, address, http_limits{},
      [self](const http_request& request, response_writer& writer,
             boost::asio::yield_context yield) {
        self->Handle(request, writer, yield);
      },
      [](problem_code code, std::string detail) {
        return ToResponse({code, std::move(detail), executed::kNo},
                          request_id(MakeUniqueId()));
      });
  if (!server) return tl::unexpected(server.error());
  created->server_ = std::move(*server);
  return created;
}

void admin_listener::Handle(const http_request& request,
                            response_writer& writer,
                            boost::asio::yield_context yield) {
  const auto response =
      Await<admin::admin_response>(context_, yield, [&](auto done) {
        service_.Handle(ToAdminRequest(request), std::move(done));
      });
  writer.SendResponse(ToHttpResponse(response), yield);
}

}  // namespace bluebell::gateway
