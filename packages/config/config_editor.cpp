#include "config/config_editor.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "config/messages.h"
#include "config/row_names.h"

namespace bluebell::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStoreRetryDelay{200};
constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kPeerTimeout{1'000};
constexpr const char* kWriterField = "writer";

// Removes the writer id, so that an edit can be compared with a stored row.
json WithoutWriter(json value) {
  if (value.is_object()) value.erase(kWriterField);
  return value;
}

bool IsWrittenBy(const json& value, const std::string& writer) {
  if (!value.is_object()) return false;
  const auto field = value.find(kWriterField);
  return field != value.end() && *field == writer;
}

}  // namespace

struct config_editor::edit {
  /// `<table>/<row>`.
  std::string name;
  json value;
  std::string writer;
  revision expected;
  bool is_removal = false;
  /// Whether the edit creates a row, which may replace a tombstone.
  bool may_replace_tombstone = false;
  /// Whether an earlier write attempt may have been applied by the store.
  bool may_be_stored = false;
  /// Version of the stored row; 0 until the write is confirmed.
  revision stored;
  std::set<host_id> confirmed_hosts;
  std::set<host_id> pending_hosts;
  callback done;
  timer_handle deadline;
  timer_handle retry;

  std::string object_name() const { return kObjectPrefix + name; }
};

config_editor::config_editor(snapshot& active_config,
                             store::object_store& store,
                             peer::peer_network& peers,
                             const fleet::fleet_view& fleet, clock& time,
                             event_log& events)
    : active_config_(active_config),
      store_(store),
      peers_(peers),
      fleet_(fleet),
      clock_(time),
      events_(events) {}

config_editor::~config_editor() = default;

void config_editor::Put(const table_schema& table, const std::string& id,
                        const json& value, revision expected, callback done) {
  auto row = ParseEntered(table, id, value);
  if (!row) {
    const problem invalid{problem_code::kInvalidRow, row.error().detail,
                          executed::kNo};
    done(tl::unexpected(edit_error{invalid, std::nullopt}));
    return;
  }
  StartEdit(table.name + "/" + id, *std::move(row), expected, std::move(done));
}

void config_editor::Remove(const table_schema& table, const std::string& id,
                           revision expected, callback done) {
  if (!IsRowId(id)) {
    const problem invalid{problem_code::kRowNotFound,
                          "no row can have this name", executed::kNo};
    done(tl::unexpected(edit_error{invalid, std::nullopt}));
    return;
  }
  StartEdit(table.name + "/" + id, json{{"deleted", true}}, expected,
            std::move(done));
}

void config_editor::StartEdit(const std::string& name, json value,
                              revision expected, callback done) {
  const auto current = std::make_shared<edit>();
  current->name = name;
  current->is_removal = IsTombstone(value);
  current->may_replace_tombstone =
      !current->is_removal && expected == revision();
  current->writer = MakeUniqueId();
  value[kWriterField] = current->writer;
  current->value = std::move(value);
  current->expected = expected;
  current->done = std::move(done);
  pending_edits_.insert(current);
  if (const auto refusal = CheckStatus()) {
    Refuse(current, refusal->code, refusal->detail);
    return;
  }
  current->deadline = clock_.CallAfter(
      kStoreTimeout, [this, weak = std::weak_ptr<edit>(current)] {
        const auto expired = weak.lock();
        if (expired == nullptr) return;
        expired->may_be_stored = true;
        Refuse(expired, problem_code::kOutcomeUnknown,
               "the platform did not confirm the write in time; the edit may "
               "be repeated");
      });
  Write(current);
}

std::optional<problem> config_editor::CheckStatus() const {
  switch (fleet_.status()) {
    case fleet::host_status::kConnected:
      return std::nullopt;
    case fleet::host_status::kOutage:
      return problem{problem_code::kPlatformUnavailable,
                     "the platform is unavailable", executed::kNo};
    case fleet::host_status::kIsolated:
      return problem{problem_code::kHostIsolated,
                     "this host has no contact with the platform and with a "
                     "majority of members",
                     executed::kNo};
  }
  return std::nullopt;
}

