#include "serving/limit_codec.h"

#include "serving/cbor_message.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::int64_t CeilMilliseconds(clock::duration span) {
  return std::chrono::ceil<milliseconds>(span).count();
}

// Age of a report that does not exist, for builds that expect one. Of two such
// ages the limit's is the larger, so that these builds take it for ended.
constexpr milliseconds kNever = std::chrono::hours(24 * 100);

json EncodeCold(const cold_notice& cold) {
  return json::array({cold.per_s, CeilMilliseconds(cold.remaining),
                      CeilMilliseconds(cold.age)});
}

cold_notice DecodeCold(const json& row) {
  return {row.at(0).get<double>(),
          milliseconds(ReadInteger<std::int64_t>(row.at(1))),
          milliseconds(ReadInteger<std::int64_t>(row.at(2)))};
}

}  // namespace

json EncodeLimit(const limit_notice& notice) {
  json row =
      json::array({notice.engine.value(), notice.started_ms, notice.per_s,
                   CeilMilliseconds(notice.named_age.value_or(kNever))});
  if (notice.free_age) {
    row.push_back(CeilMilliseconds(*notice.free_age));
  } else if (notice.cold) {
    row.push_back((kNever - milliseconds(1)).count());
  }
  if (notice.cold) row.push_back(EncodeCold(*notice.cold));
  return row;
}

limit_notice DecodeLimit(const json& row) {
  limit_notice notice{endpoint_id(row.at(0).get<std::string>()),
                      ReadInteger<std::int64_t>(row.at(1)),
                      row.at(2).get<double>(),
                      milliseconds(ReadInteger<std::int64_t>(row.at(3))),
                      {},
                      {}};
  if (notice.named_age >= kNever) notice.named_age.reset();
  if (row.size() > 4) {
    const milliseconds age(ReadInteger<std::int64_t>(row.at(4)));
    if (age < kNever - milliseconds(1)) notice.free_age = age;
  }
  if (row.size() > 5) notice.cold = DecodeCold(row.at(5));
  return notice;
}

}  // namespace bluebell::serving
