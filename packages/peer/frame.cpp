#include "peer/frame.h"

#include <cmath>
#include <websocketpp/utf8_validator.hpp>

#include "base/nested_json.h"

namespace bluebell::peer {
namespace {

using nlohmann::json;

// The CBOR reader recurses once per level, so nesting is bounded before the
// document is built.
constexpr int kMaxDepth = 32;

// Accepts documents of bounded depth whose strings are valid UTF-8; invalid
// UTF-8 would make a later serialisation to JSON throw.
class frame_checker final : public nesting_check {
 public:
  frame_checker() : nesting_check(kMaxDepth) {}

  bool number_float(json::number_float_t value, const std::string&) override {
    return std::isfinite(value);
  }
  bool string(std::string& text) override {
    return websocketpp::utf8_validator::validate(text);
  }
  bool key(std::string& text) override { return string(text); }
};

// Returns a discarded value if `data` is not an accepted document. The library
// throws on some lengths that exceed the address space.
json Parse(const std::string& data) {
  try {
    frame_checker checker;
    if (json::sax_parse(data, &checker, json::input_format_t::cbor)) {
      return json::from_cbor(data, true, false);
    }
  } catch (const json::exception&) {
  }
  return json(json::value_t::discarded);
}

}  // namespace

result<std::string> EncodeFrame(const frame& message) {
  json document{{"id", message.correlation}, {"body", message.body}};
  if (!message.type.empty()) document["type"] = message.type;
  std::string data;
  json::to_cbor(document, data);
  if (data.size() > kMaxFrameBytes) {
    return Fail(error_code::kTooLarge,
                "peer message of " + std::to_string(data.size()) + " bytes");
  }
  return data;
}

result<frame> DecodeFrame(const std::string& data) {
  const auto malformed = [](const char* what) {
    return Fail(error_code::kInvalidArgument, what);
  };
  if (data.size() > kMaxFrameBytes) return malformed("frame too large");
  json document = Parse(data);
  if (!document.is_object()) return malformed("frame is not a CBOR map");
  const auto id = document.find("id");
  if (id == document.end() || !id->is_number_unsigned()) {
    return malformed("frame without correlation id");
  }
  const auto body = document.find("body");
  if (body == document.end()) return malformed("frame without body");
  frame message;
  message.correlation = id->get<std::uint64_t>();
  message.body = std::move(*body);
  const auto type = document.find("type");
  if (type == document.end()) return message;
  if (!type->is_string()) return malformed("frame type is not text");
  message.type = type->get<std::string>();
  return message;
}

}  // namespace bluebell::peer
