#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"
#include "standins/http_server.h"

namespace bluebell::standins {

http_response JsonResponse(int status, const nlohmann::json& body);
/// Body `{"error": code, "detail": detail}`.
http_response ErrorResponse(int status, const std::string& code,
                            const std::string& detail);

/// The query parameter `name`, or an empty text.
std::string Query(const http_request& request, const std::string& name);
/// The header `name` (lower case), or an empty text.
std::string Header(const http_request& request, const std::string& name);
/// The decimal number in `text`, or 0.
std::uint64_t NumberOf(const std::string& text);

/// Stores a JSON value and returns whether it has the right type and range.
using field_reader = std::function<bool(const nlohmann::json&)>;

field_reader Flag(bool& target);
field_reader Count(int& target);
field_reader Duration(std::chrono::milliseconds& target);
field_reader Text(std::string& target);

/// Passes each field of the object to its reader. Unknown fields and wrong
/// values are errors, so that a mistyped fault does not pass as no fault.
result<void> ReadFields(const nlohmann::json& fields,
                        const std::map<std::string, field_reader>& readers);

/// Takes one from a positive counter and returns whether it did.
bool TakeOne(int& counter);

}  // namespace bluebell::standins
