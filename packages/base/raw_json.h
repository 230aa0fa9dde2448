#pragma once

#include <string_view>
#include <vector>

namespace bluebell {

/// Raw text of the elements of the JSON array `text`, without blanks around
/// them; none if it is no array. Reads no values, so that an element that no
/// reader accepts, or that is nested too deep, costs only itself.
std::vector<std::string_view> RawElements(std::string_view text);

/// Raw text of the member `key` of the JSON object `text`, without blanks
/// around it; empty if there is none.
std::string_view RawMember(std::string_view text, std::string_view key);

}  // namespace bluebell
