#include "edge/room_exchange.h"

#include <algorithm>

#include "edge/pause.h"
#include "serving/room_messages.h"

namespace bluebell::edge {
namespace {

// An owner answers within a round trip of a few milliseconds.
constexpr milliseconds kAnswerTimeout{100};
// A lost datagram is sent again; the owner answers a repeated request alike.
constexpr milliseconds kResendInterval{35};
// Another host replaces an owner that is silent for this long.
constexpr milliseconds kSilence{1000};
constexpr milliseconds kIdleInterval{200};
constexpr milliseconds kQueueInterval{20};

}  // namespace

std::unique_ptr<room_lease> room_exchange::Take(
    const endpoint_id& engine, int urgency, clock::duration wait,
    boost::asio::yield_context yield) {
  const auto* peer =
      host_.directory.RoomOwner(serving::EngineHash(engine), host_.Serving());
  const auto owner = peer == nullptr ? std::string() : peer->digest_address;
  const auto now = host_.time.now();
  if (now < silent_until_[owner]) return nullptr;
  const auto number = ++number_;
  const serving::room_request request{engine, {}, number, urgency, wait};
  auto& answer = waiting_[number];
  if (owner.empty()) {
    answer = AskOwn(request);
  } else {
    send_request(owner, serving::EncodeRoomRequest(request));
  }
  auto send_again_at = now + kResendInterval;
  const auto is_open = [&answer] {
    return !answer || *answer == serving::room_answer::kQueued;
  };
  while (is_open()) {
    const auto until = now + (answer ? wait : clock::duration(0)) +
                       clock::duration(kAnswerTimeout);
    const auto at = host_.time.now();
    if (at >= until) break;
    if (!answer && at >= send_again_at) {
      send_request(owner, serving::EncodeRoomRequest(request));
      send_again_at = at + kResendInterval;
    }
    const auto wake_at = answer ? until : std::min(until, send_again_at);
    host_.changed.Wait(wake_at - at, yield);
  }
  const auto last = answer;
  waiting_.erase(number);
  if (last == serving::room_answer::kDenied) return nullptr;
  auto lease = std::make_unique<room_lease>(
      [this, owner, engine, number](const auto& outcome) {
        Release(owner, engine, number, outcome);
      });
  if (last == serving::room_answer::kGranted) return lease;
  if (!last) {
    silent_until_[owner] = host_.time.now() + kSilence;
    host_.log.Write("room_unanswered",
                    {{"engine", engine.value()}, {"owner", owner}});
  }
  return nullptr;
}

serving::engine_room room_exchange::RoomOf(const endpoint_id& engine) const {
  serving::engine_room room;
  const auto* found = host_.fleet.Find(engine);
  if (found == nullptr) return room;
  room.slots = std::max(1, found->record.slots);
  room.refusals_per_s =
      host_.brittle.Refusals(found->record.service).value_or(0);
  room.in_flight = found->InFlight();
  for (const auto& [id, count] : found->others_in_flight) {
    if (!host_.directory.SharesRoom(id)) room.others += count;
  }
  room.service_time = std::chrono::duration_cast<clock::duration>(
      std::chrono::duration<double>(found->service_time_s));
  return room;
}

serving::room_answer room_exchange::AskOwn(
    const serving::room_request& request) {
  return ledger_.Ask(request, RoomOf(request.engine));
}

void room_exchange::Release(const std::string& owner, const endpoint_id& engine,
                            std::uint64_t number,
                            const serving::room_outcome& outcome) {
  if (!owner.empty()) {
    send_release(owner, serving::EncodeRoomRelease({engine, number, outcome}));
    return;
  }
  ledger_.Release(engine, owner, number, outcome);
  AnswerDecided();
}

void room_exchange::Run(boost::asio::yield_context yield) {
  while (true) {
    Pause(host_.io, ledger_.HasQueue() ? kQueueInterval : kIdleInterval, yield);
    AnswerDecided();
  }
}

void room_exchange::AnswerDecided() {
  for (const auto& [request, answer] : ledger_.TakeDecided()) {
    if (!request.holder.empty()) {
      send_response(request.holder,
                    serving::EncodeRoomResponse({request.number, answer}));
      continue;
    }
    const auto waiting = waiting_.find(request.number);
    if (waiting != waiting_.end()) waiting->second = answer;
    host_.changed.Notify();
  }
}

void room_exchange::HandleRequest(std::string_view bytes,
                                  const std::string& from) {
  auto request = serving::DecodeRoomRequest(bytes);
  if (!request) {
    host_.log.Write("question_unreadable",
                    {{"detail", request.error().detail}});
    return;
  }
  request->holder = from;
  send_response(
      from, serving::EncodeRoomResponse({request->number, AskOwn(*request)}));
}

void room_exchange::HandleResponse(std::string_view bytes) {
  const auto response = serving::DecodeRoomResponse(bytes);
  if (!response) {
    host_.log.Write("answer_unreadable", {{"detail", response.error().detail}});
    return;
  }
  const auto waiting = waiting_.find(response->number);
  if (waiting == waiting_.end()) return;
  // Datagrams may overtake each other.
  if (waiting->second == serving::room_answer::kGranted) return;
  waiting->second = response->answer;
  host_.changed.Notify();
}

void room_exchange::HandleRelease(std::string_view bytes,
                                  const std::string& from) {
  const auto release = serving::DecodeRoomRelease(bytes);
  if (!release) {
    host_.log.Write("question_unreadable",
                    {{"detail", release.error().detail}});
    return;
  }
  ledger_.Release(release->engine, from, release->number, release->outcome);
  AnswerDecided();
}

}  // namespace bluebell::edge
