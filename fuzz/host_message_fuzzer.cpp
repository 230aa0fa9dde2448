#include <cstddef>
#include <cstdint>
#include <string_view>

#include "serving/host_digest.h"
#include "serving/permit_messages.h"
#include "serving/room_messages.h"
#include "serving/start_messages.h"
#include "serving/sync_messages.h"

namespace serving = bluebell::serving;

// Datagrams of other hosts: the first byte chooses the kind of the message.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  switch (data[0]) {
    case 'D':
      if (const auto digest = serving::DecodeDigest(bytes))
        serving::EncodeDigest(*digest);
      break;
    case 'Q':
      serving::DecodeSyncRequest(bytes);
      break;
    case 'A':
      if (const auto answer = serving::DecodeSyncResponse(bytes)) {
        serving::EncodeSyncResponse(*answer);
      }
      break;
    case 'P':
      serving::DecodePermitRequest(bytes);
      break;
    case 'G':
      serving::DecodePermitResponse(bytes);
      break;
    case 'S':
      if (const auto starts = serving::DecodeStartReport(bytes)) {
        serving::EncodeStartReport(*starts);
      }
      break;
    case 'W':
      serving::DecodeStartQuery(bytes);
      break;
    case 'R':
      serving::DecodeRoomRequest(bytes);
      break;
    case 'O':
      serving::DecodeRoomResponse(bytes);
      break;
    case 'E':
      serving::DecodeRoomRelease(bytes);
      break;
  }
  return 0;
}
