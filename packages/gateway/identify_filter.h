#pragma once

#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "gateway/filter.h"

namespace bluebell::gateway {

/// Finds the route, and the client account from the caller's key.
///
/// Refuses all work while this host is isolated, because a key may have been
/// withdrawn without this host knowing. Takes the key out of the request, so
/// that no later filter and no endpoint can see it.
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

/// Whether `key` occurs anywhere in the request but in its Authorization
/// field, in plain, percent-encoded or JSON-escaped form.
bool LeaksKey(const http_request& request, const std::string& key);

/// Addresses of other entry hosts, for callers that must go elsewhere.
std::string OtherHosts(const fleet::fleet_view& fleet);

}  // namespace bluebell::gateway
