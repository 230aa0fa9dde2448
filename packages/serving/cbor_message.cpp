#include "serving/cbor_message.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;

// Messages are nested six levels deep.
constexpr int kMaxDepth = 32;

// Stops at a document that is nested too deep. The library's reader recurses
// once per level and does not bound the depth.
class depth_checker final : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(json::number_integer_t) override { return true; }
  bool number_unsigned(json::number_unsigned_t) override { return true; }
  bool number_float(json::number_float_t, const std::string&) override {
    return true;
  }
  bool string(std::string&) override { return true; }
  bool binary(json::binary_t&) override { return true; }
  bool key(std::string&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&,
                   const json::exception&) override {
    return false;
  }

  bool too_deep() const { return depth_ > kMaxDepth; }

 private:
  bool Enter() { return ++depth_ <= kMaxDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
};

}  // namespace

json FromBytes(std::string_view bytes) {
  depth_checker checker;
  json::sax_parse(bytes.begin(), bytes.end(), &checker,
                  json::input_format_t::cbor);
  if (checker.too_deep()) {
    throw json::other_error::create(501, "nested too deep", nullptr);
  }
  return json::from_cbor(bytes.begin(), bytes.end());
}

}  // namespace bluebell::serving
