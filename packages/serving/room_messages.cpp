#include "serving/room_messages.h"

#include "serving/cbor_message.h"

namespace bluebell::serving {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

std::string EncodeRoomRequest(const room_request& request) {
  return ToBytes(
      json::array({request.engine.value(), request.number, request.urgency,
                   std::chrono::floor<milliseconds>(request.wait).count()}));
}

result<room_request> DecodeRoomRequest(std::string_view bytes) {
  return Decoded(bytes, [](const json& in) {
    return room_request{endpoint_id(in.at(0).get<std::string>()),
                        {},
                        ReadInteger<std::uint64_t>(in.at(1)),
                        ReadInteger<int>(in.at(2)),
                        milliseconds(ReadInteger<std::int64_t>(in.at(3)))};
  });
}

std::string EncodeRoomResponse(const room_response& response) {
  return ToBytes(
      json::array({response.number, static_cast<int>(response.answer)}));
}

result<room_response> DecodeRoomResponse(std::string_view bytes) {
  return Decoded(bytes, [](const json& in) {
    const int answer = ReadInteger<int>(in.at(1));
    const bool known = answer == static_cast<int>(room_answer::kGranted) ||
                       answer == static_cast<int>(room_answer::kQueued);
    return room_response{
        ReadInteger<std::uint64_t>(in.at(0)),
        known ? static_cast<room_answer>(answer) : room_answer::kDenied};
  });
}

std::string EncodeRoomRelease(const room_release& release) {
  return ToBytes(json::array({release.engine.value(), release.number,
                              release.outcome.refused,
                              release.outcome.load.value_or(-1)}));
}

result<room_release> DecodeRoomRelease(std::string_view bytes) {
  return Decoded(bytes, [](const json& in) {
    room_release release{endpoint_id(in.at(0).get<std::string>()),
                         ReadInteger<std::uint64_t>(in.at(1)),
                         {in.at(2).get<bool>(), std::nullopt}};
    const int load = ReadInteger<int>(in.at(3));
    if (load >= 0) release.outcome.load = load;
    return release;
  });
}

}  // namespace bluebell::serving
