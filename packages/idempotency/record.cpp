#include "idempotency/record.h"

#include <openssl/evp.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/digest.h"
#include "base/json_guard.h"

namespace bluebell::idempotency {
namespace {

using nlohmann::json;

std::string EncodeBase64(const std::string& data) {
  std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

// Throws `std::invalid_argument` if `text` is not base64.
std::string DecodeBase64(const std::string& text) {
  std::string data(text.size() / 4 * 3 + 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) throw std::invalid_argument("body is not base64");
  // EVP_DecodeBlock counts padding characters as zero bytes.
  const auto padding = std::count(
      text.end() - std::min<std::ptrdiff_t>(2, text.size()), text.end(), '=');
  data.resize(static_cast<std::size_t>(size - padding));
  return data;
}

const char* ToString(record_state state) {
  switch (state) {
    case record_state::kPending:
      return "pending";
    case record_state::kNotRun:
      return "not_run";
    case record_state::kCompleted:
      return "completed";
  }
  return "pending";
}

record_state ParseState(const std::string& text) {
  if (text == "pending") return record_state::kPending;
  if (text == "not_run") return record_state::kNotRun;
  if (text == "completed") return record_state::kCompleted;
  throw std::invalid_argument("unknown state " + text);
}

// Header values may hold any byte; JSON text must be valid UTF-8.
std::string StripUnprintable(std::string text) {
  const auto printable = [](char c) { return c >= 0x20 && c < 0x7f; };
  text.erase(std::remove_if(text.begin(), text.end(),
                            [&](char c) { return !printable(c); }),
             text.end());
  return text;
}

json ToJson(const recorded_response& response) {
  return {{"http_status", response.http_status},
          {"content_type", StripUnprintable(response.content_type)},
          {"body_base64", EncodeBase64(response.body)},
          {"body_omitted", response.body_omitted}};
}

recorded_response ParseResponse(const json& value) {
  recorded_response response;
  response.http_status = value.at("http_status").get<int>();
  response.content_type = value.at("content_type").get<std::string>();
  response.body = DecodeBase64(value.at("body_base64").get<std::string>());
  response.body_omitted = value.at("body_omitted").get<bool>();
  return response;
}

}  // namespace

json ToJson(const record& value) {
  json encoded = {{"digest", value.digest},
                  {"host", value.host.value()},
                  {"incarnation", value.incarnation.value()},
                  {"attempt", value.attempt},
                  {"state", ToString(value.state)},
                  {"stored_at_ms", value.stored_at_ms}};
  if (value.response) encoded["answer"] = ToJson(*value.response);
  return encoded;
}

result<record> ParseRecord(const json& value) {
  return GuardParse("idempotency record", [&] {
    record parsed;
    parsed.digest = value.at("digest").get<std::string>();
    parsed.host = host_id(value.at("host").get<std::string>());
    parsed.incarnation =
        incarnation_id(value.at("incarnation").get<std::string>());
    parsed.attempt = value.at("attempt").get<std::string>();
    parsed.state = ParseState(value.at("state").get<std::string>());
    parsed.stored_at_ms = value.at("stored_at_ms").get<std::int64_t>();
    if (value.contains("answer")) {
      parsed.response = ParseResponse(value.at("answer"));
    }
    return parsed;
  });
}

std::string RecordName(const account_id& account, const std::string& key) {
  return "idempotency/" + account.value() + "/" + Sha256Hex(key);
}

json ToJson(const record_query& value) {
  return {{"incarnation", value.incarnation.value()},
          {"attempt", value.attempt},
          {"record", value.record_name}};
}

result<record_query> ParseRecordQuery(const json& value) {
  return GuardParse(record_query::kType, [&] {
    return record_query{
        incarnation_id(value.at("incarnation").get<std::string>()),
        value.at("attempt").get<std::string>(),
        value.value("record", std::string())};
  });
}

json ToJson(const record_query_response& value) {
  return {{"never_dispatched", value.never_dispatched},
          {"outcome_pending", value.outcome_pending}};
}

result<record_query_response> ParseRecordQueryResponse(const json& value) {
  return GuardParse(record_query::kType, [&] {
    return record_query_response{value.at("never_dispatched").get<bool>(),
                                 value.value("outcome_pending", false)};
  });
}

}  // namespace bluebell::idempotency
