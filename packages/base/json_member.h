#pragma once

#include <nlohmann/json.hpp>
#include <utility>

namespace bluebell {

/// The member `key` of a stored value; `otherwise` if the value is no object,
/// or the member is missing or of another type. Other writers store values,
/// too.
template <class T>
T MemberOr(const nlohmann::json& value, const char* key, T otherwise) {
  if (!value.is_object()) return otherwise;
  try {
    return value.value(key, otherwise);
  } catch (const nlohmann::json::exception&) {
    return otherwise;
  }
}

}  // namespace bluebell
