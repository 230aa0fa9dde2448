#pragma once

#include <tl/expected.hpp>

#include "base/ids.h"
#include "config/snapshot.h"
#include "limits/admission.h"

namespace bluebell::limits {

/// Returns the account's row for a request of `tokens`. Errors:
/// `kUnknownAccount`, and `kExceedsBurst` if `tokens` exceeds the burst.
tl::expected<const config::account_row*, admission_refusal> CheckRequest(
    const config::snapshot& rows, const account_id& account,
    token_count tokens);

}  // namespace bluebell::limits
