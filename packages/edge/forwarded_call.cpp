#include "edge/forwarded_call.h"

#include <charconv>
#include <string>
#include <utility>

namespace bluebell::edge {
namespace {

constexpr std::string_view kPrefix = "Entry-";
constexpr char kFromField[] = "Entry-From";
constexpr char kAccountField[] = "Entry-Account";
constexpr char kServiceField[] = "Entry-Service";
constexpr char kConfigField[] = "Entry-Config";
constexpr char kSoftwareField[] = "Entry-Software";
constexpr char kNotRunField[] = "Entry-Not-Run";

}  // namespace

void WriteForwardedCall(const forwarded_call& call,
                        gateway::http_fields& fields) {
  fields.Add(kFromField, call.from.value());
  fields.Add(kAccountField, call.account.value());
  fields.Add(kServiceField, call.service.value());
  fields.Add(kConfigField, std::to_string(call.config_version));
  if (!call.software.value().empty()) {
    fields.Add(kSoftwareField, call.software.value());
  }
}

std::optional<forwarded_call> ReadForwardedCall(
    const gateway::http_fields& fields) {
  forwarded_call call;
  call.from = host_id(fields.Find(kFromField));
  call.account = account_id(fields.Find(kAccountField));
  call.service = serving::service_id(fields.Find(kServiceField));
  call.software = software_version(fields.Find(kSoftwareField));
  const auto text = fields.Find(kConfigField);
  const auto [rest, failure] = std::from_chars(
      text.data(), text.data() + text.size(), call.config_version);
  if (failure != std::errc() || rest != text.data() + text.size() ||
      call.from.value().empty() || call.service.value().empty()) {
    return std::nullopt;
  }
  return call;
}

gateway::http_request WithoutForwardedCall(gateway::http_request request) {
  gateway::http_fields kept;
  for (const auto& field : request.fields.all()) {
    const auto name = std::string_view(field.name).substr(0, kPrefix.size());
    if (!gateway::EqualsIgnoringCase(name, kPrefix)) {
      kept.Add(field.name, field.value);
    }
  }
  request.fields = std::move(kept);
  return request;
}

void MarkAsNotRun(gateway::http_response& answer) {
  answer.fields.Add(kNotRunField, "1");
}

bool IsMarkedAsNotRun(const gateway::http_response& answer) {
  return answer.fields.Find(kNotRunField) == "1";
}

}  // namespace bluebell::edge
