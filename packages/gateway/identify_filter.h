#pragma once

#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "gateway/filter.h"

namespace bluebell::gateway {

/// Resolves the route and authenticates the client account by the caller's key.
///
/// Refuses all requests while this host is isolated, because it may not have
/// learned that a key was withdrawn. Refuses requests that contain the key
/// outside the Authorization field, which is not forwarded, so that no endpoint
/// sees the key.
class identify_filter final : public filter {
 public:
  identify_filter(const config::snapshot& rows, const fleet::fleet_view& fleet)
      : rows_(rows), fleet_(fleet) {}

  void Process(exchange& current, next_filter& next,
               boost::asio::yield_context yield) override;

 private:
  bool FindRoute(exchange& current) const;
  bool FindAccount(exchange& current) const;

  const config::snapshot& rows_;
  const fleet::fleet_view& fleet_;
};

/// Whether `key` occurs outside the Authorization field, in plain,
/// percent-encoded or JSON-escaped form.
bool LeaksKey(const http_request& request, const std::string& key);

/// Addresses of the other entry hosts, for callers refused by this one.
std::string OtherHosts(const fleet::fleet_view& fleet);

}  // namespace bluebell::gateway
