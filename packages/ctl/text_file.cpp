#include "ctl/text_file.h"

#include <array>
#include <cerrno>
#include <fstream>
#include <system_error>

namespace bluebell::ctl {

result<std::string> ReadTextFile(const std::string& name) {
  const auto failed = [&] {
    return Fail(
        error_code::kNotFound,
        "cannot read " + name + ": " + std::generic_category().message(errno));
  };
  std::ifstream file(name, std::ios::binary);
  if (!file) return failed();
  std::string text;
  std::array<char, 65536> part{};
  do {
    file.read(part.data(), part.size());
    text.append(part.data(), static_cast<std::size_t>(file.gcount()));
  } while (file);
  // A directory can be opened, but not read.
  if (file.bad()) return failed();
  return text;
}

}  // namespace bluebell::ctl
