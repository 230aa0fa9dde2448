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

constexpr milliseconds kStoreRetry{200};
constexpr milliseconds kAnnounceRetry{500};
constexpr milliseconds kPeerTimeout{1'000};
constexpr const char* kWriterField = "writer";

// Operators' fields of a value, to compare edits with stored rows.
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
  /// Whether the edit is a removal.
  bool removes = false;
  /// Whether the row may be created in place of a tombstone.
  bool creates = false;
  /// Whether an earlier attempt to write may have taken effect.
  bool may_be_stored = false;
  /// Version of the stored row; 0 until the write is confirmed.
  revision stored;
  std::set<host_id> in_force_at;
  std::set<host_id> waiting_for;
  callback done;
  timer_handle deadline;
  timer_handle retry;

  std::string object_name() const { return kObjectPrefix + name; }
};

config_editor::config_editor(snapshot& in_force, store::object_store& store,
                             peer::peer_network& peers,
                             const fleet::fleet_view& fleet, clock& time,
                             event_log& events)
    : in_force_(in_force),
      store_(store),
      peers_(peers),
      fleet_(fleet),
      clock_(time),
      events_(events) {}

config_editor::~config_editor() = default;

void config_editor::Put(const table_kind& table, const std::string& id,
                        const json& value, revision expected, callback done) {
  auto row = ParseEntered(table, id, value);
  if (!row) {
    const problem invalid{problem_code::kInvalidRow, row.error().detail,
                          executed::kNo};
    done(tl::unexpected(edit_refused{invalid, std::nullopt}));
    return;
  }
  Begin(table.name + "/" + id, *std::move(row), expected, std::move(done));
}

void config_editor::Remove(const table_kind& table, const std::string& id,
                           revision expected, callback done) {
  if (!IsRowId(id)) {
    const problem invalid{problem_code::kRowNotFound,
                          "no row can have this name", executed::kNo};
    done(tl::unexpected(edit_refused{invalid, std::nullopt}));
    return;
  }
  Begin(table.name + "/" + id, json{{"deleted", true}}, expected,
        std::move(done));
}

void config_editor::Begin(const std::string& name, json value,
                          revision expected, callback done) {
  const auto current = std::make_shared<edit>();
  current->name = name;
  current->removes = IsTombstone(value);
  current->creates = !current->removes && expected == revision();
  current->writer = MakeUniqueId();
  value[kWriterField] = current->writer;
  current->value = std::move(value);
  current->expected = expected;
  current->done = std::move(done);
  open_.insert(current);
  if (const auto refusal = CheckStatus()) {
    Refuse(current, refusal->code, refusal->detail);
    return;
  }
  current->deadline = clock_.CallAfter(
      kStoreTimeout, [this, weak = std::weak_ptr<edit>(current)] {
        const auto late = weak.lock();
        if (late == nullptr) return;
        late->may_be_stored = true;
        Refuse(late, problem_code::kOutcomeUnknown,
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
               if (const auto open = weak.lock()) OnWritten(open, answer);
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
      OnOtherVersion(current,
                     cause.conflict ? cause.conflict->current : std::nullopt);
      return;
    case error_code::kNotFound:
      OnOtherVersion(current, std::nullopt);
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
               if (const auto open = weak.lock()) OnReadBack(open, answer);
             });
}

// If the object is unchanged, the first write may still arrive later, so it is
// repeated with the same writer id: the platform accepts only one of the two.
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
  OnOtherVersion(current,
                 absent ? std::nullopt : std::optional<store::object>(*answer));
}

// The object is not at the expected version: it holds this edit already, an
// equal one, a tombstone that may be replaced, or the edit of someone else.
void config_editor::OnOtherVersion(const edit_ptr& current,
                                   const std::optional<store::object>& found) {
  if (!found) {
    Refuse(current,
           current->removes ? problem_code::kRowNotFound
                            : problem_code::kRevisionConflict,
           "the row does not exist");
    return;
  }
  const bool mine = IsWrittenBy(found->value, current->writer);
  if (mine || WithoutWriter(found->value) == WithoutWriter(current->value)) {
    current->value = found->value;
    OnStored(current, found->version);
    return;
  }
  if (current->creates && IsTombstone(found->value) &&
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
      kStoreRetry, [this, step, weak = std::weak_ptr<edit>(current)] {
        if (const auto open = weak.lock()) (this->*step)(open);
      });
}

void config_editor::OnStored(const edit_ptr& current, revision version) {
  current->stored = version;
  in_force_.Apply({current->name, version, current->value});
  current->in_force_at.insert(fleet_.self());
  current->deadline = clock_.CallAfter(
      kAnnounceTimeout, [this, weak = std::weak_ptr<edit>(current)] {
        const auto late = weak.lock();
        if (late == nullptr) return;
        Finish(late, edit_done{{late->name, late->stored, late->value}, false});
      });
  Announce(current);
}

// Sends the row to every host that has not confirmed it, again after a while
// to those that did not answer, until a majority of members has it.
void config_editor::Announce(const edit_ptr& current) {
  std::set<host_id> hosts;
  for (const auto& host : fleet_.Members()) hosts.insert(host);
  for (const auto& host : fleet_.LiveHosts()) hosts.insert(host);
  for (const auto& host : hosts) {
    if (current->in_force_at.count(host) == 0 &&
        current->waiting_for.count(host) == 0) {
      AnnounceTo(current, host);
    }
  }
  if (IsInForceAtMajority(*current)) {
    Finish(current,
           edit_done{{current->name, current->stored, current->value}, true});
    return;
  }
  current->retry = clock_.CallAfter(
      kAnnounceRetry, [this, weak = std::weak_ptr<edit>(current)] {
        if (const auto open = weak.lock()) Announce(open);
      });
}

void config_editor::AnnounceTo(const edit_ptr& current, const host_id& host) {
  current->waiting_for.insert(host);
  const config_announce message{
      {{current->name, current->stored, current->value}}};
  peers_.Request(
      host, kConfigAnnounce, ToJson(message), kPeerTimeout,
      [this, host,
       weak = std::weak_ptr<edit>(current)](const result<json>& answer) {
        const auto open = weak.lock();
        if (open == nullptr) return;
        open->waiting_for.erase(host);
        const auto applied = answer.and_then(ParseConfigApplied);
        if (!applied || !applied->applied) return;
        open->in_force_at.insert(host);
        if (IsInForceAtMajority(*open)) {
          Finish(open,
                 edit_done{{open->name, open->stored, open->value}, true});
        }
      });
}

// Reads the member list at each call, because it may change meanwhile.
bool config_editor::IsInForceAtMajority(const edit& current) const {
  const auto members = fleet_.Members();
  const auto confirmed =
      std::count_if(members.begin(), members.end(), [&](const host_id& member) {
        return current.in_force_at.count(member) > 0;
      });
  return static_cast<std::size_t>(confirmed) * 2 > members.size();
}

void config_editor::Refuse(const edit_ptr& current, problem_code code,
                           const std::string& detail,
                           std::optional<stored_row> found) {
  const executed run =
      current->may_be_stored ? executed::kUnknown : executed::kNo;
  Finish(current,
         tl::unexpected(edit_refused{{code, detail, run}, std::move(found)}));
}

void config_editor::Finish(const edit_ptr& current, edit_result outcome) {
  if (open_.erase(current) == 0) return;
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
