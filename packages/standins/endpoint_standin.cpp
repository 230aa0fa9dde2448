#include "standins/endpoint_standin.h"

#include <utility>

namespace bluebell::standins {

using nlohmann::json;

void endpoint_standin::Later(clock::duration delay,
                             std::function<void()> action) {
  if (delay <= clock::duration::zero()) return action();
  const auto id = next_timer_++;
  timers_[id] = time_.CallAfter(delay, [this, id, action = std::move(action)] {
    const auto own = timers_.extract(id);
    action();
  });
}

void endpoint_standin::Handle(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  if (request.path.rfind("/admin/", 0) == 0) return AnswerAdmin(exchange);
  Record(request);
  if (faults_.freeze) return exchange->Freeze();
  const bool work = IsWork(request);
  if (work && TakeOne(faults_.drop_requests)) return exchange->Close();
  Later(faults_.delay, [this, exchange, work] {
    work ? RunWork(exchange) : HandleOther(exchange);
  });
}

void endpoint_standin::AnswerAdmin(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  const std::string call = request.method + " " + request.path;
  if (call == "POST /admin/faults") {
    const json fields = json::parse(request.body, nullptr, false);
    const auto applied = ApplyFaults(fields, exchange.get());
    return exchange->Send(
        applied ? JsonResponse(200, json::object())
                : ErrorResponse(400, "invalid_fault", applied.error().detail));
  }
  if (call == "GET /admin/requests") {
    return exchange->Send(JsonResponse(200, Requests()));
  }
  if (call == "GET /admin/counters") {
    return exchange->Send(JsonResponse(200, Counters()));
  }
  if (!HandleAdmin(exchange)) {
    exchange->Send(ErrorResponse(404, "unknown_route", call));
  }
}

result<void> endpoint_standin::ApplyFaults(const json& fields,
                                           const http_exchange* spared) {
  bool freeze_connections = false;
  const bool frozen_before = faults_.freeze;
  auto readers = FaultReaders();
  readers.insert({
      {"drop_requests", Count(faults_.drop_requests)},
      {"lose_answers", Count(faults_.lose_answers)},
      {"truncate_answers", Count(faults_.truncate_answers)},
      {"duplicate_answers", Count(faults_.duplicate_answers)},
      {"cross_answers", Count(faults_.cross_answers)},
      {"delay_ms", Duration(faults_.delay)},
      {"freeze", Flag(faults_.freeze)},
      {"freeze_connections", Flag(freeze_connections)},
      {"crash_on", Text(faults_.crash_on)},
      {"leaving", Flag(faults_.leaving)},
  });
  auto applied = ReadFields(fields, readers);
  if (!applied) return applied;
  if (faults_.freeze && !frozen_before) freeze_connections = true;
  if (freeze_connections && on_freeze_) on_freeze_(spared);
  return {};
}

json endpoint_standin::Requests() const {
  return {{"requests", requests_}, {"dropped", dropped_}};
}

void endpoint_standin::Record(const http_request& request) {
  requests_.push_back({{"method", request.method},
                       {"target", request.target},
                       {"headers", request.headers},
                       {"body", request.body.substr(0, kMaxRecordedBody)}});
  if (requests_.size() <= kMaxRecorded) return;
  requests_.pop_front();
  ++dropped_;
}

void endpoint_standin::RunWork(const exchange_ptr& exchange) {
  const auto& marker = faults_.crash_on;
  if (!marker.empty() &&
      exchange->request().body.find(marker) != std::string::npos) {
    if (on_crash_) on_crash_();
    return exchange->Close();
  }
  if (TakeOne(faults_.lose_answers)) {
    exchange->set_fault(answer_fault::kLose);
  } else if (TakeOne(faults_.truncate_answers)) {
    exchange->set_fault(answer_fault::kTruncate);
  } else if (TakeOne(faults_.duplicate_answers)) {
    exchange->set_fault(answer_fault::kDuplicate);
  }
  if (faults_.cross_answers > 0) return Cross(exchange);
  HandleWork(exchange);
}

// Holds the first request of a pair; with the second one, exchanges the two
// requests, so that each connection carries the other request's answer.
void endpoint_standin::Cross(const exchange_ptr& exchange) {
  if (!parked_) {
    parked_ = exchange;
    parked_expiry_ = time_.CallAfter(kCrossWait, [this] {
      const auto alone = std::exchange(parked_, nullptr);
      HandleWork(alone);
    });
    return;
  }
  const auto first = std::exchange(parked_, nullptr);
  parked_expiry_.reset();
  --faults_.cross_answers;
  std::swap(first->request(), exchange->request());
  HandleWork(first);
  HandleWork(exchange);
}

}  // namespace bluebell::standins
