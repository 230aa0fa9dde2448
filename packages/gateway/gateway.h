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

/// What the gateway uses; everything must outlive it.
struct gateway_parts {
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
  /// `IPv4:port` for callers.
  std::string listen;
  http_limits http;
  dispatch_limits dispatch;
};

/// Time for which callers may keep an answer to the address question.
constexpr std::chrono::seconds kAddressLifetime{10};

/// The caller listener: answers questions about the host itself and passes all
/// other requests through the pipeline.
class gateway {
 public:
  /// Error `kUnavailable`: the address cannot be listened on.
  static result<std::unique_ptr<gateway>> Create(
      const gateway_parts& parts, const gateway_options& options);

  http_server& server() { return *server_; }

 private:
  gateway(const gateway_parts& parts, const gateway_options& options);

  void Handle(const http_request& request, answer_sink& answer,
              boost::asio::yield_context yield);
  bool AnswerLocally(const http_request& request, http_answer& answer);
  http_answer EntryHosts(const http_request& request) const;
  http_answer Models() const;
  http_answer Readiness() const;
  http_answer Metrics();

  gateway_parts parts_;
  pipeline pipeline_;
  std::unique_ptr<http_server> server_;
};

}  // namespace bluebell::gateway
