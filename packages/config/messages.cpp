#include "config/messages.h"

#include <utility>

namespace bluebell::config {
namespace {

using nlohmann::json;

json ToJson(const std::vector<stored_row>& rows) {
  json list = json::array();
  for (const auto& row : rows) {
    list.push_back({{"name", row.name},
                    {"version", row.version.value()},
                    {"value", row.value}});
  }
  return list;
}

std::vector<stored_row> ParseRows(const json& list) {
  std::vector<stored_row> rows;
  for (const auto& item : list) {
    rows.push_back({item.at("name").get<std::string>(),
                    revision(item.at("version").get<std::uint64_t>()),
                    item.at("value")});
  }
  return rows;
}

// Converts the JSON library's exceptions for missing or mistyped fields into an
// error.
template <class Message, class Parse>
result<Message> CatchJsonErrors(Parse parse) {
  try {
    return parse();
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

}  // namespace

json ToJson(const config_since& message) {
  return {{"revision", message.after.value()}};
}

json ToJson(const config_page& message) {
  return {{"rows", ToJson(message.rows)},
          {"through", message.through.value()},
          {"complete", message.complete},
          {"more", message.more}};
}

json ToJson(const config_announce& message) {
  return {{"rows", ToJson(message.rows)}};
}

json ToJson(const config_applied& message) {
  return {{"applied", message.applied}};
}

result<config_since> ParseConfigSince(const json& body) {
  return CatchJsonErrors<config_since>([&] {
    return config_since{revision(body.at("revision").get<std::uint64_t>())};
  });
}

result<config_page> ParseConfigPage(const json& body) {
  return CatchJsonErrors<config_page>([&] {
    config_page page;
    page.rows = ParseRows(body.at("rows"));
    page.through = revision(body.at("through").get<std::uint64_t>());
    page.complete = body.at("complete").get<bool>();
    page.more = body.at("more").get<bool>();
    return page;
  });
}

result<config_announce> ParseConfigAnnounce(const json& body) {
  return CatchJsonErrors<config_announce>(
      [&] { return config_announce{ParseRows(body.at("rows"))}; });
}

result<config_applied> ParseConfigApplied(const json& body) {
  return CatchJsonErrors<config_applied>(
      [&] { return config_applied{body.at("applied").get<bool>()}; });
}

}  // namespace bluebell::config
