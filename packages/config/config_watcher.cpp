#include "config/config_watcher.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "config/row_names.h"
#include "config/tables.h"

namespace bluebell::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWatchWait{20'000};
constexpr milliseconds kResponseMargin{2'000};
constexpr milliseconds kListTimeout{5'000};
constexpr milliseconds kInitialRetryDelay{200};
constexpr milliseconds kMaxRetryDelay{5'000};
constexpr int kMaxDoublings = 5;
constexpr milliseconds kPeerTimeout{1'000};
/// A peer that already answered for a revision is asked again after this
/// interval, because it may have received older rows since then.
constexpr milliseconds kPeerRequestInterval{2'000};
/// Half of the 1 MB message limit, which leaves room for the message envelope
/// and the last row of a page.
constexpr std::size_t kPageBytes = 512 * 1024;

std::size_t EstimateSize(const stored_row& row) {
  constexpr std::size_t kFieldNameBytes = 64;
  return row.name.size() + kFieldNameBytes +
         row.value
             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
             .size();
}

std::string ToText(revision value) { return std::to_string(value.value()); }

}  // namespace

struct config_watcher::pull {
  host_id peer;
  revision reported;
  /// The next page holds rows above this revision.
  revision after;
  /// Minimum `through` of all pages: between two pages, the peer may receive
  /// rows with versions below those that it already sent.
  std::optional<revision> through;
  bool complete = true;
};

config_watcher::config_watcher(snapshot& active_config,
                               store::object_store& store,
                               peer::peer_network& peers, clock& time,
                               event_log& events)
    : active_config_(active_config),
      store_(store),
      peers_(peers),
      clock_(time),
      events_(events) {
  const std::weak_ptr<int> alive = alive_;
  active_config_.Subscribe([this, alive](const stored_row& row) {
    if (!alive.expired()) ReportIfInvalid(row);
  });
  peers_.SetHandler(kConfigSince,
                    [this, alive](const host_id&, const nlohmann::json& body,
                                  peer::peer_network::respond answer) {
                      const auto request = ParseConfigSince(body);
                      if (!alive.expired() && request)
                        answer(ToJson(MakePage(request->after)));
                    });
  peers_.SetHandler(kConfigAnnounce,
                    [this, alive](const host_id&, const nlohmann::json& body,
                                  peer::peer_network::respond answer) {
                      const auto request = ParseConfigAnnounce(body);
                      if (alive.expired() || !request) return;
                      for (const auto& row : request->rows)
                        active_config_.Apply(row);
                      answer(ToJson(config_applied{true}));
                    });
}

void config_watcher::Start() { CallStore(); }

// Lists until the configuration is complete, then watches. Each call has a
// local deadline, because the platform may never answer.
void config_watcher::CallStore() {
  const std::uint64_t call = ++call_;
  const std::weak_ptr<int> alive = alive_;
  const bool watching = active_config_.complete();
  const auto started = clock_.now();
  const auto on_answer = [this, alive, call, watching,
                          started](result<store::object_list> answer) {
    if (alive.expired()) return;
    const bool answered_early =
        watching && clock_.now() - started < kWatchWait / 2;
    OnStoreAnswer(call, answered_early, answer);
  };
  const auto limit = watching ? kWatchWait + kResponseMargin : kListTimeout;
  call_deadline_ = clock_.CallAfter(limit, [this, call] {
    if (call == call_) OnStoreFailure("no answer in time");
  });
  if (watching) {
    store_.Watch(kObjectPrefix, synced_revision_, kWatchWait, on_answer);
  } else {
    store_.List(kObjectPrefix, on_answer);
  }
}

// The rows in an answer to a call that timed out are valid and are applied, but
// such an answer does not start another call.
void config_watcher::OnStoreAnswer(std::uint64_t call, bool answered_early,
                                   const result<store::object_list>& answer) {
  if (answer) ApplyList(*answer);
  if (call != call_) return;
  if (!answer) {
    OnStoreFailure(ToString(answer.error().code));
    return;
  }
  if (failures_ > 0) events_.Record(event_id::kConfigWatchRestored);
  failures_ = 0;
  call_deadline_.reset();
  // Avoids a busy loop if the platform answers watches immediately without
  // changes.
  if (answer->items.empty() && answered_early) {
    RetryLater();
  } else {
    CallStore();
  }
}

void config_watcher::OnStoreFailure(const std::string& cause) {
  ++call_;
  call_deadline_.reset();
  if (failures_ == 0) {
    events_.Record(event_id::kConfigWatchLost, {{"cause", cause}});
  }
  ++failures_;
  RetryLater();
}

// Exponential backoff with a per-host jitter, so that hosts do not all call a
// recovering platform at the same time.
void config_watcher::RetryLater() {
  const int doublings = std::clamp(failures_ - 1, 0, kMaxDoublings);
  const auto max_delay =
      std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
  const auto jitter = Hash64(events_.host().value(), call_) % 1000;
  const auto delay =
      max_delay / 2 + max_delay * static_cast<std::int64_t>(jitter) / 2000;
  retry_ = clock_.CallAfter(delay, [this] { CallStore(); });
}

void config_watcher::ApplyList(const store::object_list& list) {
  const std::size_t prefix = std::string(kObjectPrefix).size();
  for (const auto& item : list.items) {
    if (item.name.compare(0, prefix, kObjectPrefix) != 0) continue;
    active_config_.Apply({item.name.substr(prefix), item.version, item.value});
  }
  synced_revision_ = std::max(synced_revision_, list.as_of);
  MarkComplete("platform");
}

void config_watcher::MarkComplete(const std::string& source) {
  if (active_config_.complete()) return;
  active_config_.set_complete();
  events_.Record(event_id::kConfigComplete,
                 {{"source", source}, {"revision", ToText(synced_revision_)}});
}

void config_watcher::OnPeerRevision(const host_id& peer, revision reported) {
  if (active_config_.complete() && reported <= synced_revision_) return;
  if (pull_ != nullptr) return;
  const auto last_request = last_requests_.find(peer);
  if (last_request != last_requests_.end() &&
      last_request->second.answered >= reported &&
      clock_.now() - last_request->second.requested_at < kPeerRequestInterval) {
    return;
  }
  pull_ = std::make_shared<pull>();
  pull_->peer = peer;
  pull_->reported = reported;
  pull_->after = synced_revision_;
  RequestPage(pull_);
}

void config_watcher::RequestPage(const std::shared_ptr<pull>& current) {
  const std::weak_ptr<int> alive = alive_;
  peers_.Request(current->peer, kConfigSince,
                 ToJson(config_since{current->after}), kPeerTimeout,
                 [this, alive, current](const result<nlohmann::json>& answer) {
                   if (!alive.expired()) OnPage(current, answer);
                 });
}

// A failed page ends the transfer. Rows of earlier pages are kept; the next
// heartbeat starts a new transfer.
void config_watcher::OnPage(const std::shared_ptr<pull>& current,
                            const result<nlohmann::json>& answer) {
  const auto page =
      answer ? ParseConfigPage(*answer)
             : result<config_page>(tl::unexpected<error>(answer.error()));
  if (!page) {
    pull_.reset();
    return;
  }
  const revision newest_before = active_config_.newest();
  for (const auto& row : page->rows) active_config_.Apply(row);
  if (active_config_.newest() > newest_before) {
    events_.Record(event_id::kConfigFromPeer,
                   {{"peer", current->peer.value()},
                    {"revision", ToText(active_config_.newest())}});
  }
  current->through = current->through
                         ? std::min(*current->through, page->through)
                         : page->through;
  current->complete = current->complete && page->complete;
  const bool advances =
      !page->rows.empty() && page->rows.back().version > current->after;
  if (page->more && advances) {
    current->after = page->rows.back().version;
    RequestPage(current);
    return;
  }
  last_requests_[current->peer] = {current->reported, clock_.now()};
  pull_.reset();
  if (page->more || !current->complete) return;
  synced_revision_ = std::max(synced_revision_, *current->through);
  MarkComplete("host " + current->peer.value());
}

config_page config_watcher::MakePage(revision after) const {
  config_page page;
  page.through = synced_revision_;
  page.complete = active_config_.complete();
  std::size_t bytes = 0;
  for (auto& row : active_config_.ChangedSince(after)) {
    bytes += EstimateSize(row);
    if (bytes > kPageBytes) {
      page.more = true;
      break;
    }
    page.rows.push_back(std::move(row));
  }
  return page;
}

void config_watcher::ReportIfInvalid(const stored_row& row) {
  if (IsTombstone(row.value)) return;
  const auto slash = row.name.find('/');
  const table_schema* table = FindTable(row.name.substr(0, slash));
  if (table == nullptr || slash == std::string::npos) return;
  const auto parsed =
      ParseStored(*table, row.name.substr(slash + 1), row.value);
  if (parsed) return;
  events_.Record(event_id::kConfigRowInvalid,
                 {{"row", PrintableName(row.name)},
                  {"revision", ToText(row.version)},
                  {"cause", parsed.error().detail}});
}

}  // namespace bluebell::config
