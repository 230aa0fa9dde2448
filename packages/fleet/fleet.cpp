#include "fleet/fleet.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "fleet/contact_tracker.h"
#include "fleet/heartbeat.h"
#include "fleet/host_status_machine.h"
#include "fleet/lease_keeper.h"
#include "fleet/membership_change.h"
#include "fleet/record_tracker.h"

namespace bluebell::fleet {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using store::object;
using store::object_list;

// Limit of concurrent platform probes. More than one, so that a slow answer
// does not interrupt the contact.
constexpr int kMaxOpenProbes = 4;

template <class Duration>
milliseconds ToMilliseconds(Duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

// State of another host as known locally.
struct known_host {
  std::optional<host_addresses> addresses;
  incarnation_id incarnation;
  // The peer knows the addresses of this host.
  bool addresses_acknowledged = false;
  bool leaving = false;
  double load = 0;
  revision config_revision;
  clock::time_point last_seen;
};

}  // namespace

class fleet::impl {
 public:
  impl(const fleet_settings& settings, fleet_hooks hooks,
       store::object_store& store, peer::peer_network& network, clock& time,
       event_log& events);
  ~impl();

  host_status Evaluate();
  bool HoldsLease() { return lease_.Holds(); }
  const fleet_settings& settings() const { return settings_; }
  const incarnation_id& incarnation();
  std::vector<entry_host> EntryHosts(const zone_id& zone) const;
  std::vector<host_id> LiveHosts() const;
  const member_list& list() const { return list_; }
  bool MayReclaim(const host_id& host, const incarnation_id& incarnation);
  std::vector<host_report> Hosts() const;
  void AnnounceLeaving();
  void Release(std::function<void()> done);

