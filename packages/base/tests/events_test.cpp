#include "base/events.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace bluebell {
namespace {

// Guards against an event that operators cannot look up: the catalogue in the
// docs and the one in the code hold the same lines.
TEST(event_catalogue, EqualsTheDocumentedCatalogue) {
  const char* root = std::getenv("BLUEBELL_SOURCE_DIR");
  ASSERT_NE(root, nullptr);
  std::ifstream file(std::string(root) + "/docs/events.md");
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  std::size_t rows = 0;
  for (const auto& kind : EventCatalogue()) {
    const std::string row = fmt::format(
        "| {} | {} | {} |", static_cast<int>(kind.id), kind.name, kind.meaning);
    EXPECT_NE(text.find(row), std::string::npos) << row;
    ++rows;
  }
  std::size_t documented = 0;
  for (std::size_t at = text.find("\n| "); at != std::string::npos;
       at = text.find("\n| ", at + 1)) {
    if (std::isdigit(static_cast<unsigned char>(text[at + 3]))) ++documented;
  }
  EXPECT_EQ(documented, rows);
}

TEST(event_catalogue, NumbersAscend) {
  const auto& all = EventCatalogue();
  for (std::size_t i = 1; i < all.size(); ++i) {
    EXPECT_LT(static_cast<int>(all[i - 1].id), static_cast<int>(all[i].id));
  }
}

}  // namespace
}  // namespace bluebell
