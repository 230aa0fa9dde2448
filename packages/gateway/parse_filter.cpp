#include "gateway/parse_filter.h"

#include "base/digest.h"
#include "base/nested_json.h"

namespace bluebell::gateway {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::int64_t kMaxTokensLimit = 1'000'000;
/// Length of the prompt prefix that is hashed for prefix-cache affinity.
constexpr std::size_t kPrefixBytes = 256;

bool IsJson(const std::string& content_type) {
  const std::string type = content_type.substr(0, content_type.find(';'));
  return EqualsIgnoringCase(type.substr(0, type.find_last_not_of(' ') + 1),
                            "application/json");
}

// Returns the prompt as one string, or nothing if it is malformed.
std::optional<std::string> PromptText(const exchange& current) {
  if (current.kind == request_kind::kCompletion) {
    const auto prompt = current.body.find("prompt");
    if (prompt == current.body.end() || !prompt->is_string())
      return std::nullopt;
    return prompt->get<std::string>();
  }
  const auto messages = current.body.find("messages");
  if (messages == current.body.end() || !messages->is_array() ||
      messages->empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message.contains("content")) {
      return std::nullopt;
    }
    text += message["role"].dump() + message["content"].dump();
  }
  return text;
}

std::string Digest(const exchange& current) {
  const http_request& request = current.request;
  return Sha256Hex(request.method + "\n" + request.path + "?" + request.query +
                   "\n" + request.body);
}

}  // namespace

token_count EstimatePromptTokens(std::size_t bytes) {
  return token_count(
      static_cast<std::int64_t>((bytes + kBytesPerToken - 1) / kBytesPerToken));
}

void parse_filter::Process(exchange& current, next_filter& next,
                           boost::asio::yield_context yield) {
  const bool valid = current.kind == request_kind::kService
                         ? ParseService(current)
                         : ParseCompletion(current);
  if (!valid) return;
  current.digest = Digest(current);
  next.Process(current, yield);
}

bool parse_filter::ParseService(exchange& current) const {
  current.max_tokens = token_count(kServiceCallTokens);
  if (current.repeatable) return true;
  const std::string key = current.request.fields.Find("Idempotency-Key");
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes ||
      current.request.fields.Count("Idempotency-Key") != 1) {
    current.Refuse(problem_code::kIdempotencyKeyMissing,
                   "send one Idempotency-Key of 1 to 255 bytes");
    return false;
  }
  if (!current.account) {
    current.Refuse(problem_code::kKeyMissing,
                   "a call that may not be repeated needs a client account");
    return false;
  }
  return true;
}

bool parse_filter::ParseCompletion(exchange& current) const {
  if (!IsJson(current.request.fields.Find("Content-Type"))) {
    current.Refuse(problem_code::kUnsupportedMediaType,
                   "send Content-Type: application/json");
    return false;
  }
  current.body = ParseJson(current.request.body);
  if (!current.body.is_object()) {
    current.Refuse(problem_code::kMalformedRequest,
                   "the body is not a JSON object");
    return false;
  }
  const auto model = current.body.find("model");
  if (model == current.body.end() || !model->is_string()) {
    current.Refuse(problem_code::kMalformedRequest, "\"model\" must be a text");
    return false;
  }
  current.target = model->get<std::string>();
  if (rows_.FindModel(model_id(current.target)) == nullptr &&
      rows_.FindAdapter(adapter_id(current.target)) == nullptr) {
    current.Refuse(problem_code::kUnknownModel,
                   "no model or adapter is named " + current.target);
    return false;
  }
  const auto prompt = PromptText(current);
  if (!prompt) {
    current.Refuse(problem_code::kMalformedRequest,
                   current.kind == request_kind::kCompletion
                       ? "\"prompt\" must be a text"
                       : "\"messages\" must be a list of messages with role "
                         "and content");
    return false;
  }
  const nlohmann::json max_tokens =
      current.body.value("max_tokens", nlohmann::json(kDefaultMaxTokens));
  if (!max_tokens.is_number_integer() || max_tokens.get<std::int64_t>() < 1 ||
      max_tokens.get<std::int64_t>() > kMaxTokensLimit) {
    current.Refuse(problem_code::kMalformedRequest,
                   "\"max_tokens\" must be an integer from 1 to 1000000");
    return false;
  }
  const nlohmann::json stream =
      current.body.value("stream", nlohmann::json(false));
  if (!stream.is_boolean()) {
    current.Refuse(problem_code::kMalformedRequest,
                   "\"stream\" must be true or false");
    return false;
  }
  current.max_tokens = token_count(max_tokens.get<std::int64_t>());
  current.stream = stream.get<bool>();
  current.prompt_tokens = EstimatePromptTokens(prompt->size());
  current.prefix_hash = Hash64(prompt->substr(0, kPrefixBytes));
  return true;
}

}  // namespace bluebell::gateway
