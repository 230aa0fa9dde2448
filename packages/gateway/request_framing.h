#pragma once

#include "gateway/http_types.h"

namespace bluebell::gateway {

/// Whether the end of the body of a request with these fields is certain (RFC
/// 9112, 6.1 and 6.3). The only transfer coding is `chunked`, applied once, in
/// HTTP/1.1; behind any other one, bytes of the body could be read as the next
/// request. Lengths are checked by the parser.
bool IsBodyDelimited(const http_fields& fields, bool is_http_1_1);

}  // namespace bluebell::gateway
