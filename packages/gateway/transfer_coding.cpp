#include "gateway/transfer_coding.h"

#include <string_view>

namespace bluebell::gateway {
namespace {

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

bool IsCodingKnown(const http_fields& fields, bool is_http_1_1) {
  constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
  const auto count = fields.Count(kTransferEncoding);
  if (count == 0) return true;
  const std::string value = fields.Find(kTransferEncoding);
  return is_http_1_1 && count == 1 &&
         EqualsIgnoringCase(Trim(value), "chunked");
}

}  // namespace bluebell::gateway
