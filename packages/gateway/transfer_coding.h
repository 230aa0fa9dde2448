#pragma once

#include "gateway/http_types.h"

namespace bluebell::gateway {

/// Whether the body of a message with these fields can be read (RFC 9112, 6.1
/// and 6.3). The only transfer coding is `chunked`, applied once, in HTTP/1.1.
/// Behind another one, bytes of a request's body could be read as the next
/// request, and an answer's body would be passed on coded without a field that
/// says so. Lengths are checked by the parser.
bool IsCodingKnown(const http_fields& fields, bool is_http_1_1);

}  // namespace bluebell::gateway