 private:
  // Wraps a callback so that it does nothing once the fleet is destroyed.
  template <class Callback>
  auto Guard(Callback callback) {
    return [alive = std::weak_ptr<bool>(alive_),
            callback](auto&&... arguments) mutable {
      if (!alive.expired()) {
        callback(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

  clock::time_point now() const { return time_.now(); }
  bool IsLive(const host_id& host) const;
  bool LeaseEnded(const host_id& host);

  void Tick();
  void ProbePlatform();
  void OnMembers(clock::time_point sent, const result<object>& found);
  void AdoptMembers(member_list list);
  void ResetMembers();
  void ReadRecords();
  void OnRecords(clock::time_point sent, const result<object_list>& found);
  void ChangeMembers();
  void OnMembersWritten(member_list written, clock::time_point sent,
                        const store::write_result& outcome);
  void RemoveOldRecords();
  void FinishRelease();

  void SendPings();
  void SendPing(const host_id& peer);
  heartbeat MakeHeartbeat(const host_id& peer);
  json OnPing(const host_id& sender, const json& body);
  void OnPingAnswer(const host_id& asked, clock::time_point sent,
                    const result<json>& answer);
  void OnHeartbeat(const heartbeat& message);
  void UpdateAddresses(const host_id& host, const host_addresses& addresses);
  void RequestDirectory(const host_id& peer);
  json OnDirectoryRequest();
  void OnDirectory(const result<json>& answer);

  fleet_settings settings_;
  fleet_hooks hooks_;
  store::object_store& store_;
  peer::peer_network& network_;
  clock& time_;
  event_log& events_;
  clock::time_point started_;

  contact_tracker contact_;
  host_status_machine status_;
  record_tracker records_;
  lease_keeper lease_;
  member_list list_;
  std::map<host_id, known_host> hosts_;
  std::set<std::string> seeds_;

  int open_probes_ = 0;
  bool members_read_ = false;
  clock::time_point members_read_sent_;
  bool reading_records_ = false;
  std::optional<clock::time_point> records_read_sent_;
  bool changing_members_ = false;
  bool directory_request_pending_ = false;
  bool leaving_ = false;
  bool released_ = false;
  std::function<void()> on_released_;
  timer_handle tick_timer_;
  std::shared_ptr<bool> alive_;
};

fleet::impl::impl(const fleet_settings& settings, fleet_hooks hooks,
                  store::object_store& store, peer::peer_network& network,
                  clock& time, event_log& events)
    : settings_(settings),
      hooks_(std::move(hooks)),
      store_(store),
      network_(network),
      time_(time),
      events_(events),
      started_(time.now()),
      contact_(settings.timing, settings.self),
      status_([this](host_status found) {
        events_.Record(event_id::kHostStatusChanged,
                       {{"status", ToString(found)}});
      }),
      lease_(
          {store, time, events,
           [this] { return Evaluate() == host_status::kOutage; },
           [this](clock::time_point sent) { contact_.RecordOwnContact(sent); }},
          settings.timing, settings.self, settings.addresses),
      seeds_(settings.seeds.begin(), settings.seeds.end()),
      alive_(std::make_shared<bool>(true)) {
  seeds_.erase(settings.addresses.peer);
  network_.SetHandler(heartbeat::kType,
                      [this, alive = std::weak_ptr<bool>(alive_)](
                          const host_id& sender, const json& body,
                          const peer::peer_network::respond& answer) {
                        if (alive.expired()) return;
                        auto reply = OnPing(sender, body);
                        if (!reply.is_null()) answer(std::move(reply));
                      });
  network_.SetHandler(directory::kType,
                      [this, alive = std::weak_ptr<bool>(alive_)](
                          const host_id&, const json&,
                          const peer::peer_network::respond& answer) {
                        if (!alive.expired()) answer(OnDirectoryRequest());
                      });
  if (hooks_.on_peer_address) {
    for (const auto& seed : seeds_) hooks_.on_peer_address(host_id(seed), seed);
  }
  tick_timer_ = time_.CallAfter({}, [this] { Tick(); });
}

fleet::impl::~impl() = default;

// Evaluates the current status and applies it to the state machine.
host_status fleet::impl::Evaluate() {
  const auto found = contact_.Evaluate(now());
  status_.Apply(found);
  return found;
}

// Evaluates the lease first: after an undetected lapse the stored incarnation
// is stale.
const incarnation_id& fleet::impl::incarnation() {
  lease_.Holds();
  return lease_.incarnation();
}

bool fleet::impl::IsLive(const host_id& host) const {
  return host == settings_.self ||
         contact_.RespondedWithin(host, settings_.timing.outage_threshold,
                                  now());
}

void fleet::impl::Tick() {
  tick_timer_ =
      time_.CallAfter(settings_.timing.heartbeat_interval, [this] { Tick(); });
  Evaluate();
  ProbePlatform();
  ReadRecords();
  if (members_read_) lease_.Tick(list_.version);
  ChangeMembers();
  RemoveOldRecords();
  SendPings();
}

// Reads the member list; the answer also proves platform contact.
void fleet::impl::ProbePlatform() {
  if (open_probes_ >= kMaxOpenProbes) return;
  ++open_probes_;
  const auto sent = now();
  store_.Get(kMembershipName, Guard([this, sent](const result<object>& found) {
               --open_probes_;
               OnMembers(sent, found);
             }));
}

void fleet::impl::OnMembers(clock::time_point sent,
                            const result<object>& found) {
  if (!found && found.error().code != error_code::kNotFound) return;
  contact_.RecordOwnContact(sent);
  if (members_read_ && sent <= members_read_sent_) return;
  if (!found) {
    if (list_.version != revision()) ResetMembers();
  } else if (found->version > list_.version) {
    auto list = ParseMembers(found->value, found->version);
    if (!list) {
      events_.Record(
          event_id::kObjectInvalid,
          {{"object", kMembershipName}, {"reason", list.error().detail}});
      return;
    }
    AdoptMembers(std::move(*list));
  }
  members_read_ = true;
  members_read_sent_ = sent;
  contact_.RecordMembersRead(sent, now());
  lease_.OnMembersRead(sent, list_.Contains(settings_.self));
}

// The list in use is never newer than the most recent known platform contact:
// callers first record the contact through which the list was read.
void fleet::impl::AdoptMembers(member_list list) {
  list_ = std::move(list);
  contact_.SetMembers(list_.members, list_.previous, now());
  for (const auto& host : list_.members) {
    if (host != settings_.self) hosts_[host].last_seen = now();
  }
  events_.Record(event_id::kMemberListAdopted,
                 {{"version", std::to_string(list_.version.value())},
                  {"members", std::to_string(list_.members.size())}});
}

// An operator deleted the object to reset the membership.
void fleet::impl::ResetMembers() {
  list_ = {};
  contact_.SetMembers({}, {}, now());
  contact_.ResetWindows(now());
}

void fleet::impl::ReadRecords() {
  const bool awaits_membership =
      members_read_ && !list_.Contains(settings_.self);
  const auto interval = awaits_membership ? clock::duration::zero()
                                          : settings_.timing.record_interval;
  if (reading_records_) return;
  if (records_read_sent_ && now() - *records_read_sent_ < interval) return;
  reading_records_ = true;
  const auto sent = now();
  records_read_sent_ = sent;
  store_.List(kHostPrefix,
              Guard([this, sent](const result<object_list>& found) {
                reading_records_ = false;
                OnRecords(sent, found);
              }));
}

void fleet::impl::OnRecords(clock::time_point sent,
                            const result<object_list>& found) {
  if (!found) return;
  contact_.RecordOwnContact(sent);
  records_.Update(found->items, sent, now());
  for (const auto& [host, entry] : records_.entries()) {
    if (host == settings_.self || !entry.record) continue;
    UpdateAddresses(host, entry.record->addresses);
    if (entry.record->leaving) hosts_[host].leaving = true;
  }
}

bool fleet::impl::LeaseEnded(const host_id& host) {
  const auto* const entry = records_.Find(host);
  const auto incarnation =
      entry && entry->record ? entry->record->incarnation : incarnation_id();
  return MayReclaim(host, incarnation);
}

bool fleet::impl::MayReclaim(const host_id& host,
                             const incarnation_id& incarnation) {
  if (host == settings_.self && incarnation == lease_.incarnation()) {
    return false;
  }
  if (host == settings_.self && lease_.IsFormerTerm(incarnation)) return true;
  const auto* const entry = records_.Find(host);
  const auto* const record =
      entry && entry->record && entry->record->incarnation == incarnation
          ? &*entry->record
          : nullptr;
  if (record && record->released) return true;
  const bool same_list = record && record->list_version == list_.version;
  const auto window = contact_.WindowStart(same_list, now());
  const auto unrenewed_since = records_.UnrenewedSince(host, incarnation);
  if (!window || !unrenewed_since) return false;
  const auto start = std::max(*window, *unrenewed_since);
  return *records_.last_update_sent() - start >=
         settings_.timing.reclaim_window;
}

void fleet::impl::ChangeMembers() {
  if (!members_read_ || changing_members_) return;
  if (released_ && !on_released_) return;
  const membership_state state{
      list_,
      records_,
      settings_.self,
      !released_,
      [this](const host_id& host) { return LeaseEnded(host); },
      [this](const host_id& host) { return IsLive(host); }};
  // A host joins only after it wrote its record; without one it could not use
  // the list.
  const bool joins = !list_.Contains(settings_.self);
  if (joins && (leaving_ || !records_.Find(settings_.self))) return;
  auto next = ProposeMemberList(state);
  if (!next) return;
  changing_members_ = true;
  const auto sent = now();
  store_.Put(
      kMembershipName, ToJson(*next), list_.version,
      Guard([this, next = *next, sent](const store::write_result& outcome) {
        changing_members_ = false;
        OnMembersWritten(next, sent, outcome);
      }));
}

void fleet::impl::OnMembersWritten(member_list written, clock::time_point sent,
                                   const store::write_result& outcome) {
  if (released_) FinishRelease();
  if (!outcome) return;
  contact_.RecordOwnContact(sent);
  written.version = *outcome;
  events_.Record(event_id::kMembershipChanged,
                 {{"version", std::to_string(outcome->value())},
                  {"members", std::to_string(written.members.size())}});
  if (written.version > list_.version) AdoptMembers(std::move(written));
}

// Drops local state of hosts that are gone. The first member of the list also
// removes old records of hosts that are not members, one per call.
void fleet::impl::RemoveOldRecords() {
  const auto retention = settings_.timing.record_retention;
  for (auto next = hosts_.begin(); next != hosts_.end();) {
    const auto entry = next++;
    const bool used = list_.Contains(entry->first) || IsLive(entry->first) ||
                      records_.Find(entry->first);
    if (used) entry->second.last_seen = now();
    if (now() - entry->second.last_seen > retention) hosts_.erase(entry);
  }
  if (list_.members.empty() || list_.members.front() != settings_.self) return;
  for (const auto& [host, entry] : records_.entries()) {
    const bool kept =
        list_.Contains(host) || now() - entry.first_seen <= retention;
    if (kept || host == settings_.self) continue;
    store_.Remove(kHostPrefix + host.value(), entry.version,
                  [](const store::write_result&) {});
    return;
  }
}

void fleet::impl::SendPings() {
  for (const auto& [host, known] : hosts_) SendPing(host);
  for (const auto& seed : seeds_) SendPing(host_id(seed));
}

void fleet::impl::SendPing(const host_id& peer) {
  const auto sent = now();
  network_.Request(peer, heartbeat::kType, ToJson(MakeHeartbeat(peer)),
                   settings_.timing.contact_bound,
                   Guard([this, peer, sent](const result<json>& answer) {
                     OnPingAnswer(peer, sent, answer);
                   }));
}

heartbeat fleet::impl::MakeHeartbeat(const host_id& peer) {
  heartbeat message;
  message.host = settings_.self;
  message.incarnation = lease_.incarnation();
  message.uptime = ToMilliseconds(now() - started_);
  const auto age = contact_.ContactAge(now());
  if (age) message.contact_age = ToMilliseconds(*age);
  message.list_version = list_.version;
  if (hooks_.config_revision) {
    message.config_revision = hooks_.config_revision();
  }
  if (hooks_.load) message.load = hooks_.load();
  message.leaving = leaving_;
  const auto found = hosts_.find(peer);
  const bool known = found != hosts_.end();
  message.knows_receiver = known && found->second.addresses;
  if (!known || !found->second.addresses_acknowledged)
    message.addresses = settings_.addresses;
  return message;
}

json fleet::impl::OnPing(const host_id& sender, const json& body) {
  const auto message = ParseHeartbeat(body);
  if (!message || message->host != sender) return nullptr;
  OnHeartbeat(*message);
  return ToJson(MakeHeartbeat(sender));
}

void fleet::impl::OnPingAnswer(const host_id& asked, clock::time_point sent,
                               const result<json>& answer) {
  if (!answer) return;
  const auto message = ParseHeartbeat(*answer);
  if (!message) return;
  const bool seed = seeds_.erase(asked.value()) != 0;
  if (message->host == settings_.self) return;
  if (!seed && message->host != asked) return;
  OnHeartbeat(*message);
  contact_.RecordAnswer(message->host, sent, now() - message->uptime, now());
}

void fleet::impl::OnHeartbeat(const heartbeat& message) {
  if (message.contact_age) {
    contact_.RecordReportedContact(*message.contact_age, now());
  }
  auto& known = hosts_[message.host];
  known.incarnation = message.incarnation;
  known.addresses_acknowledged = message.knows_receiver;
  known.leaving = message.leaving;
  known.load = message.load;
  known.config_revision = message.config_revision;
  known.last_seen = now();
  if (message.addresses) UpdateAddresses(message.host, *message.addresses);
  const bool newer = hooks_.config_revision &&
                     message.config_revision > hooks_.config_revision();
  if (newer && hooks_.on_higher_revision) {
    hooks_.on_higher_revision(message.host, message.config_revision);
  }
  if (message.list_version > list_.version) RequestDirectory(message.host);
}

void fleet::impl::UpdateAddresses(const host_id& host,
                                  const host_addresses& addresses) {
  auto& known = hosts_[host];
  const bool changed =
      !known.addresses || known.addresses->peer != addresses.peer;
  known.addresses = addresses;
  known.last_seen = now();
  if (changed && hooks_.on_peer_address) {
    hooks_.on_peer_address(host, addresses.peer);
  }
}

// Only a host without platform contact takes the member list from a peer. With
// contact, the platform's list is authoritative: it may have been reset.
void fleet::impl::RequestDirectory(const host_id& peer) {
  if (directory_request_pending_ ||
      contact_.Evaluate(now()) == host_status::kConnected) {
    return;
  }
  directory_request_pending_ = true;
  network_.Request(peer, directory::kType, json::object(),
                   settings_.timing.contact_bound,
                   Guard([this](const result<json>& answer) {
                     directory_request_pending_ = false;
                     OnDirectory(answer);
                   }));
}

json fleet::impl::OnDirectoryRequest() {
  directory message;
  message.list = list_;
  const auto age = contact_.ContactAge(now());
  if (age) message.contact_age = ToMilliseconds(*age);
  for (const auto& [host, known] : hosts_) {
    if (known.addresses) message.hosts.push_back({host, *known.addresses});
  }
  return ToJson(message);
}

void fleet::impl::OnDirectory(const result<json>& answer) {
  if (!answer) return;
  auto message = ParseDirectory(*answer);
  if (!message) return;
  if (message->contact_age) {
    contact_.RecordReportedContact(*message->contact_age, now());
  }
  for (const auto& entry : message->hosts) {
    if (entry.host != settings_.self)
      UpdateAddresses(entry.host, entry.addresses);
  }
  if (message->list.version > list_.version) {
    AdoptMembers(std::move(message->list));
  }
}

// Returns the reachable hosts; an isolated host that reaches no peer returns
// all that it knows.
std::vector<entry_host> fleet::impl::EntryHosts(const zone_id& zone) const {
  std::vector<entry_host> live;
  std::vector<entry_host> unreachable;
  for (const auto& [host, known] : hosts_) {
    if (!known.addresses || known.leaving) continue;
    auto& group = IsLive(host) ? live : unreachable;
    group.push_back({host, known.addresses->caller, known.addresses->zone});
  }
  const bool isolated = contact_.Evaluate(now()) == host_status::kIsolated;
  if (live.empty() && isolated && !unreachable.empty())
    live = std::move(unreachable);
  if (!leaving_ && !isolated) {
    live.push_back(
        {settings_.self, settings_.addresses.caller, settings_.addresses.zone});
  }
  std::stable_partition(
      live.begin(), live.end(),
      [&zone](const entry_host& host) { return host.zone == zone; });
  return live;
}

std::vector<host_id> fleet::impl::LiveHosts() const {
  std::vector<host_id> live;
  for (const auto& host : list_.members) {
    if (IsLive(host)) live.push_back(host);
  }
  if (!list_.Contains(settings_.self)) live.push_back(settings_.self);
  return live;
}

std::vector<host_report> fleet::impl::Hosts() const {
  std::vector<host_report> reports;
  for (const auto& [host, known] : hosts_) {
    reports.push_back({host, known.addresses.value_or(host_addresses{}),
                       known.incarnation, list_.Contains(host), IsLive(host),
                       known.leaving, known.load, known.config_revision});
  }
  reports.push_back(
      {settings_.self, settings_.addresses, lease_.incarnation(),
       list_.Contains(settings_.self), true, leaving_,
       hooks_.load ? hooks_.load() : 0,
       hooks_.config_revision ? hooks_.config_revision() : revision()});
  std::sort(reports.begin(), reports.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return reports;
}

void fleet::impl::AnnounceLeaving() {
  if (leaving_) return;
  leaving_ = true;
  lease_.SetLeaving();
  if (members_read_) lease_.Tick(list_.version);
  SendPings();
}

void fleet::impl::Release(std::function<void()> done) {
  leaving_ = true;
  released_ = true;
  on_released_ = std::move(done);
  lease_.Release(Guard([this] {
    ChangeMembers();
    if (!changing_members_) FinishRelease();
  }));
}

void fleet::impl::FinishRelease() {
  if (const auto finished = std::exchange(on_released_, nullptr)) finished();
}

result<std::unique_ptr<fleet>> fleet::Create(const fleet_settings& settings,
                                             fleet_hooks hooks,
                                             store::object_store& store,
                                             peer::peer_network& network,
                                             clock& time, event_log& events) {
  const auto& addresses = settings.addresses;
  if (settings.self.value().empty() || addresses.caller.empty() ||
      addresses.peer.empty() || addresses.zone.value().empty()) {
    return Fail(error_code::kInvalidArgument,
                "host id, caller address, peer address and availability zone "
                "must not be empty");
  }
  return std::unique_ptr<fleet>(new fleet(std::make_unique<impl>(
      settings, std::move(hooks), store, network, time, events)));
}

fleet::fleet(std::unique_ptr<impl> core) : impl_(std::move(core)) {}
fleet::~fleet() = default;

host_status fleet::status() const { return impl_->Evaluate(); }
bool fleet::HoldsLease() const { return impl_->HoldsLease(); }
host_id fleet::self() const { return impl_->settings().self; }
incarnation_id fleet::incarnation() const { return impl_->incarnation(); }

std::vector<entry_host> fleet::EntryHosts(const zone_id& zone) const {
  return impl_->EntryHosts(zone);
}

std::vector<host_id> fleet::LiveHosts() const { return impl_->LiveHosts(); }
std::vector<host_id> fleet::Members() const { return impl_->list().members; }

bool fleet::MayReclaim(const host_id& host,
                       const incarnation_id& incarnation) const {
  return impl_->MayReclaim(host, incarnation);
}

std::vector<host_report> fleet::Hosts() const { return impl_->Hosts(); }
void fleet::AnnounceLeaving() { impl_->AnnounceLeaving(); }

void fleet::Release(std::function<void()> done) {
  impl_->Release(std::move(done));
}

}  // namespace bluebell::fleet
