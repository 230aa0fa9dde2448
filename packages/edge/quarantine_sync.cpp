#include "edge/quarantine_sync.h"

#include <algorithm>
#include <vector>

#include "edge/pause.h"

namespace bluebell::edge {
namespace {

constexpr milliseconds kPollInterval{200};
// Failed calls are repeated after a pause that doubles up to the longest one.
constexpr milliseconds kFirstRetry{300};
constexpr milliseconds kLongestRetry{10'000};
// The first hosts of the ranking write.
constexpr int kWriters = 2;
constexpr std::size_t kMaxStored = 100;
// No part has this prefix: callers separate the ids of parts by commas. Builds
// that store no requests restore it as a part that never comes.
const std::string kRequestPrefix = "request,";

prompt_part_id StoredRequest(const std::string& fingerprint) {
  return prompt_part_id(kRequestPrefix + fingerprint);
}

}  // namespace

void quarantine_sync::OnRequestQuarantined(const std::string& fingerprint) {
  pending_.insert(StoredRequest(fingerprint));
}

std::optional<std::string> quarantine_sync::RequestOf(
    const prompt_part_id& part) {
  const auto& id = part.value();
  if (id.compare(0, kRequestPrefix.size(), kRequestPrefix) != 0) {
    return std::nullopt;
  }
  return id.substr(kRequestPrefix.size());
}

bool quarantine_sync::IsQuarantined(const prompt_part_id& part) const {
  const auto request = RequestOf(part);
  return request ? host_.crashes.IsQuarantined(*request)
                 : host_.parts.IsQuarantined({part});
}

std::optional<clock::duration> quarantine_sync::UnansweredAge(
    const prompt_part_id& part) const {
  const auto request = RequestOf(part);
  return request ? host_.crashes.UnansweredAge(*request)
                 : host_.parts.UnansweredAge(part);
}

bool quarantine_sync::Restore(const prompt_part_id& part, clock::duration age) {
  const auto request = RequestOf(part);
  return request ? host_.crashes.Restore(*request, age)
                 : host_.parts.Restore(part, age);
}

void quarantine_sync::Run(boost::asio::yield_context yield) {
  auto retry = kFirstRetry;
  while (true) {
    if (listed_ && host_.store_era > era_) {
      listed_ = false;
      for (const auto& part : host_.parts.Quarantined()) pending_.insert(part);
      for (const auto& request : host_.crashes.Quarantined()) {
        OnRequestQuarantined(request);
      }
    }
    DropPending();
    if (listed_ && pending_.empty()) {
      Pause(host_.io, kPollInterval, yield);
    } else if (RestoreAndWrite(yield)) {
      retry = kFirstRetry;
    } else {
      Pause(host_.io, retry, yield);
      retry = std::min(2 * retry, kLongestRetry);
    }
  }
}

void quarantine_sync::DropPending() {
  if (pending_.empty()) return;
  const bool writes = host_.directory.Rank() < kWriters;
  for (auto it = pending_.begin(); it != pending_.end();) {
    const bool wanted = writes && UnansweredAge(*it).has_value();
    it = wanted ? std::next(it) : pending_.erase(it);
  }
}

bool quarantine_sync::RestoreAndWrite(boost::asio::yield_context yield) {
  const auto stored = host_.store.ListQuarantined(yield);
  if (!stored) {
    host_.log.Write("quarantine_not_read", {{"detail", stored.error().detail}});
    return false;
  }
  listed_ = true;
  era_ = host_.store.Era();
  std::vector<serving::stored_part> expired;
  for (const auto& entry : *stored) {
    const bool known = IsQuarantined(entry.part);
    const auto age = host_.time.wall_now() - entry.crashed_at;
    if (!Restore(entry.part, age)) {
      expired.push_back(entry);
      continue;
    }
    pending_.erase(entry.part);
    if (!known && IsQuarantined(entry.part)) {
      host_.log.Write("part_restored", {{"part", entry.part.value()},
                                        {"age_ms", MillisecondText(age)}});
    }
  }
  // Left to the hosts that write: after a restart of a large fleet all hosts
  // find the same expired parts.
  if (pending_.empty()) return true;
  for (const auto& entry : expired) {
    if (!Remove(entry, yield)) return false;
  }
  const auto kept = stored->size() - expired.size();
  const auto space = kMaxStored - std::min(kMaxStored, kept);
  // Parts may be added while a call is waited for.
  const std::vector<prompt_part_id> wanted(pending_.begin(), pending_.end());
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    if (i >= space) {
      host_.log.Write("part_not_stored", {{"part", wanted[i].value()},
                                          {"detail", "too many parts"}});
      pending_.erase(wanted[i]);
    } else if (!Write(wanted[i], yield)) {
      return false;
    }
  }
  return true;
}

bool quarantine_sync::Remove(const serving::stored_part& expired,
                             boost::asio::yield_context yield) {
  const auto removed = host_.store.RemoveQuarantined(expired, yield);
  if (!removed) {
    host_.log.Write("part_not_removed", {{"part", expired.part.value()},
                                         {"detail", removed.error().detail}});
  }
  return removed.has_value();
}

bool quarantine_sync::Write(const prompt_part_id& part,
                            boost::asio::yield_context yield) {
  const auto age = UnansweredAge(part);
  if (!age) {
    pending_.erase(part);
    return true;
  }
  const auto crashed_at =
      std::chrono::time_point_cast<clock::wall_time_point::duration>(
          host_.time.wall_now() - *age);
  const auto written = host_.store.WriteQuarantined({part, crashed_at}, yield);
  if (written) {
    pending_.erase(part);
    host_.log.Write("part_stored", {{"part", part.value()}});
    return true;
  }
  host_.log.Write("part_not_stored",
                  {{"part", part.value()}, {"detail", written.error().detail}});
  if (written.error().code != error_code::kInvalidArgument) return false;
  pending_.erase(part);
  return true;
}

}  // namespace bluebell::edge
