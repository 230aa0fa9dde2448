#include "standins/json_http.h"

#include <charconv>

namespace bluebell::standins {

using nlohmann::json;

http_response JsonResponse(int status, const json& body) {
  http_response response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

http_response ErrorResponse(int status, const std::string& code,
                            const std::string& detail) {
  return JsonResponse(status, {{"error", code}, {"detail", detail}});
}

std::string Query(const http_request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

std::string Header(const http_request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

field_reader Flag(bool& target) {
  return [&target](const json& value) {
    if (!value.is_boolean()) return false;
    target = value.get<bool>();
    return true;
  };
}

field_reader Count(int& target) {
  return [&target](const json& value) {
    if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
      return false;
    target = value.get<int>();
    return true;
  };
}

field_reader Duration(std::chrono::milliseconds& target) {
  return [&target](const json& value) {
    if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
      return false;
    target = std::chrono::milliseconds(value.get<int>());
    return true;
  };
}

field_reader Text(std::string& target) {
  return [&target](const json& value) {
    if (!value.is_string()) return false;
    target = value.get<std::string>();
    return true;
  };
}

result<void> ReadFields(const json& fields,
                        const std::map<std::string, field_reader>& readers) {
  if (!fields.is_object()) {
    return Fail(error_code::kInvalidArgument, "not a JSON object");
  }
  for (const auto& [name, value] : fields.items()) {
    const auto reader = readers.find(name);
    if (reader == readers.end()) {
      return Fail(error_code::kInvalidArgument, "unknown field " + name);
    }
    if (!reader->second(value)) {
      return Fail(error_code::kInvalidArgument,
                  "invalid value of " + name + ": " + value.dump());
    }
  }
  return {};
}

bool TakeOne(int& counter) {
  if (counter <= 0) return false;
  --counter;
  return true;
}

}  // namespace bluebell::standins
