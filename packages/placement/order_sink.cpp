#include "placement/order_sink.h"

namespace bluebell::placement {

const char* ToString(order_operation operation) {
  switch (operation) {
    case order_operation::kLoadModel:
      return "load_model";
    case order_operation::kUnloadModel:
      return "unload_model";
    case order_operation::kLoadAdapter:
      return "load_adapter";
    case order_operation::kUnloadAdapter:
      return "unload_adapter";
  }
  return "unknown";
}

}  // namespace bluebell::placement
