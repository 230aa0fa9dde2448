#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bluebell {

/// Receives the parts of a document, keeps nothing and ends the parsing at a
/// nesting of more than `max_depth` levels. Derived classes may reject values.
class nesting_check : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit nesting_check(int max_depth) : max_depth_(max_depth) {}

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
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::json::exception&) override {
    return false;
  }

 private:
  bool Enter() {
    too_deep_ = ++depth_ > max_depth_;
    return !too_deep_;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int max_depth_;
  int depth_ = 0;
  bool too_deep_ = false;
};

/// Parses a CBOR document from another process. Throws
/// `nlohmann::json::exception` if it is malformed, or nested deeper than any
/// message of this program: the parser recurses at each level.
nlohmann::json ParseCbor(std::string_view bytes);

/// Parses JSON text from another process. Returns a discarded value
/// (`is_discarded`) if it is malformed or nested deeper than 64 levels:
/// copying and printing a value recurse at each level.
nlohmann::json ParseJson(std::string_view text);

/// Whether `text` is JSON, of any depth, in which a string or the name of a
/// member contains `part`.
bool JsonTextContains(std::string_view text, const std::string& part);

}  // namespace bluebell