void config_editor::Write(const edit_ptr& current) {
  store_.Put(current->object_name(), current->value, current->expected,
             [this, weak = std::weak_ptr<edit>(current)](
                 const store::write_result& answer) {
               if (const auto pending = weak.lock()) OnWritten(pending, answer);
             });
}

void config_editor::OnWritten(const edit_ptr& current,
                              const store::write_result& answer) {
  if (current->stored > revision()) return;
  if (answer) {
    OnStored(current, *answer);
    return;
  }
  const store::write_error& cause = answer.error();
  switch (cause.cause.code) {
    case error_code::kConflict:
      OnVersionMismatch(
          current, cause.conflict ? cause.conflict->current : std::nullopt);
      return;
    case error_code::kNotFound:
      OnVersionMismatch(current, std::nullopt);
      return;
    case error_code::kUnavailable:
      if (current->may_be_stored) {
        RetryLater(current, &config_editor::ReadBack);
      } else {
        Refuse(current, problem_code::kPlatformUnavailable, cause.cause.detail);
      }
      return;
    case error_code::kTooLarge:
    case error_code::kInvalidArgument:
    case error_code::kRefused:
      Refuse(current, problem_code::kInvalidRow, cause.cause.detail);
      return;
    case error_code::kOutcomeUnknown:
    case error_code::kTimeout:
      current->may_be_stored = true;
      ReadBack(current);
      return;
  }
}

void config_editor::ReadBack(const edit_ptr& current) {
  store_.Get(current->object_name(),
             [this, weak = std::weak_ptr<edit>(current)](
                 const result<store::object>& answer) {
               if (const auto pending = weak.lock())
                 OnReadBack(pending, answer);
             });
}

// If the object is unchanged, the first write may still be in flight. It is
// repeated with the same expected version and writer id, so the platform
// accepts only one of the two.
void config_editor::OnReadBack(const edit_ptr& current,
                               const result<store::object>& answer) {
  const bool absent = !answer && answer.error().code == error_code::kNotFound;
  if (!answer && !absent) {
    RetryLater(current, &config_editor::ReadBack);
    return;
  }
  const revision version = absent ? revision() : answer->version;
  if (version == current->expected) {
    RetryLater(current, &config_editor::Write);
    return;
  }
  OnVersionMismatch(
      current, absent ? std::nullopt : std::optional<store::object>(*answer));
}

// Handles an object that is not at the expected version: it holds this edit,
// one with equal content, a tombstone that may be replaced, or a conflicting
// edit.
void config_editor::OnVersionMismatch(
    const edit_ptr& current, const std::optional<store::object>& found) {
  if (!found) {
    Refuse(current,
           current->is_removal ? problem_code::kRowNotFound
                               : problem_code::kRevisionConflict,
           "the row does not exist");
    return;
  }
  const bool is_own_write = IsWrittenBy(found->value, current->writer);
  if (is_own_write ||
      WithoutWriter(found->value) == WithoutWriter(current->value)) {
    current->value = found->value;
    OnStored(current, found->version);
    return;
  }
  if (current->may_replace_tombstone && IsTombstone(found->value) &&
      found->version > current->expected) {
    current->expected = found->version;
    Write(current);
    return;
  }
  Refuse(current, problem_code::kRevisionConflict,
         IsTombstone(found->value)
             ? "the row was removed"
             : "the row has revision " + std::to_string(found->version.value()),
         stored_row{current->name, found->version, found->value});
}

void config_editor::RetryLater(const edit_ptr& current,
                               void (config_editor::*step)(const edit_ptr&)) {
  current->retry = clock_.CallAfter(
      kStoreRetryDelay, [this, step, weak = std::weak_ptr<edit>(current)] {
        if (const auto pending = weak.lock()) (this->*step)(pending);
      });
}

