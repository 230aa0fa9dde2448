#include "serving/stream_versions.h"

#include <fmt/format.h>

#include <algorithm>

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;

// Without news of the engines for this long, the base version may have been
// replaced. Far below `kStreamLifetime`, after which other hosts replace it.
constexpr std::chrono::seconds kMaxGap{20};
// A batch is rewritten whole for each new start, so it is kept small.
constexpr std::size_t kMaxBatch = 64;
constexpr std::chrono::seconds kMaxBatchAge{5};
// After a failed write, streams begin at the base version only for this long.
constexpr milliseconds kFailurePause{1000};
// A table that another host has to write is looked for in this interval.
constexpr milliseconds kTableInterval{300};
constexpr std::chrono::seconds kCleaningInterval{20};
// Covers the differences between the hosts' listings.
constexpr std::chrono::seconds kExpiryMargin{10};
constexpr std::size_t kMaxRecentStarts = 50'000;
// Reporting begins when a service gets a second version; streams that began
// earlier than this have mostly ended by then.
constexpr std::chrono::seconds kReportedAge{15};
// Engines that the restored store lacks are listed again within two seconds.
constexpr std::chrono::seconds kRelistingTime{3};

}  // namespace

const char* ToString(version_source source) {
  switch (source) {
    case version_source::kHere:
      return "here";
    case version_source::kPeer:
      return "peer";
    case version_source::kStore:
      return "store";
    case version_source::kBase:
      return "base";
  }
  return "";
}

void stream_versions::SetServices(std::set<service_id> services) {
  resumable_ = std::move(services);
}

void stream_versions::OnEngines(const software_by_service& listed,
                                clock::time_point as_of) {
  for (auto& [service, state] : services_) state.listed.clear();
  for (const auto& [service, versions] : listed) {
    services_[service].listed = versions;
  }
  OnConfirmed(as_of);
}

void stream_versions::OnConfirmed(clock::time_point as_of) {
  if (as_of_ && as_of < *as_of_) as_of = *as_of_;
  const bool gap = !as_of_ || as_of - *as_of_ > kMaxGap;
  if (gap) observed_since_ = as_of;
  as_of_ = as_of;
  for (auto& [service, state] : services_) {
    for (const auto& version : state.listed) state.last_listed[version] = as_of;
    if (gap || !state.table || state.listed.count(state.table->base) == 0) {
      state.confirmed = false;
    }
    if (gap || !state.table || ListsAnother(state.listed, state.table->base)) {
      state.only_base = false;
    }
  }
}

bool stream_versions::ListsAnother(const std::set<software_version>& listed,
                                   const software_version& software) {
  return listed.size() > listed.count(software);
}

bool stream_versions::IsCurrent() const {
  return as_of_ && clock_.now() - *as_of_ <= kMaxGap;
}

bool stream_versions::HasHistory() const {
  return IsCurrent() &&
         clock_.now() - observed_since_ > kStreamLifetime + kExpiryMargin;
}

bool stream_versions::HasSeveral(const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  const auto& state = found->second;
  return state.listed.size() > 1 || (state.table && state.table->several);
}

std::set<software_version> stream_versions::AllowedForNew(
    const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.table || !IsCurrent()) {
    return {};
  }
  const auto& state = found->second;
  const bool stores =
      state.table->several &&
      !(failed_at_ && clock_.now() - *failed_at_ < kFailurePause);
  auto allowed = stores ? state.listed : std::set<software_version>();
  if (state.confirmed) {
    allowed.insert(state.table->base);
  } else {
    allowed.erase(state.table->base);
  }
  return allowed;
}

std::optional<std::uint64_t> stream_versions::RecordStart(
    const service_id& service, const stream_start& start, bool recorded) {
  const auto& table = services_[service].table;
  if (!recorded && table && start.software == table->base) return std::nullopt;
  if (batch_.name.empty()) {
    batch_.name = NewBatchName();
    batch_opened_ = clock_.now();
  }
  batch_.starts.push_back(start);
  return ++recorded_;
}

