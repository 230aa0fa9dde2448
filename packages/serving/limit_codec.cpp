#include "serving/limit_codec.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::int64_t CeilMilliseconds(clock::duration span) {
  return std::chrono::ceil<milliseconds>(span).count();
}

}  // namespace

json EncodeLimit(const limit_notice& notice) {
  json row = json::array({notice.engine.value(), notice.started_ms,
                          notice.per_s, CeilMilliseconds(notice.named_age)});
  if (notice.free_age) row.push_back(CeilMilliseconds(*notice.free_age));
  return row;
}

limit_notice DecodeLimit(const json& row) {
  limit_notice notice{endpoint_id(row.at(0).get<std::string>()),
                      row.at(1).get<std::int64_t>(), row.at(2).get<double>(),
                      milliseconds(row.at(3).get<std::int64_t>()),
                      std::nullopt};
  if (row.size() > 4) {
    notice.free_age = milliseconds(row.at(4).get<std::int64_t>());
  }
  return notice;
}

}  // namespace bluebell::serving
