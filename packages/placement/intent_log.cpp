#include "placement/intent_log.h"

#include "base/digest.h"
#include "base/json_member.h"

namespace bluebell::placement {
namespace {

constexpr const char* kPrefix = "placement/";

std::string NameOf(const endpoint_id& engine) {
  return kPrefix + engine.value();
}

}  // namespace

intent_log::intent_log(store::object_store& store, merge_function merge)
    : store_(store), merge_(std::move(merge)) {
  Reset();
}

void intent_log::Reset() {
  records_.clear();
  self_ = std::make_shared<intent_log*>(this);
}

void intent_log::ReadAll(std::function<void()> done) {
  store_.List(kPrefix, [self = std::weak_ptr<intent_log*>(self_),
                        done = std::move(done)](
                           const result<store::object_list>& found) {
    const auto log = self.lock();
    if (!log || !found) return;
    for (const auto& item : found->items) {
      const std::string id = item.name.substr(std::string(kPrefix).size());
      (*log)->Merge(endpoint_id(id), item);
    }
    done();
  });
}

void intent_log::Write(const endpoint_id& engine, const loads& open,
                       std::uint64_t fence, std::function<void()> done) {
  record& known = records_[engine];
  if (known.busy) return;
  known.busy = true;
  const std::string writer = MakeUniqueId();
  nlohmann::json value = {
      {"writer", writer}, {"fence", fence}, {"loads", nlohmann::json::array()}};
  std::set<std::string> targets;
  for (const auto& [target, size] : open) {
    value["loads"].push_back(
        {{"target", target}, {"memory_bytes", size.value()}});
    targets.insert(target);
  }
  store_.Put(NameOf(engine), value, revision(known.version),
             [self = std::weak_ptr<intent_log*>(self_), engine, writer, targets,
              done = std::move(done)](const store::write_result& outcome) {
               if (const auto log = self.lock()) {
                 (*log)->OnWritten(engine, writer, targets, outcome, done);
               }
             });
}

bool intent_log::Covers(const endpoint_id& engine,
                        const std::string& target) const {
  const auto found = records_.find(engine);
  return found != records_.end() && found->second.written.count(target) > 0;
}

void intent_log::OnWritten(const endpoint_id& engine, const std::string& writer,
                           std::set<std::string> targets,
                           const store::write_result& outcome,
                           const std::function<void()>& done) {
  record& known = records_[engine];
  if (outcome) {
    known.busy = false;
    known.version = outcome->value();
    known.written = std::move(targets);
    done();
    return;
  }
  const auto& failure = outcome.error();
  if (failure.conflict && failure.conflict->current) {
    known.busy = false;
    Merge(engine, *failure.conflict->current);
    return;
  }
  if (failure.cause.code == error_code::kUnavailable) {
    known.busy = false;
    return;
  }
  Reread(engine, writer, std::move(targets), done);
}

// Resolves a write of unknown outcome by reading the object. If the write takes
// effect only later, the next write fails with a conflict and merges it.
void intent_log::Reread(const endpoint_id& engine, const std::string& writer,
                        std::set<std::string> targets,
                        std::function<void()> done) {
  store_.Get(NameOf(engine),
             [self = std::weak_ptr<intent_log*>(self_), engine, writer, targets,
              done = std::move(done)](const result<store::object>& found) {
               const auto log = self.lock();
               if (!log) return;
               record& known = (*log)->records_[engine];
               known.busy = false;
               if (!found) return;
               if (MemberOr(found->value, "writer", std::string()) == writer) {
                 known.version = found->version.value();
                 known.written = targets;
                 done();
               } else {
                 (*log)->Merge(engine, *found);
               }
             });
}

// Merges the version and loads of an object that this controller did not write.
// No load counts as covered until the next write.
void intent_log::Merge(const endpoint_id& engine, const store::object& found) {
  record& known = records_[engine];
  known.version = found.version.value();
  known.written.clear();
  loads listed;
  for (const auto& load :
       MemberOr(found.value, "loads", nlohmann::json::array())) {
    if (!load.is_object()) continue;
    listed.emplace_back(
        MemberOr(load, "target", std::string()),
        byte_count(MemberOr(load, "memory_bytes", std::int64_t{0})));
  }
  merge_(engine, listed);
}

}  // namespace bluebell::placement
