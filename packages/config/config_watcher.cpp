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
constexpr milliseconds kAnswerMargin{2'000};
constexpr milliseconds kListTimeout{5'000};
constexpr milliseconds kFirstRetry{200};
constexpr milliseconds kLongestRetry{5'000};
constexpr int kMaxDoublings = 5;
constexpr milliseconds kPeerTimeout{1'000};
/// A peer that already answered for a revision is asked again after this time,
/// because it may have received older rows since.
constexpr milliseconds kPeerRepeat{2'000};
/// Half of the 1 MB message limit, so that the envelope and the last row of a
/// page fit in any case.
constexpr std::size_t kPageBytes = 512 * 1024;

std::size_t SizeOf(const stored_row& row) {
  constexpr std::size_t kFieldNames = 64;
  return row.name.size() + kFieldNames +
         row.value
             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
             .size();
}

std::string ToText(revision value) { return std::to_string(value.value()); }

}  // namespace

struct config_watcher::pull {
  host_id peer;
  revision heard;
  /// Lower end of the next page.
  revision after;
  /// Lowest `through` of all pages; rows may reach the peer between two pages
  /// below the part that was already sent.
  std::optional<revision> through;
  bool complete = true;
};

config_watcher::config_watcher(snapshot& in_force, store::object_store& store,
                               peer::peer_network& peers, clock& time,
                               event_log& events)
    : in_force_(in_force),
      store_(store),
      peers_(peers),
      clock_(time),
      events_(events) {
  const std::weak_ptr<int> alive = alive_;
  in_force_.Subscribe([this, alive](const stored_row& row) {
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
                        in_force_.Apply(row);
                      answer(ToJson(config_applied{true}));
                    });
}

void config_watcher::Start() { CallStore(); }

// Lists until a first complete configuration is held, then watches. The
// platform may never answer, so each call has a deadline here.
void config_watcher::CallStore() {
  const std::uint64_t call = ++call_;
  const std::weak_ptr<int> alive = alive_;
  const bool watching = in_force_.complete();
  const auto started = clock_.now();
  const auto on_answer = [this, alive, call, watching,
                          started](result<store::object_list> answer) {
    if (alive.expired()) return;
    const bool early = watching && clock_.now() - started < kWatchWait / 2;
    OnStoreAnswer(call, early, answer);
  };
  const auto limit = watching ? kWatchWait + kAnswerMargin : kListTimeout;
  call_deadline_ = clock_.CallAfter(limit, [this, call] {
    if (call == call_) OnStoreFailure("no answer in time");
  });
  if (watching) {
    store_.Watch(kObjectPrefix, through_, kWatchWait, on_answer);
  } else {
    store_.List(kObjectPrefix, on_answer);
  }
}

// An answer to an abandoned call still brings valid rows, but starts no
// further call.
void config_watcher::OnStoreAnswer(std::uint64_t call, bool empty_is_early,
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
  // Without this pause, a platform that answers watches at once without
  // changes would be called in a tight loop.
  if (answer->items.empty() && empty_is_early) {
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

// The delay doubles up to a limit and differs between hosts, so that they do
// not call a recovering platform at the same moment.
void config_watcher::RetryLater() {
  const int doublings = std::clamp(failures_ - 1, 0, kMaxDoublings);
  const auto longest = std::min(kFirstRetry * (1 << doublings), kLongestRetry);
  const auto spread = Hash64(events_.host().value(), call_) % 1000;
  const auto delay =
      longest / 2 + longest * static_cast<std::int64_t>(spread) / 2000;
  retry_ = clock_.CallAfter(delay, [this] { CallStore(); });
}

void config_watcher::ApplyList(const store::object_list& list) {
  const std::size_t prefix = std::string(kObjectPrefix).size();
  for (const auto& item : list.items) {
    if (item.name.compare(0, prefix, kObjectPrefix) != 0) continue;
    in_force_.Apply({item.name.substr(prefix), item.version, item.value});
  }
  through_ = std::max(through_, list.as_of);
  MarkComplete("platform");
}

void config_watcher::MarkComplete(const std::string& source) {
  if (in_force_.complete()) return;
  in_force_.set_complete();
  events_.Record(event_id::kConfigComplete,
                 {{"source", source}, {"revision", ToText(through_)}});
}

void config_watcher::OnPeerRevision(const host_id& peer, revision heard) {
  if (in_force_.complete() && heard <= through_) return;
  if (pull_ != nullptr) return;
  const auto known = asked_.find(peer);
  if (known != asked_.end() && known->second.answered >= heard &&
      clock_.now() - known->second.asked_at < kPeerRepeat) {
    return;
  }
  pull_ = std::make_shared<pull>();
  pull_->peer = peer;
  pull_->heard = heard;
  pull_->after = through_;
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

// A failed page ends the attempt; rows that came before it are kept, and the
// next heartbeat starts a new attempt.
void config_watcher::OnPage(const std::shared_ptr<pull>& current,
                            const result<nlohmann::json>& answer) {
  const auto page =
      answer ? ParseConfigPage(*answer)
             : result<config_page>(tl::unexpected<error>(answer.error()));
  if (!page) {
    pull_.reset();
    return;
  }
  const revision newest_before = in_force_.newest();
  for (const auto& row : page->rows) in_force_.Apply(row);
  if (in_force_.newest() > newest_before) {
    events_.Record(event_id::kConfigFromPeer,
                   {{"peer", current->peer.value()},
                    {"revision", ToText(in_force_.newest())}});
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
  asked_[current->peer] = {current->heard, clock_.now()};
  pull_.reset();
  if (page->more || !current->complete) return;
  through_ = std::max(through_, *current->through);
  MarkComplete("host " + current->peer.value());
}

config_page config_watcher::MakePage(revision after) const {
  config_page page;
  page.through = through_;
  page.complete = in_force_.complete();
  std::size_t bytes = 0;
  for (auto& row : in_force_.ChangedSince(after)) {
    bytes += SizeOf(row);
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
  const table_kind* table = FindTable(row.name.substr(0, slash));
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
