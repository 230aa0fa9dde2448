#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "base/ids.h"
#include "base/result.h"
#include "config/rows.h"

namespace bluebell::placement {

enum class order_operation {
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
  kUnloadAdapter,
};

/// Name of the operation in the engine API.
const char* ToString(order_operation operation);

/// One order to an engine, the body of `POST /v1/orders`.
struct order {
  std::string id;
  std::uint64_t fence = 0;
  order_operation operation = order_operation::kLoadModel;
  std::string target;
  byte_count memory;
};

using order_result = tl::expected<void, error>;

/// Sends orders to engines, for example over HTTP.
class order_sink {
 public:
  virtual ~order_sink() = default;

  /// Calls `done` exactly once, with success if the engine accepted the order.
  /// Errors: `kRefused` (the engine knows a higher fencing number),
  /// `kUnavailable` (nothing was sent), others: the order may take effect.
  virtual void Send(const config::endpoint_row& engine, const order& what,
                    std::function<void(order_result)> done) = 0;
};

}  // namespace bluebell::placement
