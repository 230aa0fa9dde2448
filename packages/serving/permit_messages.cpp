#include "serving/permit_messages.h"

#include "serving/cbor_message.h"
#include "serving/limit_codec.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

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
  return Decoded(bytes, [](const json& in) {
    return permit_request{ReadInteger<std::uint64_t>(in.at(0)),
                          DecodeLimit(in.at(1))};
  });
}

result<permit_response> DecodePermitResponse(std::string_view bytes) {
  return Decoded(bytes, [](const json& in) {
    return permit_response{ReadInteger<std::uint64_t>(in.at(0)),
                           {in.at(1).get<bool>(),
                            milliseconds(ReadInteger<std::int64_t>(in.at(2)))}};
  });
}

}  // namespace bluebell::serving
