#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/session.h"

namespace bluebell::ctl {

/// Runs one command. `arguments` are those after the program's name.
exit_code RunCli(const std::vector<std::string>& arguments,
                 const client_factory& make_client, std::istream& in,
                 std::ostream& out, std::ostream& err);

}  // namespace bluebell::ctl
