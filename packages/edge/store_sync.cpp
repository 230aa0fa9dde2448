#include "edge/store_sync.h"

#include <algorithm>

#include "edge/engine_statements.h"
#include "edge/pause.h"

namespace bluebell::edge {
namespace {

// A change must take effect within two seconds after the store accepted it;
// this leaves time for a lost read and its retry.
constexpr milliseconds kConfigInterval{700};
// A leaving engine must get no new requests two seconds after its notice.
constexpr milliseconds kEnginesInterval{600};
// Delay after a failed read, doubled for each further failure up to the
// maximum, to spare a store that rejects calls; rejected calls have a cost too.
constexpr milliseconds kRetryInterval{150};
constexpr milliseconds kMaxRetryInterval{1200};
// Hosts that read the store for all others; tolerates the loss of two.
constexpr int kStoreReaders = 3;
constexpr milliseconds kFollowInterval{350};
// A follower whose data is older reads the store itself.
constexpr milliseconds kMaxFollowedAge{1300};
// Three requests without a response.
constexpr milliseconds kReaderTimeout{1100};
// Interval at which a follower checks the age of its data.
constexpr milliseconds kFollowStep{150};
// Digests of hosts that were asked arrive within milliseconds; this covers one
// that is lost. A host that is down is not waited for longer.
constexpr milliseconds kMaxPeerWait{1000};
constexpr milliseconds kPeerStep{20};
// Records in one response, a few kilobytes.
constexpr std::size_t kRecordsPerResponse = 16;
// Source of records that this host read itself.
const char kOwnReads[] = "store";

std::string VersionText(const serving::store_version& version) {
  return std::to_string(version.era) + "/" + std::to_string(version.revision);
}

}  // namespace

bool store_sync::IsStoreReader() const {
  return host_.directory.Rank() < kStoreReaders;
}

void store_sync::RunConfig(boost::asio::yield_context yield) {
  while (true) {
    const auto age = host_.freshness.Age();
    if (!IsStoreReader() && HasNewestConfig() && age &&
        *age < kMaxFollowedAge) {
      Pause(host_.io, kFollowStep, yield);
      continue;
    }
    Pause(host_.io, ReadConfig(yield), yield);
  }
}

bool store_sync::HasNewestConfig() const {
  return host_.config != nullptr && host_.config->version >= NewestConfig();
}

milliseconds store_sync::ReadConfig(boost::asio::yield_context yield) {
  const auto sent = host_.time.now();
  auto known_when_sent = NewestConfig();
  auto read = host_.store.ReadConfig(yield);
  OnStoreRead("config", sent, read.has_value(),
              read ? std::string() : read.error().detail);
  if (!read) {
    LogConfigNotRead(read.error().detail);
    return RetryInterval();
  }
  if (host_.config == nullptr) {
    AwaitPeers(yield);
    known_when_sent = NewestConfig();
  }
  if ((*read)->version < known_when_sent) {
    // The store has lost versions; one of them may have withdrawn a key.
    host_.log.Write("config_ignored",
                    {{"version", std::to_string((*read)->version)},
                     {"newest", std::to_string(NewestConfig())}});
    // It may have lost them before earlier reads as well.
    if (host_.config != nullptr && host_.config->version < known_when_sent) {
      host_.freshness.Reset();
    }
    return kConfigInterval;
  }
  host_.freshness.Confirm(sent);
  if (*read != host_.config) ApplyConfig(std::move(*read));
  return HasNewestConfig() ? kConfigInterval : kRetryInterval;
}

// A process that has just started cannot tell whether the store was restored
// from a copy that lacks the newest configuration; other hosts can.
void store_sync::AwaitPeers(boost::asio::yield_context yield) {
  const auto until = host_.time.now() + kMaxPeerWait;
  while (newest_version_ == 0 && !host_.directory.HeardAllListed() &&
         host_.time.now() < until) {
    Pause(host_.io, kPeerStep, yield);
  }
}

void store_sync::OnPeerConfig(std::uint64_t version) {
  const bool is_news = version > NewestConfig();
  newest_version_ = std::max(newest_version_, version);
  host_.freshness.SetSuperseded(!HasNewestConfig());
  if (!is_news || host_.config == nullptr) return;
  host_.log.Write("config_superseded",
                  {{"version", std::to_string(host_.config->version)},
                   {"newest", std::to_string(version)},
                   {"config_age_ms", ConfigAgeText()}});
}

std::uint64_t store_sync::NewestConfig() const {
  return std::max(newest_version_,
                  host_.config == nullptr ? 0 : host_.config->version);
}

void store_sync::RunEngines(boost::asio::yield_context yield) {
  while (true) {
    const auto now = host_.time.now();
    if (!IsStoreReader() && now - records_at_ < kMaxFollowedAge) {
      reads_store_ = false;
      Pause(host_.io, kFollowStep, yield);
      continue;
    }
    const auto read = host_.store.ListEngines(yield);
    OnStoreRead("engines", now, read.has_value(),
                read ? std::string() : read.error().detail);
    if (read) {
      log_.Update(read->version, *WithUnread(*read),
                  host_.store_contact.MayLackRecords());
      if (Supersede({kOwnReads, "", log_.end()}, log_.version(), now)) {
        host_.records.Apply(log_.version(), log_.Records(), log_.Kept(),
                            kOwnReads, now);
        OnColdRecords(host_);
      }
      LogKeptRecords();
    }
    // A failure is repeated soon once; a store that fails for longer is spared.
    const bool may_repeat = !evacuations_failed_;
    const bool has_zones = read && ReadEvacuations(yield);
    if (has_zones) {
      // Followers would take records that were not read for gone.
      reads_store_ = !read->read_to;
      store_read_at_ = now;
      records_at_ = now;
    }
    if (read && !has_zones && may_repeat) {
      Pause(host_.io, kRetryInterval, yield);
    } else {
      Pause(host_.io, read ? TimeToNextListing() : RetryInterval(), yield);
    }
  }
}

std::shared_ptr<const std::vector<serving::engine_record>>
store_sync::WithUnread(const serving::engine_listing& listing) const {
  if (!listing.read_to) return listing.records;
  auto records =
      std::make_shared<std::vector<serving::engine_record>>(*listing.records);
  std::set<endpoint_id> ids;
  std::set<std::string> addresses;
  for (const auto& record : *records) {
    ids.insert(record.id);
    addresses.insert(record.address);
  }
  for (const auto& [id, engine] : host_.fleet.engines()) {
    // Another endpoint uses the address now.
    if (addresses.count(engine.record.address)) continue;
    if (*listing.read_to < id && !ids.count(id)) {
      records->push_back(engine.record);
    }
  }
  return records;
}

bool store_sync::ReadEvacuations(boost::asio::yield_context yield) {
  if (!host_.evacuations.enabled()) return true;
  const auto sent = host_.time.now();
  auto read = host_.store.ListEvacuations(yield);
  host_.metrics.Count(read ? "store_read" : "store_read_failed");
  if (!read && !evacuations_failed_) {
    host_.log.Write("evacuations_not_read", {{"detail", read.error().detail}});
  }
  evacuations_failed_ = !read;
  if (!read) return false;
  ApplyEvacuations(std::move(*read), sent);
  LogEvacuations();
  return true;
}

void store_sync::ApplyEvacuations(std::set<zone_id> zones,
                                  clock::time_point read_at) {
  if (host_.evacuations.OnListed(std::move(zones), read_at)) {
    host_.changed.Notify();
  }
}

void store_sync::LogEvacuations() {
  std::set<zone_id> listed;
  for (const auto& [id, engine] : host_.fleet.engines()) {
    listed.insert(engine.record.zone);
  }
  for (const auto& change : host_.evacuations.TakeChanges(listed)) {
    const log_field zone{"zone", change.zone.value()};
    switch (change.kind) {
      case serving::zone_change_kind::kEvacuated:
        host_.log.Write("zone_evacuated", {zone});
        break;
      case serving::zone_change_kind::kReturned:
        host_.log.Write("zone_returned", {zone});
        break;
      case serving::zone_change_kind::kIgnored:
        host_.log.Write("evacuation_ignored", {zone});
        break;
    }
  }
  host_.metrics.SetGauge(
      "zones_evacuated",
      static_cast<double>(host_.evacuations.reported_count()));
}

bool store_sync::Follows() const {
  const bool fails = store_failures_ > 0 || evacuations_failed_;
  return !IsStoreReader() || (host_.evacuations.enabled() && fails);
}

void store_sync::RunFollow(boost::asio::yield_context yield) {
  while (true) {
    Pause(host_.io, kFollowInterval, yield);
    if (host_.evacuations.OnRunning()) {
      host_.log.Write("evacuations_unknown", {{"detail", "did not run"}});
    }
    if (!Follows()) continue;
    // Switch to the next reader if this one does not respond.
    if (host_.time.now() - response_at_ > kReaderTimeout) {
      response_at_ = host_.time.now();
      ++reader_index_;
    }
    SendSyncRequest();
  }
}

void store_sync::SendSyncRequest() {
  const auto* reader =
      host_.directory.PickStoreReader(kStoreReaders, reader_index_);
  if (reader == nullptr) return;
  followed_host_ = reader->newest.host.value();
  followed_log_ = followed_host_ + reader->newest.incarnation;
  ++request_number_;
  request_sent_at_ = host_.time.now();
  send_request(
      reader->digest_address,
      serving::EncodeSyncRequest({request_number_, followed_log_,
                                  follower_.PositionIn(followed_log_)}));
}

std::optional<std::string> store_sync::RespondToSync(std::string_view bytes) {
  const auto request = serving::DecodeSyncRequest(bytes);
  if (!request) {
    host_.log.Write("question_unreadable",
                    {{"detail", request.error().detail}});
    return std::nullopt;
  }
  // A reader that cannot reach the store has no current data.
  if (!reads_store_ || host_.time.now() - store_read_at_ > kMaxFollowedAge ||
      host_.config == nullptr) {
    return std::nullopt;
  }
  serving::sync_response response;
  response.number = request->number;
  response.config_version = host_.config->version;
  response.store_era = host_.store_era;
  // Rounded up, as below.
  response.records_age = std::chrono::duration_cast<milliseconds>(
                             host_.time.now() - store_read_at_) +
                         milliseconds(1);
  if (const auto age = host_.freshness.Age()) {
    // Rounded up: the age must not be understated.
    response.config_age =
        std::chrono::duration_cast<milliseconds>(*age) + milliseconds(1);
  }
  if (host_.evacuations.enabled() && host_.evacuations.known()) {
    response.evacuated = host_.evacuations.zones();
  }
  const bool same_log =
      request->log == host_.settings.id.value() + host_.incarnation;
  response.records =
      log_.Since(same_log ? request->position : 0, kRecordsPerResponse);
  return serving::EncodeSyncResponse(response);
}

// The age is counted from the time of the request, so a delayed response makes
// the data look older, never newer.
void store_sync::OnSyncResponse(std::string_view bytes) {
  const auto response = serving::DecodeSyncResponse(bytes);
  if (!response) {
    host_.log.Write("answer_unreadable", {{"detail", response.error().detail}});
    return;
  }
  if (response->number != request_number_ ||
      response->records.log != followed_log_) {
    return;
  }
  response_at_ = host_.time.now();
  if (response->store_era) OnEra(*response->store_era);
  OnPeerConfig(response->config_version);
  if (response->config_age && host_.config != nullptr &&
      host_.config->version == response->config_version &&
      response->config_version == NewestConfig()) {
    host_.freshness.Confirm(request_sent_at_ - *response->config_age);
  }
  // A host that does not report versions cannot be followed.
  if (response->records.version.revision == 0) return;
  const auto read_at = request_sent_at_ - response->records_age;
  if (response->evacuated) ApplyEvacuations(*response->evacuated, read_at);
  const auto before = follower_.PositionIn(response->records.log);
  const bool complete = follower_.Apply(response->records);
  const auto position = follower_.PositionIn(response->records.log);
  if (!complete && position > before) SendSyncRequest();
  if (!complete) return;
  // Records of a later version are at least as recent.
  if (!host_.evacuations.enabled() || response->evacuated) {
    records_at_ = std::max(records_at_, read_at);
  }
  if (Supersede({followed_host_, response->records.log, position},
                response->records.version, read_at)) {
    host_.records.Apply(response->records.version, follower_.Records(),
                        response->records.kept, followed_host_, read_at);
    OnColdRecords(host_);
  }
  if (response->evacuated) LogEvacuations();
}

bool store_sync::Supersede(const record_source& source,
                           const serving::store_version& version,
                           clock::time_point read_at) {
  const bool ignored = version < host_.records.version();
  if (ignored && !ignored_) {
    host_.log.Write("records_ignored",
                    {{"source", source.name},
                     {"version", VersionText(version)},
                     {"newest", VersionText(host_.records.version())}});
  }
  ignored_ = ignored;
  if (ignored) return false;
  const bool unchanged =
      source.log == applied_.log && source.position == applied_.position;
  if (unchanged) host_.records.Confirm(version, read_at);
  applied_ = source;
  return !unchanged;
}

void store_sync::LogKeptRecords() {
  std::string kept;
  for (const auto& [engine, listed] : log_.Kept()) kept += engine.value() + " ";
  if (kept == kept_) return;
  kept_ = std::move(kept);
  host_.log.Write("records_kept", {{"engines", kept_}});
}

// Counts store reads, and logs when the store becomes unavailable or available.
void store_sync::OnStoreRead(const char* what, clock::time_point sent,
                             bool answered, const std::string& why) {
  host_.metrics.Count(answered ? "store_read" : "store_read_failed");
  store_failures_ = answered ? 0 : store_failures_ + 1;
  if (answered) {
    host_.store_contact.OnRead(sent);
    OnEra(*host_.store.Era());
  }
  if (answered == !store_lost_) return;
  store_lost_ = !answered;
  host_.log.Write(
      answered ? "store_regained" : "store_lost",
      {{"read", what}, {"detail", why}, {"config_age_ms", ConfigAgeText()}});
}

// Each failure is logged, also while `store_lost` was logged for another read.
void store_sync::LogConfigNotRead(const std::string& why) {
  host_.log.Write(
      "config_not_read",
      {{"version",
        host_.config == nullptr ? "" : std::to_string(host_.config->version)},
       {"newest", std::to_string(NewestConfig())},
       {"detail", why},
       {"config_age_ms", ConfigAgeText()}});
}

std::string store_sync::ConfigAgeText() const {
  const auto age = host_.freshness.Age();
  return age ? MillisecondText(*age) : "";
}

void store_sync::OnEra(std::uint64_t era) {
  if (host_.store_era && era <= *host_.store_era) return;
  if (host_.store_era) {
    host_.log.Write("store_restored",
                    {{"era", std::to_string(era)},
                     {"before", std::to_string(*host_.store_era)}});
    host_.store_contact.OnRestored();
  }
  host_.store_era = era;
}

void store_sync::ApplyConfig(
    std::shared_ptr<const serving::serving_config> read) {
  host_.config = std::move(read);
  host_.freshness.SetSuperseded(!HasNewestConfig());
  OnColdRecords(host_);
  for (const auto& account : host_.config->accounts) {
    host_.quota.SetLimit(account.id,
                         {account.tokens_per_s, account.burst_tokens},
                         host_.settings.quota_window);
  }
  std::set<serving::service_id> resumable;
  for (const auto& route : host_.config->routes) {
    if (!route.resumable) continue;
    for (const auto& target : route.services) resumable.insert(target.service);
  }
  host_.versions.SetServices(std::move(resumable));
  host_.changed.Notify();
  if (host_.on_config) host_.on_config();
  host_.metrics.SetGauge("config_version",
                         static_cast<double>(host_.config->version));
  host_.log.Write("config_applied",
                  {{"version", std::to_string(host_.config->version)},
                   {"routes", std::to_string(host_.config->routes.size())},
                   {"accounts", std::to_string(host_.config->accounts.size())},
                   {"keys", std::to_string(host_.config->keys.size())}});
}

// Lists again when records that were kept because of an outage expire.
milliseconds store_sync::TimeToNextListing() const {
  if (!host_.store_contact.MayLackRecords()) return kEnginesInterval;
  const auto left = host_.store_contact.LacksRecordsUntil() - host_.time.now();
  return std::min(kEnginesInterval, ToMilliseconds(left) + milliseconds(1));
}

milliseconds store_sync::RetryInterval() const {
  const int doublings = std::clamp(store_failures_ - 1, 0, 3);
  return std::min(kRetryInterval * (1 << doublings), kMaxRetryInterval);
}

}  // namespace bluebell::edge