void config_editor::OnStored(const edit_ptr& current, revision version) {
  current->stored = version;
  active_config_.Apply({current->name, version, current->value});
  current->confirmed_hosts.insert(fleet_.self());
  current->deadline = clock_.CallAfter(
      kAnnounceTimeout, [this, weak = std::weak_ptr<edit>(current)] {
        const auto expired = weak.lock();
        if (expired == nullptr) return;
        Finish(expired,
               stored_edit{{expired->name, expired->stored, expired->value},
                           false});
      });
  Announce(current);
}

// Sends the row to every host that has not confirmed it and has no request
// pending. Repeats every `kAnnounceInterval` until a majority of members has
// confirmed.
void config_editor::Announce(const edit_ptr& current) {
  std::set<host_id> hosts;
  for (const auto& host : fleet_.Members()) hosts.insert(host);
  for (const auto& host : fleet_.LiveHosts()) hosts.insert(host);
  for (const auto& host : hosts) {
    if (current->confirmed_hosts.count(host) == 0 &&
        current->pending_hosts.count(host) == 0) {
      AnnounceTo(current, host);
    }
  }
  if (IsConfirmedByMajority(*current)) {
    Finish(current,
           stored_edit{{current->name, current->stored, current->value}, true});
    return;
  }
  current->retry = clock_.CallAfter(
      kAnnounceInterval, [this, weak = std::weak_ptr<edit>(current)] {
        if (const auto pending = weak.lock()) Announce(pending);
      });
}

void config_editor::AnnounceTo(const edit_ptr& current, const host_id& host) {
  current->pending_hosts.insert(host);
  const config_announce message{
      {{current->name, current->stored, current->value}}};
  peers_.Request(
      host, kConfigAnnounce, ToJson(message), kPeerTimeout,
      [this, host,
       weak = std::weak_ptr<edit>(current)](const result<json>& answer) {
        const auto pending = weak.lock();
        if (pending == nullptr) return;
        pending->pending_hosts.erase(host);
        const auto applied = answer.and_then(ParseConfigApplied);
        if (!applied || !applied->applied) return;
        pending->confirmed_hosts.insert(host);
        if (IsConfirmedByMajority(*pending)) {
          Finish(pending,
                 stored_edit{{pending->name, pending->stored, pending->value},
                             true});
        }
      });
}

// Reads the member list on each call, because membership may change during the
// announcement.
bool config_editor::IsConfirmedByMajority(const edit& current) const {
  const auto members = fleet_.Members();
  const auto confirmed =
      std::count_if(members.begin(), members.end(), [&](const host_id& member) {
        return current.confirmed_hosts.count(member) > 0;
      });
  return static_cast<std::size_t>(confirmed) * 2 > members.size();
}

void config_editor::Refuse(const edit_ptr& current, problem_code code,
                           const std::string& detail,
                           std::optional<stored_row> found) {
  const executed run =
      current->may_be_stored ? executed::kUnknown : executed::kNo;
  Finish(current,
         tl::unexpected(edit_error{{code, detail, run}, std::move(found)}));
}

void config_editor::Finish(const edit_ptr& current, edit_result outcome) {
  if (pending_edits_.erase(current) == 0) return;
  current->deadline.reset();
  current->retry.reset();
  const event_field row{"row", PrintableName(current->name)};
  if (outcome) {
    events_.Record(
        outcome->confirmed ? event_id::kConfigEditAccepted
                           : event_id::kConfigEditUnconfirmed,
        {row, {"revision", std::to_string(current->stored.value())}});
  } else {
    const problem& what = outcome.error().what;
    events_.Record(event_id::kConfigEditRefused,
                   {row,
                    {"code", Describe(what.code).code},
                    {"executed", ToString(what.run)}});
  }
  current->done(std::move(outcome));
}

}  // namespace bluebell::config
