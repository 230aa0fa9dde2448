#pragma once

#include <optional>
#include <string>

#include "ctl/session.h"

namespace bluebell::ctl {

/// Makes a random key for the account, stores its digest and prints the key.
exit_code GrantKey(session& current, const std::string& account);
/// Withdraws the key with that SHA-256 digest. Repeats the write if another
/// edit came first, because a withdrawal is right whatever that edit was.
exit_code WithdrawKey(session& current, const std::string& digest);

exit_code ListHosts(session& current);
/// Drains the host with that id, which must be one of the given addresses.
exit_code DrainHost(session& current, const std::string& host);
/// Shows the status of every given address.
exit_code ShowStatus(session& current);

}  // namespace bluebell::ctl
