#pragma once

#include <memory>

#include "base/clock.h"
#include "routing/endpoint_view.h"
#include "store/object_store.h"

namespace bluebell::daemon {

/// Periodically reads the platform's endpoint list, which may lag, and marks
/// leaving endpoints in the endpoint view.
class endpoint_list_reader {
 public:
  endpoint_list_reader(store::object_store& store, routing::endpoint_view& view,
                       clock& time)
      : store_(store), view_(view), time_(time) {}

  void Start();

 private:
  void OnHostList(const result<std::vector<store::listed_host>>& listed);

  store::object_store& store_;
  routing::endpoint_view& view_;
  clock& time_;
  timer_handle next_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::daemon
