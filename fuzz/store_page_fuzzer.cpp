#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "platform/config_decoder.h"
#include "platform/engine_decoder.h"
#include "platform/object_page.h"
#include "platform/page_cursor.h"

namespace platform = bluebell::platform;

// Bodies of the store's answers and of engines' reports: the first byte chooses
// which.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1,
                              size - 1);
  switch (data[0]) {
    case 'p':
      if (const auto objects = platform::ReadObjects(text)) {
        for (const auto& object : *objects) {
          platform::DecodeEngine(object.name, object.spec);
        }
      }
      platform::page_cursor().OnPage(text);
      break;
    case 'c':
      platform::DecodeConfig(nlohmann::json::parse(text, nullptr, false));
      break;
    case 'r':
      platform::DecodeReport(std::string(text));
      break;
  }
  return 0;
}
