#include "base/cbor.h"

namespace bluebell {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 32;

// Ends the parsing below `kMaxDepth`; ignores all values.
class depth_check final : public nlohmann::json_sax<json> {
 public:
  bool too_deep() const { return too_deep_; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  // `ParseCbor` reports errors of the syntax.
  bool parse_error(std::size_t, const std::string&,
                   const json::exception&) override {
    return false;
  }

 private:
  bool Enter() {
    too_deep_ = ++depth_ > kMaxDepth;
    return !too_deep_;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool too_deep_ = false;
};

}  // namespace

json ParseCbor(std::string_view bytes) {
  depth_check check;
  json::sax_parse(bytes.begin(), bytes.end(), &check,
                  json::input_format_t::cbor);
  if (check.too_deep()) {
    throw json::other_error::create(501, "nested too deeply", nullptr);
  }
  return json::from_cbor(bytes.begin(), bytes.end());
}

}  // namespace bluebell
