#include "base/address.h"

#include <charconv>
#include <cstdint>

namespace bluebell {

result<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text) {
  const auto invalid = [&text] {
    return Fail(error_code::kInvalidArgument,
                "'" + text + "' is not of the form IPv4:port");
  };
  const auto colon = text.find(':');
  if (colon == std::string::npos) return invalid();
  boost::system::error_code failure;
  const auto ip =
      boost::asio::ip::make_address_v4(text.substr(0, colon), failure);
  if (failure) return invalid();
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return invalid();
  return boost::asio::ip::tcp::endpoint(ip, port);
}

bool IsAddress(const std::string& text) {
  const auto parsed = ParseAddress(text);
  return parsed && parsed->port() != 0;
}

}  // namespace bluebell
