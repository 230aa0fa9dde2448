#include "serving/permit_messages.h"

#include <nlohmann/json.hpp>

#include "serving/limit_codec.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string ToBytes(const json& message) {
  const auto bytes = json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

std::string EncodePermitRequest(const permit_request& request) {
  return ToBytes(json::array({request.number, EncodeLimit(request.limit)}));
}

std::string EncodePermitResponse(const permit_response& response) {
  return ToBytes(json::array(
      {response.number, response.permit.granted,
       std::chrono::ceil<milliseconds>(response.permit.wait).count()}));
}

result<permit_request> DecodePermitRequest(std::string_view bytes) {
  try {
    const json in = json::from_cbor(bytes.begin(), bytes.end());
    return permit_request{in.at(0).get<std::uint64_t>(), DecodeLimit(in.at(1))};
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

result<permit_response> DecodePermitResponse(std::string_view bytes) {
  try {
    const json in = json::from_cbor(bytes.begin(), bytes.end());
    return permit_response{
        in.at(0).get<std::uint64_t>(),
        {in.at(1).get<bool>(), milliseconds(in.at(2).get<std::int64_t>())}};
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalidArgument, failure.what());
  }
}

}  // namespace bluebell::serving
