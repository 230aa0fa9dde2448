#include "standins/token_text.h"

#include <fmt/format.h>

#include "base/digest.h"

namespace bluebell::standins {

std::string TokenText(const std::string& model, const std::string& prompt,
                      std::int64_t index) {
  const auto hash = Hash64(model + '\n' + prompt);
  return fmt::format(" {:04x}.{}", hash & 0xffff, index);
}

std::string GeneratedText(const std::string& model, const std::string& prompt,
                          std::int64_t first, std::int64_t last) {
  std::string text;
  for (auto index = first; index < last; ++index) {
    text += TokenText(model, prompt, index);
  }
  return text;
}

std::string PromptOf(const nlohmann::json& body) {
  if (!body.contains("messages")) return body.value("prompt", "");
  std::string prompt;
  for (const auto& message : body["messages"]) {
    prompt += message.value("role", "") + ": " + message.value("content", "");
    prompt += '\n';
  }
  return prompt;
}

std::int64_t CountTokens(const std::string& prompt) {
  return static_cast<std::int64_t>((prompt.size() + 3) / 4);
}

}  // namespace bluebell::standins