void stream_versions::OnBegun(const stream_start& start) {
  Add(own_, start);
  unreported_.emplace_back(clock_.now(), start);
  while (unreported_.size() > kMaxRecentStarts ||
         clock_.now() - unreported_.front().first > kReportedAge) {
    unreported_.pop_front();
  }
}

void stream_versions::Add(recent_starts& starts,
                          const stream_start& start) const {
  DropExpired(starts);
  if (starts.order.size() >= kMaxRecentStarts) {
    starts.by_attempt.erase(starts.order.front().second);
    starts.order.pop_front();
  }
  starts.by_attempt[start.attempt] = start.software;
  starts.order.emplace_back(clock_.now(), start.attempt);
}

void stream_versions::DropExpired(recent_starts& starts) const {
  while (!starts.order.empty() &&
         clock_.now() - starts.order.front().first > kStreamLifetime) {
    starts.by_attempt.erase(starts.order.front().second);
    starts.order.pop_front();
  }
}

bool stream_versions::ReportsStarts() const {
  return std::any_of(resumable_.begin(), resumable_.end(),
                     [this](const auto& id) {
                       const auto found = services_.find(id);
                       if (found == services_.end() || !found->second.table)
                         return false;
                       return found->second.table->several || MayLackStarts(id);
                     });
}

std::vector<stream_start> stream_versions::TakeUnreported() {
  if (unreported_.empty() || !ReportsStarts()) return {};
  std::vector<stream_start> starts;
  for (auto& [begun, start] : unreported_) starts.push_back(std::move(start));
  unreported_.clear();
  return starts;
}

void stream_versions::OnReported(const std::vector<stream_start>& starts) {
  for (const auto& start : starts) Add(reported_, start);
}

bool stream_versions::MayLackStarts(const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.table) return true;
  const auto& state = found->second;
  const auto age = clock_.now() - era_since_;
  if (age > kStreamLifetime + kExpiryMargin) return false;
  if (saw_restore_) return !state.only_base || age < kRelistingTime;
  if (state.table->complete_era) {
    return *state.table->complete_era < listed_era_;
  }
  // An older build wrote the table. The store may have been restored since.
  return !state.only_base;
}

std::string stream_versions::Describe(const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.table) return "no table";
  const auto& table = *found->second.table;
  return fmt::format(
      "base {}{}, era {}{}, complete {}{}", table.base.value(),
      table.several ? " and others" : "", listed_era_,
      saw_restore_ ? " after another" : "",
      table.complete_era ? std::to_string(*table.complete_era) : "unknown",
      MayLackStarts(service) ? ", may lack starts" : "");
}

std::optional<found_version> stream_versions::Known(
    const request_id& attempt) const {
  const auto own = own_.by_attempt.find(attempt);
  if (own != own_.by_attempt.end()) {
    return found_version{own->second, version_source::kHere};
  }
  const auto reported = reported_.by_attempt.find(attempt);
  if (reported != reported_.by_attempt.end()) {
    return found_version{reported->second, version_source::kPeer};
  }
  return std::nullopt;
}

std::optional<found_version> stream_versions::VersionOf(
    const service_id& service, const request_id& attempt) const {
  if (const auto known = Known(attempt)) return known;
  const auto stored = starts_.find(attempt);
  if (stored != starts_.end()) {
    return found_version{stored->second, version_source::kStore};
  }
  const auto earlier = starts_before_restore_.by_attempt.find(attempt);
  if (earlier != starts_before_restore_.by_attempt.end()) {
    return found_version{earlier->second, version_source::kStore};
  }
  if (MayLackStarts(service)) return std::nullopt;
  const auto& table = *services_.at(service).table;
  if (attempt.value().empty() && table.several) return std::nullopt;
  return found_version{table.base, version_source::kBase};
}

