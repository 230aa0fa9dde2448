#pragma once

#include <memory>

#include "base/clock.h"
#include "routing/endpoint_view.h"
#include "store/object_store.h"

namespace bluebell::daemon {

/// Reads the platform's lagging list once in a while and tells the endpoint
/// view which endpoints are leaving.
class endpoint_listing {
 public:
  endpoint_listing(store::object_store& store, routing::endpoint_view& view,
                   clock& time)
      : store_(store), view_(view), time_(time) {}

  void Start();

 private:
  void OnList(const result<std::vector<store::listed_host>>& listed);

  store::object_store& store_;
  routing::endpoint_view& view_;
  clock& time_;
  timer_handle next_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::daemon
