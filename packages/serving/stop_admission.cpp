#include "serving/stop_admission.h"

#include <algorithm>

namespace bluebell::serving {

void stop_admission::OnEnded(const std::string& route,
                             clock::duration first_answer, clock::duration rest,
                             std::optional<std::int64_t> output_tokens) {
  const auto now = clock_.now();
  auto& history = routes_[route];
  const auto age = now - history.window_begin;
  if (age >= kWindow) {
    history.previous = age < 2 * kWindow ? history.current : longest_times();
    history.current = {};
    history.window_begin = now;
  }
  auto& longest = history.current;
  longest.first_answer = std::max(longest.first_answer, first_answer);
  longest.rest = std::max(longest.rest, rest);
  if (output_tokens && *output_tokens > 0) {
    longest.rest_per_token =
        std::max(longest.rest_per_token, rest / *output_tokens);
  }
}

void stop_admission::Begin(clock::time_point process_end) {
  begun_ = clock_.now();
  process_end_ = process_end;
}

bool stop_admission::Accepts(const std::string& route,
                             clock::duration time_limit,
                             std::optional<std::int64_t> output_tokens) const {
  if (!begun_) return true;
  const auto now = clock_.now();
  if (now - *begun_ >= kAcceptPeriod) return false;
  const auto left = process_end_ - now;
  if (time_limit <= left) return true;
  if (now - *begun_ >= kUncertainPeriod) return false;
  const auto expected = ExpectedTime(route, output_tokens);
  return expected && kMargin * *expected <= left;
}

std::optional<clock::duration> stop_admission::ExpectedTime(
    const std::string& route, std::optional<std::int64_t> output_tokens) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  const auto& history = found->second;
  if (clock_.now() - history.window_begin >= 2 * kWindow) return std::nullopt;
  const auto& current = history.current;
  const auto& previous = history.previous;
  const auto first_answer =
      std::max(current.first_answer, previous.first_answer);
  if (!output_tokens) {
    return first_answer + std::max(current.rest, previous.rest);
  }
  return first_answer + *output_tokens * std::max(current.rest_per_token,
                                                  previous.rest_per_token);
}

}  // namespace bluebell::serving
