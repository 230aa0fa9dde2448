#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "serving/room_ledger.h"

namespace bluebell::serving {

/// A request for room is answered by its number; `request.holder` is not sent.
std::string EncodeRoomRequest(const room_request& request);
/// Errors `kInvalidArgument`.
result<room_request> DecodeRoomRequest(std::string_view bytes);

/// The answer to a request for room.
struct room_response {
  std::uint64_t number = 0;
  room_answer answer = room_answer::kDenied;
};

std::string EncodeRoomResponse(const room_response& response);
/// Errors `kInvalidArgument`.
result<room_response> DecodeRoomResponse(std::string_view bytes);

/// Gives back the room of a request, or what it waits for.
struct room_release {
  endpoint_id engine;
  std::uint64_t number = 0;
  room_outcome outcome;
};

std::string EncodeRoomRelease(const room_release& release);
/// Errors `kInvalidArgument`.
result<room_release> DecodeRoomRelease(std::string_view bytes);

}  // namespace bluebell::serving
