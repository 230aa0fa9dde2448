#include "routing/endpoint_poller.h"

#include <algorithm>

#include "base/digest.h"

namespace bluebell::routing {
namespace {

// Period of the check for added and removed endpoints.
constexpr auto kSynchroniseInterval = std::chrono::seconds(1);

// Fraction of the interval, in [0, 1), by which the first poll is delayed, so
// that polls are spread evenly over the interval.
double InitialDelayFraction(const endpoint_id& id) {
  return static_cast<double>(Hash64(id.value()) % 1000) / 1000.0;
}

}  // namespace

endpoint_poller::endpoint_poller(clock& source, endpoint_view& view,
                                 report_source& reports, poller_options options)
    : clock_(source),
      view_(view),
      reports_(reports),
      options_(options),
      self_(std::make_shared<endpoint_poller*>(this)) {}

endpoint_poller::~endpoint_poller() = default;

void endpoint_poller::Start() { Synchronise(); }

// Starts polling new endpoints and stops polling removed ones.
void endpoint_poller::Synchronise() {
  for (auto it = polls_.begin(); it != polls_.end();) {
    const auto* state = view_.Find(it->first);
    it = state != nullptr && state->configured ? std::next(it)
                                               : polls_.erase(it);
  }
  for (const auto& [id, state] : view_.endpoints()) {
    if (!state.configured || polls_.count(id) > 0) continue;
    const auto initial_delay = std::chrono::duration_cast<clock::duration>(
        options_.interval * InitialDelayFraction(id));
    polls_[id].next =
        clock_.CallAfter(initial_delay, [this, id = id] { Send(id); });
  }
  synchronise_ =
      clock_.CallAfter(kSynchroniseInterval, [this] { Synchronise(); });
}

void endpoint_poller::PollNow(const endpoint_id& id) {
  const auto found = polls_.find(id);
  if (found == polls_.end()) return;
  if (found->second.awaited_number != 0) {
    found->second.repeat_now = true;
    return;
  }
  found->second.next =
      clock_.CallAfter(clock::duration::zero(), [this, id] { Send(id); });
}

void endpoint_poller::Send(const endpoint_id& id) {
  const auto found = polls_.find(id);
  const auto* state = view_.Find(id);
  if (found == polls_.end() || state == nullptr) return;
  poll& current = found->second;
  const std::uint64_t poll_number = next_poll_number_++;
  const auto sent_at = clock_.now();
  current.awaited_number = poll_number;
  current.repeat_now = false;
  current.timeout =
      clock_.CallAfter(options_.timeout, [this, id, poll_number, sent_at] {
        Finish(id, poll_number, sent_at,
               Fail(error_code::kTimeout, "load report timed out"));
      });
  const config::endpoint_row row = state->row;
  view_.OnPollSent(id);
  reports_.Fetch(row, options_.timeout,
                 [self = std::weak_ptr<endpoint_poller*>(self_), id,
                  poll_number, sent_at](const result<endpoint_report>& answer) {
                   const auto poller = self.lock();
                   if (poller)
                     (*poller)->Finish(id, poll_number, sent_at, answer);
                 });
}

// Handles the answer or the timeout, whichever comes first, and ignores the
// other.
void endpoint_poller::Finish(const endpoint_id& id, std::uint64_t poll_number,
                             clock::time_point sent_at,
                             const result<endpoint_report>& answer) {
  const auto found = polls_.find(id);
  if (found == polls_.end() || found->second.awaited_number != poll_number)
    return;
  found->second.awaited_number = 0;
  const timer_handle timeout = std::move(found->second.timeout);
  if (answer) {
    view_.OnReport(id, *answer, sent_at);
  } else if (answer.error().code == error_code::kNotFound) {
    view_.OnAnswerWithoutReport(id, sent_at);
  } else {
    view_.OnPollFailed(id, answer.error().code);
  }
  const auto* state = view_.Find(id);
  const auto current = polls_.find(id);
  if (state == nullptr || current == polls_.end()) return;
  if (current->second.awaited_number != 0) return;
  const auto delay =
      current->second.repeat_now ? clock::duration::zero() : IntervalOf(*state);
  current->second.next = clock_.CallAfter(delay, [this, id] { Send(id); });
}

clock::duration endpoint_poller::IntervalOf(const endpoint_state& state) const {
  if (state.health.state() == health_state::kSuspect) {
    return options_.suspect_interval;
  }
  if (state.outstanding > 0 || state.health.state() != health_state::kHealthy) {
    return options_.interval;
  }
  const auto idle =
      std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(
          static_cast<double>(polls_.size()) / options_.idle_polls_per_second));
  return std::max(options_.interval, idle);
}

}  // namespace bluebell::routing
