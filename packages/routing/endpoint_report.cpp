#include "routing/endpoint_report.h"

namespace bluebell::routing {
namespace {

using nlohmann::json;

tl::unexpected<error> BadField(const char* field, const char* allowed) {
  return Fail(
      error_code::kInvalidArgument,
      std::string("load report: field '") + field + "': allowed: " + allowed);
}

// Adds the strings of the array `field` to `names`; an absent field adds none.
bool ReadNames(const json& body, const char* field,
               std::set<std::string>& names) {
  const auto found = body.find(field);
  if (found == body.end()) return true;
  if (!found->is_array()) return false;
  for (const auto& name : *found) {
    if (!name.is_string()) return false;
    names.insert(name.get<std::string>());
  }
  return true;
}

// Reads the number `field` if present; negative numbers are invalid.
template <class Number>
bool ReadNumber(const json& body, const char* field, Number& number) {
  const auto found = body.find(field);
  if (found == body.end()) return true;
  if (!found->is_number() || found->get<double>() < 0) return false;
  number = found->get<Number>();
  return true;
}

}  // namespace

result<endpoint_report> ParseReport(const json& body) {
  if (!body.is_object()) return BadField("", "an object");
  endpoint_report report;
  const auto incarnation = body.find("incarnation");
  if (incarnation == body.end() || !incarnation->is_string()) {
    return BadField("incarnation", "a string");
  }
  report.incarnation = incarnation->get<std::string>();
  const json state = body.value("state", json("live"));
  if (state != "live" && state != "leaving") {
    return BadField("state", "live, leaving");
  }
  report.leaving = state == "leaving";

  std::int64_t sampled_ms = 0;
  std::int64_t total = 0;
  std::int64_t used = 0;
  constexpr const char* kNumber = "a number of at least 0";
  if (!ReadNumber(body, "running", report.running)) {
    return BadField("running", kNumber);
  }
  if (!ReadNumber(body, "queued", report.queued)) {
    return BadField("queued", kNumber);
  }
  if (!ReadNumber(body, "tokens_per_second", report.tokens_per_second)) {
    return BadField("tokens_per_second", kNumber);
  }
  if (!ReadNumber(body, "sampled_ms_ago", sampled_ms)) {
    return BadField("sampled_ms_ago", kNumber);
  }
  if (!ReadNumber(body, "memory_total", total)) {
    return BadField("memory_total", kNumber);
  }
  if (!ReadNumber(body, "memory_used", used)) {
    return BadField("memory_used", kNumber);
  }
  report.sampled_ago = std::chrono::milliseconds(sampled_ms);
  report.memory_total = byte_count(total);
  report.memory_used = byte_count(used);

  constexpr const char* kNames = "an array of names";
  if (!ReadNames(body, "models", report.resident)) {
    return BadField("models", kNames);
  }
  if (!ReadNames(body, "adapters", report.resident)) {
    return BadField("adapters", kNames);
  }
  if (!ReadNames(body, "loading", report.loading)) {
    return BadField("loading", kNames);
  }
  return report;
}

}  // namespace bluebell::routing
