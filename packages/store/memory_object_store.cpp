#include "store/memory_object_store.h"

#include <list>
#include <map>
#include <utility>

namespace bluebell::store {
namespace {

using count_field = std::int64_t call_counts::*;

bool HasPrefix(const std::string& name, const std::string& prefix) {
  return name.compare(0, prefix.size(), prefix) == 0;
}

// Takes one from the platform's counter or else from the client's.
bool TakeFault(int memory_faults::*field, memory_faults& shared,
               memory_faults& own) {
  for (memory_faults* faults : {&shared, &own}) {
    if (faults->*field <= 0) continue;
    --(faults->*field);
    return true;
  }
  return false;
}

tl::unexpected<write_error> FailWrite(error_code code, std::string detail) {
  return tl::unexpected<write_error>(
      write_error{error{code, std::move(detail)}, std::nullopt});
}

// Failure of a call that certainly had no effect.
template <class T>
result<T> NotSent(const result<T>*) {
  return Fail(error_code::kUnavailable, "platform not reachable");
}
write_result NotSent(const write_result*) {
  return FailWrite(error_code::kUnavailable, "platform not reachable");
}

// Failure of a call whose request was sent and whose answer is missing.
template <class T>
result<T> NoAnswer(const result<T>*) {
  return Fail(error_code::kUnavailable, "no answer from the platform");
}
write_result NoAnswer(const write_result*) {
  return FailWrite(error_code::kOutcomeUnknown, "no answer from the platform");
}

// A call that waits for its answer.
template <class Result>
struct open_call {
  std::function<void(Result)> done;
  timer_handle deadline;
};

// A watch that is held until an object under its prefix changes.
struct waiter {
  std::string prefix;
  revision after;
  std::function<void(object_list)> answer;
  timer_handle expiry;
};

}  // namespace

struct memory_platform::contents
    : std::enable_shared_from_this<memory_platform::contents> {
  contents(clock& clock, clock::duration initial_latency)
      : time(clock), latency(initial_latency) {}

  // Calls `action` later, unless the platform is destroyed before.
  void Later(clock::duration delay, std::function<void()> action) {
    const std::uint64_t id = next_timer++;
    timers[id] =
        time.CallAfter(delay, [this, id, action = std::move(action)]() {
          const auto keep = shared_from_this();
          const auto own = timers.extract(id);
          action();
        });
  }

  std::optional<object> Find(const std::string& name) const {
    const auto found = objects.find(name);
    if (found == objects.end()) return std::nullopt;
    return found->second;
  }

  object_list Changed(const std::string& prefix, revision after) const {
    object_list list;
    list.as_of = last;
    for (auto at = objects.lower_bound(prefix);
         at != objects.end() && HasPrefix(at->first, prefix); ++at) {
      if (at->second.version > after) list.items.push_back(at->second);
    }
    return list;
  }

  revision Write(const std::string& name, nlohmann::json value) {
    last += revision(1);
    objects[name] = object{name, last, std::move(value)};
    WakeWatches(name);
    return last;
  }

  // Answers and removes the watches that cover `name`.
  void WakeWatches(const std::string& name) {
    for (auto at = waiters.begin(); at != waiters.end();) {
      if (!HasPrefix(name, at->prefix)) {
        ++at;
        continue;
      }
      at->answer(Changed(at->prefix, at->after));
      at = waiters.erase(at);
    }
  }

  write_result PutIf(const std::string& name, nlohmann::json value,
                     std::optional<revision> expected) {
    if (value.dump().size() > object_store::kMaxValueBytes) {
      return FailWrite(error_code::kTooLarge, "value above 1 MB");
    }
    if (auto conflict = Check(name, expected)) return std::move(*conflict);
    return Write(name, std::move(value));
  }

  write_result RemoveIf(const std::string& name, revision expected) {
    if (auto conflict = Check(name, expected)) return std::move(*conflict);
    if (objects.erase(name) == 0) {
      return tl::unexpected<write_error>(write_error{
          error{error_code::kConflict, "no such object"}, write_conflict{}});
    }
    last += revision(1);
    return last;
  }

  // Returns the conflict, if the object's version is not the expected one.
  std::optional<tl::unexpected<write_error>> Check(
      const std::string& name, std::optional<revision> expected) const {
    const auto current = Find(name);
    const revision version = current ? current->version : revision(0);
    if (!expected || version == *expected) return std::nullopt;
    return tl::unexpected<write_error>(
        write_error{error{error_code::kConflict, "version differs"},
                    write_conflict{current}});
  }

  clock& time;
  clock::duration latency;
  memory_faults faults;
  call_counts counts;
  std::vector<listed_host> hosts;
  std::map<std::string, object> objects;
  revision last{0};
  std::list<waiter> waiters;
  std::uint64_t next_timer = 0;
  std::map<std::uint64_t, timer_handle> timers;
};

struct memory_object_store::client
    : std::enable_shared_from_this<memory_object_store::client> {
  client(std::shared_ptr<memory_platform::contents> shared,
         clock::duration limit)
      : platform(std::move(shared)), call_limit(limit) {}

  bool Reachable() const { return !faults.outage && !platform->faults.outage; }

  // Registers a call and the time limit at which it ends without an answer.
  template <class Result>
  std::uint64_t Open(std::function<void(Result)> done, clock::duration limit) {
    const std::uint64_t id = next_call++;
    auto call = std::make_shared<open_call<Result>>();
    call->done = std::move(done);
    call->deadline = platform->time.CallAfter(limit, [this, id] {
      Close<Result>(id, NoAnswer(static_cast<const Result*>(nullptr)));
    });
    calls.emplace(id, std::move(call));
    return id;
  }

  // Ends a call once; later answers to it are dropped.
  template <class Result>
  void Close(std::uint64_t id, Result outcome) {
    const auto node = calls.extract(id);
    if (node.empty()) return;
    const auto call =
        std::static_pointer_cast<open_call<Result>>(node.mapped());
    call->deadline.reset();
    call->done(std::move(outcome));
  }

  // Delivers an answer after the given time, if the client still exists and
  // the answer gets through.
  template <class Result>
  void Answer(std::uint64_t id, clock::duration after, Result outcome) {
    platform->Later(after, [self = weak_from_this(), id,
                            outcome = std::move(outcome)]() mutable {
      const auto alive = self.lock();
      if (alive && alive->Reachable()) {
        alive->Close<Result>(id, std::move(outcome));
      }
    });
  }

  // Counts the call and reports whether it leaves this client at all.
  template <class Result>
  bool Depart(std::uint64_t id, count_field field) {
    ++(counts.*field);
    const bool dropped =
        TakeFault(&memory_faults::drop_requests, platform->faults, faults);
    if (Reachable() && !dropped) return true;
    platform->Later(platform->latency, [self = weak_from_this(), id] {
      if (const auto alive = self.lock()) {
        alive->Close<Result>(id, NotSent(static_cast<const Result*>(nullptr)));
      }
    });
    return false;
  }

  // Calls `arrive` when the request reaches the platform. The client is passed
  // as a shared pointer, because a request that is under way takes effect even
  // if its client is destroyed.
  void Travel(count_field field, std::function<void()> arrive) {
    const auto delay = faults.delay + platform->faults.delay;
    platform->Later(
        platform->latency / 2 + delay,
        [self = shared_from_this(), field, arrive = std::move(arrive)]() {
          if (!self->Reachable()) return;
          ++(self->platform->counts.*field);
          arrive();
        });
  }

  template <class Result>
  void Read(count_field field, std::function<Result()> operate,
            std::function<void(Result)> done) {
    const auto id = Open<Result>(std::move(done), call_limit);
    if (!Depart<Result>(id, field)) return;
    Travel(field, [this, id, operate = std::move(operate)] {
      Answer<Result>(id, platform->latency / 2, operate());
    });
  }

  void Write(count_field field, std::function<write_result()> operate,
             std::function<void(write_result)> done) {
    const auto id = Open<write_result>(std::move(done), call_limit);
    if (!Depart<write_result>(id, field)) return;
    Travel(field, [this, id, operate = std::move(operate)] {
      auto outcome = operate();
      if (TakeFault(&memory_faults::lose_answers, platform->faults, faults)) {
        outcome = NoAnswer(static_cast<const write_result*>(nullptr));
      }
      Answer<write_result>(id, platform->latency / 2, std::move(outcome));
    });
  }

  void AnswerWatch(std::uint64_t id, object_list changed) {
    if (faults.silent_watches || platform->faults.silent_watches) return;
    Answer<result<object_list>>(id, platform->latency / 2, std::move(changed));
  }

  // Answers a watch that has arrived, or holds it for `wait`.
  void StartWatch(std::uint64_t id, const std::string& prefix, revision after,
                  clock::duration wait) {
    auto changed = platform->Changed(prefix, after);
    if (!changed.items.empty()) return AnswerWatch(id, std::move(changed));
    auto& waiters = platform->waiters;
    const auto at = waiters.emplace(waiters.end());
    at->prefix = prefix;
    at->after = after;
    at->answer = [self = weak_from_this(), id](object_list list) {
      if (auto alive = self.lock()) alive->AnswerWatch(id, std::move(list));
    };
    at->expiry = platform->time.CallAfter(wait, [shared = platform.get(), at] {
      object_list nothing;
      nothing.as_of = shared->last;
      at->answer(std::move(nothing));
      shared->waiters.erase(at);
    });
  }

  std::shared_ptr<memory_platform::contents> platform;
  clock::duration call_limit;
  memory_faults faults;
  call_counts counts;
  std::uint64_t next_call = 0;
  std::map<std::uint64_t, std::shared_ptr<void>> calls;
};

memory_platform::memory_platform(clock& time, clock::duration latency)
    : contents_(std::make_shared<contents>(time, latency)) {}

// Timers hold what they need to run, so they are dropped first.
memory_platform::~memory_platform() {
  contents_->timers.clear();
  contents_->waiters.clear();
}

memory_faults& memory_platform::faults() { return contents_->faults; }

void memory_platform::SetLatency(clock::duration latency) {
  contents_->latency = latency;
}

void memory_platform::SetHosts(std::vector<listed_host> hosts) {
  contents_->hosts = std::move(hosts);
}

std::optional<object> memory_platform::Peek(const std::string& name) const {
  return contents_->Find(name);
}

revision memory_platform::Seed(const std::string& name, nlohmann::json value) {
  return contents_->Write(name, std::move(value));
}

revision memory_platform::current() const { return contents_->last; }

const call_counts& memory_platform::counts() const { return contents_->counts; }

memory_object_store::memory_object_store(memory_platform& shared,
                                         clock::duration call_limit)
    : client_(std::make_shared<client>(shared.contents_, call_limit)) {}

// Requests that are under way keep the client's state; without its open calls
// it delivers nothing any more.
memory_object_store::~memory_object_store() { client_->calls.clear(); }

memory_faults& memory_object_store::faults() { return client_->faults; }

const call_counts& memory_object_store::counts() const {
  return client_->counts;
}

void memory_object_store::Get(const std::string& name,
                              std::function<void(result<object>)> done) {
  client_->Read<result<object>>(
      &call_counts::gets,
      [shared = client_->platform.get(), name]() -> result<object> {
        if (auto found = shared->Find(name)) return std::move(*found);
        return Fail(error_code::kNotFound, name);
      },
      std::move(done));
}

void memory_object_store::Put(const std::string& name,
                              const nlohmann::json& value,
                              std::optional<revision> expected,
                              std::function<void(write_result)> done) {
  client_->Write(
      &call_counts::puts,
      [shared = client_->platform.get(), name, value, expected] {
        return shared->PutIf(name, value, expected);
      },
      std::move(done));
}

void memory_object_store::Remove(const std::string& name, revision expected,
                                 std::function<void(write_result)> done) {
  client_->Write(
      &call_counts::removes,
      [shared = client_->platform.get(), name, expected] {
        return shared->RemoveIf(name, expected);
      },
      std::move(done));
}

void memory_object_store::List(const std::string& prefix,
                               std::function<void(result<object_list>)> done) {
  client_->Read<result<object_list>>(
      &call_counts::lists,
      [shared = client_->platform.get(), prefix]() -> result<object_list> {
        return shared->Changed(prefix, revision(0));
      },
      std::move(done));
}

void memory_object_store::Watch(const std::string& prefix, revision after,
                                std::chrono::milliseconds wait,
                                std::function<void(result<object_list>)> done) {
  using outcome = result<object_list>;
  const auto id =
      client_->Open<outcome>(std::move(done), wait + client_->call_limit);
  if (!client_->Depart<outcome>(id, &call_counts::watches)) return;
  client_->Travel(&call_counts::watches,
                  [state = client_.get(), id, prefix, after, wait] {
                    state->StartWatch(id, prefix, after, wait);
                  });
}

void memory_object_store::ListHosts(
    std::function<void(result<std::vector<listed_host>>)> done) {
  using hosts = result<std::vector<listed_host>>;
  client_->Read<hosts>(
      &call_counts::host_lists,
      [shared = client_->platform.get()]() -> hosts { return shared->hosts; },
      std::move(done));
}

}  // namespace bluebell::store