bool stream_versions::WantsListing(std::uint64_t store_era, bool cleans) const {
  if (!as_of_) return false;
  if (listing_ < wanted_listing_ || store_era > listed_era_) return true;
  const auto age = clock_.now() - listed_at_;
  if (cleans && !others_.empty() && age >= kCleaningInterval) return true;
  if (age < kTableInterval) return false;
  if (NextTable()) return true;
  // The base version is listed again after it was not.
  return std::any_of(resumable_.begin(), resumable_.end(),
                     [this](const auto& id) {
                       const auto found = services_.find(id);
                       if (found == services_.end()) return false;
                       const auto& state = found->second;
                       return state.table && !state.confirmed && IsCurrent() &&
                              state.listed.count(state.table->base) > 0;
                     });
}

void stream_versions::OnListing(const version_listing& listing,
                                std::uint64_t ticket) {
  const bool restored = listing_ > 0 && listing.era > listed_era_;
  if (listing_ == 0 || restored) era_since_ = clock_.now();
  saw_restore_ = saw_restore_ || restored;
  std::set<service_id> with_only_base;
  for (auto& [service, state] : services_) {
    if (restored && state.table) state.before_restore = state.table;
    if (state.only_base) with_only_base.insert(service);
    state.table.reset();
    state.confirmed = false;
    state.only_base = false;
  }
  for (const auto& table : listing.tables) {
    auto& state = services_[table.service];
    state.table = table;
    state.confirmed = IsCurrent() && state.listed.count(table.base) > 0;
    const bool says_only_base =
        !table.several && !restored &&
        table.complete_era.value_or(listing.era) >= listing.era;
    state.only_base =
        IsCurrent() && !ListsAnother(state.listed, table.base) &&
        (says_only_base || with_only_base.count(table.service) > 0);
    const auto& before = state.before_restore;
    if (before && table.base == before->base &&
        (table.several || !before->several)) {
      state.before_restore.reset();
    }
  }
  if (restored) {
    for (const auto& [attempt, software] : starts_) {
      Add(starts_before_restore_, {attempt, software});
    }
  }
  starts_.clear();
  std::map<std::string, std::pair<std::uint64_t, clock::time_point>> others;
  for (const auto& batch : listing.batches) {
    for (const auto& start : batch.starts) {
      starts_[start.attempt] = start.software;
    }
    const auto prefix = owner_ + "-";
    if (batch.name.compare(0, prefix.size(), prefix) == 0) continue;
    const auto before = others_.find(batch.name);
    const bool unchanged =
        before != others_.end() && before->second.first == batch.revision;
    others[batch.name] =
        unchanged ? before->second : std::pair(batch.revision, clock_.now());
  }
  others_ = std::move(others);
  if (restored) {
    DropExpired(own_);
    for (const auto& [attempt, software] : own_.by_attempt) {
      // The store may hold only an earlier start of the attempt.
      const auto stored = starts_.find(attempt);
      if (stored == starts_.end() || stored->second != software) {
        RecordStart({}, {attempt, software}, true);
      }
    }
  }
  listed_era_ = listing.era;
  listed_at_ = clock_.now();
  listing_ = std::max(listing_, ticket);
}

bool stream_versions::WasListedSince(const service_state& state,
                                     const software_version& software,
                                     clock::time_point since) {
  const auto found = state.last_listed.find(software);
  return found != state.last_listed.end() && found->second >= since;
}

std::optional<version_table> stream_versions::NextTable() const {
  if (listing_ == 0 || !IsCurrent()) return std::nullopt;
  for (const auto& service : resumable_) {
    const auto found = services_.find(service);
    if (found == services_.end()) continue;
    if (auto table = NextTable(service, found->second)) return table;
  }
  return std::nullopt;
}

