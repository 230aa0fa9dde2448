#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
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

/// The member `key` of the JSON object `text`, read by itself, so that others
/// cannot spoil it; null if there is none, discarded if it cannot be read.
nlohmann::json ReadMember(std::string_view text, std::string_view key);

/// The same for a whole number of at least 0; none if it is anything else.
std::optional<std::uint64_t> ReadUnsigned(std::string_view text,
                                          std::string_view key);

}  // namespace bluebell
