#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/nested_json.h"
#include "base/result.h"

namespace bluebell::serving {

/// A message as a CBOR datagram.
inline std::string ToBytes(const nlohmann::json& message) {
  const auto bytes = nlohmann::json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

/// Reads an integer. Throws `nlohmann::json::exception` for any other value:
/// the conversion of a floating-point number out of the integer's range is
/// undefined, and no build sends one.
template <class Integer>
Integer ReadInteger(const nlohmann::json& value) {
  using integer = nlohmann::json::number_integer_t;
  return static_cast<Integer>(value.get_ref<const integer&>());
}

/// Applies `decode` to the message in `bytes`. Error `kInvalidArgument` if
/// either throws `nlohmann::json::exception`.
template <class Decode>
auto Decoded(std::string_view bytes, const Decode& decode)
    -> result<decltype(decode(nlohmann::json()))> {
  try {
    return decode(ParseCbor(bytes));
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

}  // namespace bluebell::serving
