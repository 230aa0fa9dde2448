#include "ctl/admin_client.h"

#include "base/percent_encoding.h"

namespace bluebell::ctl {

result<http_answer> admin_group::Call(const http_request& request) {
  std::string failures;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const std::size_t at = (first_ + i) % hosts_.size();
    auto answer = hosts_[at]->Call(request);
    if (answer || answer.error().code != error_code::kUnavailable) {
      first_ = at;
      return answer;
    }
    failures += (failures.empty() ? "" : "; ") + answer.error().detail;
  }
  return Fail(error_code::kUnavailable, "no host reachable: " + failures);
}

std::string EncodePath(const std::string& text) {
  return PercentEncode(text, ":@+/");
}

}  // namespace bluebell::ctl
