#include "serving/stop_admission.h"

#include <algorithm>

namespace bluebell::serving {
namespace {

// The tokens that a caller stated, if they can be used as a measure.
std::optional<double> Size(std::optional<std::int64_t> output_tokens) {
  if (!output_tokens || *output_tokens <= 0) return std::nullopt;
  return static_cast<double>(*output_tokens);
}

}  // namespace

void stop_admission::OnCompleted(const std::string& route,
                                 const completed_request& request) {
  const auto now = clock_.now();
  auto& history = routes_[route];
  auto& samples = history.samples;
  if (samples.empty() || now - samples.back().at > kMaxSampleAge) {
    samples.clear();
    history.since = now;
  }
  samples.push_back({now, request});
  if (samples.size() > kMaxSamples) samples.pop_front();
}

void stop_admission::Begin(clock::time_point process_end) {
  begun_ = clock_.now();
  process_end_ = process_end;
}

bool stop_admission::Accepts(const std::string& route,
                             clock::duration time_limit,
                             std::optional<std::int64_t> output_tokens,
                             clock::duration longest_open) const {
  if (!begun_) return true;
  const auto now = clock_.now();
  if (now - *begun_ >= kAcceptPeriod) return false;
  const auto left = process_end_ - now;
  if (time_limit <= left) return true;
  if (now - *begun_ >= kUncertainPeriod) return false;
  const auto expected = ExpectedTime(route, output_tokens);
  return expected && kMargin * std::max(*expected, longest_open) <= left;
}

std::optional<clock::duration> stop_admission::ExpectedTime(
    const std::string& route, std::optional<std::int64_t> output_tokens) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  const auto now = clock_.now();
  if (now - found->second.since < kMinHistory) return std::nullopt;
  const auto size = Size(output_tokens);
  clock::duration longest{0};
  int comparable = 0;
  for (const auto& [at, request] : found->second.samples) {
    if (now - at > kMaxSampleAge) continue;
    const auto other = Size(request.output_tokens);
    // Scaling up a much smaller request would also scale its delays.
    const double scale = size && other ? *size / *other : 1;
    if (scale > 2) continue;
    ++comparable;
    longest = std::max(longest, request.first_answer +
                                    std::chrono::duration_cast<clock::duration>(
                                        scale * request.rest));
  }
  if (comparable < kMinSamples) return std::nullopt;
  return longest;
}

}  // namespace bluebell::serving
