#include "base/nested_json.h"

#include <algorithm>
#include <limits>

namespace bluebell {
namespace {

using nlohmann::json;

constexpr int kMaxCborDepth = 32;
constexpr int kMaxJsonDepth = 64;

// The parser of JSON text keeps its levels on the heap, so that a search needs
// no bound on the depth.
class text_search final : public nesting_check {
 public:
  explicit text_search(const std::string& part)
      : nesting_check(std::numeric_limits<int>::max()), part_(part) {}

  bool found() const { return found_; }

  bool string(std::string& text) override {
    found_ = found_ || text.find(part_) != std::string::npos;
    return true;
  }
  bool key(std::string& text) override { return string(text); }

 private:
  const std::string& part_;
  bool found_ = false;
};

}  // namespace

json ParseCbor(std::string_view bytes) {
  nesting_check check(kMaxCborDepth);
  json::sax_parse(bytes.begin(), bytes.end(), &check,
                  json::input_format_t::cbor);
  if (check.too_deep()) {
    throw json::other_error::create(501, "nested too deeply", nullptr);
  }
  return json::from_cbor(bytes.begin(), bytes.end());
}

json ParseJson(std::string_view text) {
  // Most texts have too few brackets to be nested too deeply.
  const auto brackets = std::count_if(
      text.begin(), text.end(), [](char c) { return c == '[' || c == '{'; });
  nesting_check check(kMaxJsonDepth);
  if (brackets > kMaxJsonDepth &&
      !json::sax_parse(text.begin(), text.end(), &check)) {
    return json(json::value_t::discarded);
  }
  return json::parse(text.begin(), text.end(), nullptr, false);
}

bool JsonTextContains(std::string_view text, const std::string& part) {
  text_search search(part);
  return json::sax_parse(text.begin(), text.end(), &search) && search.found();
}

}  // namespace bluebell
