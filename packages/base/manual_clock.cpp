#include "base/manual_clock.h"

#include <algorithm>

namespace bluebell {

using due_key = std::pair<clock::time_point, std::uint64_t>;

struct manual_clock::schedule {
  clock::time_point now{std::chrono::hours(1)};
  std::uint64_t next_sequence = 0;
  std::map<due_key, std::function<void()>> pending;
};

namespace {

// Removes its entry from the schedule when destroyed. Holds the schedule
// weakly, because timers may outlive the clock at the end of a test.
class manual_timer final : public timer {
 public:
  manual_timer(std::weak_ptr<manual_clock::schedule> schedule, due_key key)
      : schedule_(std::move(schedule)), key_(key) {}
  ~manual_timer() override {
    if (auto schedule = schedule_.lock()) schedule->pending.erase(key_);
  }

 private:
  std::weak_ptr<manual_clock::schedule> schedule_;
  due_key key_;
};

}  // namespace

manual_clock::manual_clock() : schedule_(std::make_shared<schedule>()) {}
manual_clock::~manual_clock() = default;

clock::time_point manual_clock::now() const { return schedule_->now; }

clock::wall_time_point manual_clock::wall_now() const {
  return wall_time_point(std::chrono::duration_cast<wall_time_point::duration>(
      schedule_->now.time_since_epoch()));
}

timer_handle manual_clock::CallAfter(duration delay,
                                     std::function<void()> callback) {
  const due_key key{schedule_->now + std::max(delay, duration::zero()),
                    schedule_->next_sequence++};
  schedule_->pending.emplace(key, std::move(callback));
  return std::make_unique<manual_timer>(schedule_, key);
}

void manual_clock::Advance(duration step) {
  const time_point target = schedule_->now + step;
  auto& pending = schedule_->pending;
  while (!pending.empty() && pending.begin()->first.first <= target) {
    auto first = pending.begin();
    schedule_->now = std::max(schedule_->now, first->first.first);
    auto callback = std::move(first->second);
    pending.erase(first);
    callback();
  }
  schedule_->now = target;
}

void manual_clock::Jump(duration step) { schedule_->now += step; }

}  // namespace bluebell
