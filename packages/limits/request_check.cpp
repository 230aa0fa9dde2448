#include "limits/request_check.h"

namespace bluebell::limits {

tl::expected<const config::account_row*, admission_refusal> CheckRequest(
    const config::snapshot& rows, const account_id& account,
    token_count tokens) {
  const config::account_row* row = rows.FindAccount(account);
  if (row == nullptr) {
    return tl::make_unexpected(admission_refusal::kUnknownAccount);
  }
  if (tokens > row->burst) {
    return tl::make_unexpected(admission_refusal::kExceedsBurst);
  }
  return row;
}

}  // namespace bluebell::limits
