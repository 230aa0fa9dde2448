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

// Decrements the platform's counter or, if it is zero, the client's.
bool ConsumeFault(int memory_faults::*field, memory_faults& platform_faults,
                  memory_faults& client_faults) {
  for (memory_faults* faults : {&platform_faults, &client_faults}) {
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

// Failure of a call whose request was not sent.
template <class T>
result<T> UnreachableError(const result<T>*) {
  return Fail(error_code::kUnavailable, "platform not reachable");
}
write_result UnreachableError(const write_result*) {
  return FailWrite(error_code::kUnavailable, "platform not reachable");
}

// Failure of a call whose request was sent but got no response.
template <class T>
result<T> NoResponseError(const result<T>*) {
  return Fail(error_code::kUnavailable, "no answer from the platform");
}
write_result NoResponseError(const write_result*) {
  return FailWrite(error_code::kOutcomeUnknown, "no answer from the platform");
}

// A call that waits for its response.
template <class Result>
struct pending_call {
  std::function<void(Result)> done;
  timer_handle deadline;
};

// A watch that is pending until an object under its prefix changes.
struct pending_watch {
  std::string prefix;
  revision after;
  std::function<void(object_list)> complete;
  timer_handle expiry;
};

}  // namespace

struct memory_platform::state
    : std::enable_shared_from_this<memory_platform::state> {
  state(clock& clock, clock::duration initial_latency)
      : time(clock), latency(initial_latency) {}

  // Calls `action` after `delay`, unless the platform is destroyed first.
  void Schedule(clock::duration delay, std::function<void()> action) {
    const std::uint64_t id = next_timer++;
    timers[id] =
        time.CallAfter(delay, [this, id, action = std::move(action)]() {
          const auto self = shared_from_this();
          const auto fired_timer = timers.extract(id);
          action();
        });
  }

  std::optional<object> Find(const std::string& name) const {
    const auto found = objects.find(name);
    if (found == objects.end()) return std::nullopt;
    return found->second;
  }

  object_list ListChanged(const std::string& prefix, revision after) const {
    object_list list;
    list.as_of = last_revision;
    for (auto at = objects.lower_bound(prefix);
         at != objects.end() && HasPrefix(at->first, prefix); ++at) {
      if (at->second.version > after) list.items.push_back(at->second);
    }
    return list;
  }

  revision Write(const std::string& name, nlohmann::json value) {
    last_revision += revision(1);
    objects[name] = object{name, last_revision, std::move(value)};
    NotifyWatches(name);
    return last_revision;
  }

  // Completes and removes the watches whose prefix matches `name`.
  void NotifyWatches(const std::string& name) {
    for (auto at = pending_watches.begin(); at != pending_watches.end();) {
      if (!HasPrefix(name, at->prefix)) {
        ++at;
        continue;
      }
      at->complete(ListChanged(at->prefix, at->after));
      at = pending_watches.erase(at);
    }
  }

  write_result PutIf(const std::string& name, nlohmann::json value,
                     std::optional<revision> expected) {
    if (value.dump().size() > object_store::kMaxValueBytes) {
      return FailWrite(error_code::kTooLarge, "value above 1 MB");
    }
    if (auto failed = CheckVersion(name, expected)) return std::move(*failed);
    return Write(name, std::move(value));
  }

  write_result RemoveIf(const std::string& name, revision expected) {
    if (auto failed = CheckVersion(name, expected)) return std::move(*failed);
    if (objects.erase(name) == 0) {
      return tl::unexpected<write_error>(write_error{
          error{error_code::kConflict, "no such object"}, write_conflict{}});
    }
    last_revision += revision(1);
    return last_revision;
  }

  // Returns a conflict if the object's version is not the expected one.
  std::optional<tl::unexpected<write_error>> CheckVersion(
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
  revision last_revision{0};
  std::list<pending_watch> pending_watches;
  std::uint64_t next_timer = 0;
  std::map<std::uint64_t, timer_handle> timers;
};

struct memory_object_store::client
    : std::enable_shared_from_this<memory_object_store::client> {
  client(std::shared_ptr<memory_platform::state> shared, clock::duration limit)
      : platform(std::move(shared)), call_limit(limit) {}

  bool Reachable() const { return !faults.outage && !platform->faults.outage; }

  // Registers a call and the time limit at which it fails without a response.
  template <class Result>
  std::uint64_t RegisterCall(std::function<void(Result)> done,
                             clock::duration limit) {
    const std::uint64_t id = next_call++;
    auto call = std::make_shared<pending_call<Result>>();
    call->done = std::move(done);
    call->deadline = platform->time.CallAfter(limit, [this, id] {
      CompleteCall<Result>(
          id, NoResponseError(static_cast<const Result*>(nullptr)));
    });
    calls.emplace(id, std::move(call));
    return id;
  }

  // Completes a call once; later responses to it are dropped.
  template <class Result>
  void CompleteCall(std::uint64_t id, Result outcome) {
    const auto node = calls.extract(id);
    if (node.empty()) return;
    const auto call =
        std::static_pointer_cast<pending_call<Result>>(node.mapped());
    call->deadline.reset();
    call->done(std::move(outcome));
  }

  // Delivers a response after the given time, if the client still exists and
  // can reach the platform.
  template <class Result>
  void SendResponse(std::uint64_t id, clock::duration after, Result outcome) {
    platform->Schedule(after, [self = weak_from_this(), id,
                               outcome = std::move(outcome)]() mutable {
      const auto alive = self.lock();
      if (alive && alive->Reachable()) {
        alive->CompleteCall<Result>(id, std::move(outcome));
      }
    });
  }

  // Counts the call; false if its request is not sent.
  template <class Result>
  bool BeginRequest(std::uint64_t id, count_field field) {
    ++(counts.*field);
    const bool dropped =
        ConsumeFault(&memory_faults::drop_requests, platform->faults, faults);
    if (Reachable() && !dropped) return true;
    platform->Schedule(platform->latency, [self = weak_from_this(), id] {
      if (const auto alive = self.lock()) {
        alive->CompleteCall<Result>(
            id, UnreachableError(static_cast<const Result*>(nullptr)));
      }
    });
    return false;
  }

  // Calls `on_arrival` when the request reaches the platform. Captures the
  // client as a shared pointer, because a request in flight takes effect even
  // if its client is destroyed.
  void DeliverRequest(count_field field, std::function<void()> on_arrival) {
    const auto delay = faults.delay + platform->faults.delay;
    platform->Schedule(platform->latency / 2 + delay,
                       [self = shared_from_this(), field,
                        on_arrival = std::move(on_arrival)]() {
                         if (!self->Reachable()) return;
                         ++(self->platform->counts.*field);
                         on_arrival();
                       });
  }

  template <class Result>
  void Read(count_field field, std::function<Result()> operation,
            std::function<void(Result)> done) {
    const auto id = RegisterCall<Result>(std::move(done), call_limit);
    if (!BeginRequest<Result>(id, field)) return;
    DeliverRequest(field, [this, id, operation = std::move(operation)] {
      SendResponse<Result>(id, platform->latency / 2, operation());
    });
  }

  void Write(count_field field, std::function<write_result()> operation,
             std::function<void(write_result)> done) {
    const auto id = RegisterCall<write_result>(std::move(done), call_limit);
    if (!BeginRequest<write_result>(id, field)) return;
    DeliverRequest(field, [this, id, operation = std::move(operation)] {
      auto outcome = operation();
      if (ConsumeFault(&memory_faults::lose_answers, platform->faults,
                       faults)) {
        outcome = NoResponseError(static_cast<const write_result*>(nullptr));
      }
      SendResponse<write_result>(id, platform->latency / 2, std::move(outcome));
    });
  }

  void SendChanges(std::uint64_t id, object_list changed) {
    if (faults.silent_watches || platform->faults.silent_watches) return;
    SendResponse<result<object_list>>(id, platform->latency / 2,
                                      std::move(changed));
  }

  // Completes a watch at once if there are changes, else keeps it for `wait`.
  void StartWatch(std::uint64_t id, const std::string& prefix, revision after,
                  clock::duration wait) {
    auto changed = platform->ListChanged(prefix, after);
    if (!changed.items.empty()) return SendChanges(id, std::move(changed));
    auto& pending_watches = platform->pending_watches;
    const auto at = pending_watches.emplace(pending_watches.end());
    at->prefix = prefix;
    at->after = after;
    at->complete = [self = weak_from_this(), id](object_list list) {
      if (auto alive = self.lock()) alive->SendChanges(id, std::move(list));
    };
    at->expiry = platform->time.CallAfter(wait, [shared = platform.get(), at] {
      object_list unchanged;
      unchanged.as_of = shared->last_revision;
      at->complete(std::move(unchanged));
      shared->pending_watches.erase(at);
    });
  }

  std::shared_ptr<memory_platform::state> platform;
  clock::duration call_limit;
  memory_faults faults;
  call_counts counts;
  std::uint64_t next_call = 0;
  std::map<std::uint64_t, std::shared_ptr<void>> calls;
};

memory_platform::memory_platform(clock& time, clock::duration latency)
    : state_(std::make_shared<state>(time, latency)) {}

// Timer callbacks share ownership of clients, which share ownership of this
// state; clearing the timers breaks the cycle.
memory_platform::~memory_platform() {
  state_->timers.clear();
  state_->pending_watches.clear();
}

memory_faults& memory_platform::faults() { return state_->faults; }

void memory_platform::SetLatency(clock::duration latency) {
  state_->latency = latency;
}

void memory_platform::SetHosts(std::vector<listed_host> hosts) {
  state_->hosts = std::move(hosts);
}

std::optional<object> memory_platform::Peek(const std::string& name) const {
  return state_->Find(name);
}

revision memory_platform::Seed(const std::string& name, nlohmann::json value) {
  return state_->Write(name, std::move(value));
}

revision memory_platform::current() const { return state_->last_revision; }

const call_counts& memory_platform::counts() const { return state_->counts; }

memory_object_store::memory_object_store(memory_platform& shared,
                                         clock::duration call_limit)
    : client_(std::make_shared<client>(shared.state_, call_limit)) {}

// Requests in flight keep the client's state alive; clearing its pending calls
// drops their callbacks.
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
        return shared->ListChanged(prefix, revision(0));
      },
      std::move(done));
}

void memory_object_store::Watch(const std::string& prefix, revision after,
                                std::chrono::milliseconds wait,
                                std::function<void(result<object_list>)> done) {
  using outcome = result<object_list>;
  const auto id = client_->RegisterCall<outcome>(std::move(done),
                                                 wait + client_->call_limit);
  if (!client_->BeginRequest<outcome>(id, &call_counts::watches)) return;
  client_->DeliverRequest(&call_counts::watches,
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
