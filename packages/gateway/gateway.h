#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/result.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "gateway/dispatch_filter.h"
#include "gateway/filter.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_server.h"
#include "idempotency/deduplicator.h"
#include "limits/admission.h"
#include "routing/scheduler.h"

namespace bluebell::gateway {

/// Objects used by the gateway; all must outlive it.
struct gateway_dependencies {
  boost::asio::io_context& context;
  const clock& time;
  event_log& events;
  const config::snapshot& rows;
  const fleet::fleet_view& fleet;
  limits::admission& admission;
  idempotency::deduplicator& records;
  routing::scheduler& scheduler;
  gateway_metrics& metrics;
};

struct gateway_options {
  /// Listen address for callers, `IPv4:port`.
  std::string listen;
  http_limits http;
  dispatch_limits dispatch;
};

/// Time for which callers may cache the list of entry hosts.
constexpr std::chrono::seconds kEntryHostsTtl{10};

/// The caller listener: handles requests about the host itself and passes all
/// other requests through the pipeline.
class gateway {
 public:
  /// Error `kUnavailable`: the address cannot be listened on.
  static result<std::unique_ptr<gateway>> Create(
      const gateway_dependencies& dependencies, const gateway_options& options);

  http_server& server() { return *server_; }

 private:
  gateway(const gateway_dependencies& dependencies,
          const gateway_options& options);

  void Handle(const http_request& request, response_writer& writer,
              boost::asio::yield_context yield);
  bool HandleLocalRequest(const http_request& request, http_response& response);
  http_response EntryHosts(const http_request& request) const;
  http_response Models() const;
  http_response Readiness() const;
  http_response Metrics();

  gateway_dependencies dependencies_;
  pipeline pipeline_;
  std::unique_ptr<http_server> server_;
};

}  // namespace bluebell::gateway
