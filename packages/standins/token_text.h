#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace bluebell::standins {

/// Text of the generated token `index`. It names its index and depends on
/// model and prompt, so that a test finds lost, doubled or foreign tokens.
std::string TokenText(const std::string& model, const std::string& prompt,
                      std::int64_t index);

/// Text of the tokens from `first` up to but not including `last`.
std::string GeneratedText(const std::string& model, const std::string& prompt,
                          std::int64_t first, std::int64_t last);

/// The prompt of a completion, or the joined messages of a chat completion.
std::string PromptOf(const nlohmann::json& body);

/// Number of tokens of a prompt: one per four bytes, rounded up.
std::int64_t CountTokens(const std::string& prompt);

}  // namespace bluebell::standins