std::optional<version_table> stream_versions::NextTable(
    const service_id& service, const service_state& state) const {
  if (state.listed.empty()) return std::nullopt;
  if (!state.table) {
    if (state.before_restore) {
      auto table = *state.before_restore;
      table.revision = 0;
      table.complete_era = table.complete_era.value_or(listed_era_ - 1);
      return table;
    }
    return version_table{service, *state.listed.begin(),
                         state.listed.size() > 1, 0, listed_era_};
  }
  auto wanted = *state.table;
  if (state.before_restore) {
    wanted.base = state.before_restore->base;
    wanted.several = wanted.several || state.before_restore->several;
    wanted.complete_era =
        state.before_restore->complete_era.value_or(listed_era_ - 1);
  } else if (!MayLackStarts(service)) {
    wanted.complete_era = listed_era_;
  } else if (saw_restore_ && !wanted.complete_era) {
    // A host that starts now must not take the table for that of an older
    // build.
    wanted.complete_era = listed_era_ - 1;
  }
  const auto since = clock_.now() - kStreamLifetime - kExpiryMargin;
  const auto others = std::count_if(
      state.last_listed.begin(), state.last_listed.end(),
      [&](const auto& entry) {
        return entry.first != wanted.base && entry.second >= since;
      });
  const bool base_listed = state.listed.count(wanted.base) > 0;
  if (state.listed.size() > (base_listed ? 1U : 0U)) wanted.several = true;
  if (HasHistory() && !state.before_restore) {
    if (!WasListedSince(state, wanted.base, since)) {
      wanted.base = *state.listed.begin();
      wanted.several = others > 1;
    } else if (others == 0) {
      wanted.several = false;
    }
  }
  if (wanted == *state.table) return std::nullopt;
  return wanted;
}

void stream_versions::OnTableWritten(const version_table& table) {
  auto& state = services_[table.service];
  const bool new_table = !state.table && !state.before_restore;
  state.table = table;
  state.confirmed = IsCurrent() && state.listed.count(table.base) > 0;
  if (new_table) {
    state.only_base = IsCurrent() && !table.several &&
                      !ListsAnother(state.listed, table.base);
  }
  state.before_restore.reset();
}

std::string stream_versions::NewBatchName() {
  // Padded, so that names sort by age.
  return fmt::format("{}-{:08}", owner_, ++batch_number_);
}

std::optional<start_batch> stream_versions::NextBatch() {
  if (stored_here_ == batch_.starts.size()) return std::nullopt;
  const bool is_old = clock_.now() - batch_opened_ > kMaxBatchAge;
  if (stored_here_ > 0 && (is_old || stored_here_ >= kMaxBatch)) {
    OpenNextBatch();
  }
  writing_ = batch_.starts.size();
  return batch_;
}

void stream_versions::OnBatchWritten(std::uint64_t revision) {
  stored_ += writing_ - stored_here_;
  stored_here_ = writing_;
  batch_.revision = revision;
  failed_at_.reset();
}

// A write that failed may still overwrite the batch later, so what is not
// stored goes into a new one.
void stream_versions::OnBatchFailed() {
  failed_at_ = clock_.now();
  OpenNextBatch();
}

void stream_versions::OpenNextBatch() {
  closed_.emplace_back(clock_.now(), batch_.name);
  batch_.starts.erase(
      batch_.starts.begin(),
      batch_.starts.begin() + static_cast<std::ptrdiff_t>(stored_here_));
  batch_.name = NewBatchName();
  batch_.revision = 0;
  batch_opened_ = clock_.now();
  stored_here_ = 0;
}

std::vector<std::string> stream_versions::TakeExpired(bool cleans) {
  const auto before = clock_.now() - kStreamLifetime - kExpiryMargin;
  std::vector<std::string> names;
  while (!closed_.empty() && closed_.front().first < before) {
    names.push_back(closed_.front().second);
    closed_.pop_front();
  }
  if (!cleans) return names;
  for (auto it = others_.begin(); it != others_.end();) {
    const bool expired = it->second.second < before;
    if (expired) names.push_back(it->first);
    it = expired ? others_.erase(it) : std::next(it);
  }
  return names;
}

}  // namespace bluebell::serving
