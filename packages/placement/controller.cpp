#include "placement/controller.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace bluebell::placement {
namespace {

// Target of the order that makes an engine enforce a new fencing number. It
// names no adapter, so unloading it changes nothing.
constexpr const char* kFenceProbe = "fence-probe";
// An engine whose last report is older than this gets no orders.
constexpr auto kMaxReportAge = std::chrono::seconds(40);
// Maximum number of fence probes sent per tick.
constexpr int kMaxProbesPerTick = 50;
// Interval at which adapters without their model and targets whose row was
// removed are unloaded.
constexpr auto kCleanUpInterval = std::chrono::seconds(5);
// Model placement counts as stable after this time without a change. At two
// loads a second, copies that are still to be loaded cause changes more often.
constexpr auto kStableAfter = std::chrono::seconds(5);
// Room for this many of the largest adapters stays free on each engine.
constexpr std::int64_t kReservedAdapters = 4;
// The adapter reserve is at most 1 / kReserveDivisor of the smallest engine.
constexpr std::int64_t kReserveDivisor = 10;

std::unique_ptr<placement_planner> MakePlanner(planner_kind kind) {
  switch (kind) {
    case planner_kind::kStatic:
      return std::make_unique<static_planner>();
    case planner_kind::kRecentDemand:
      return std::make_unique<recent_demand_planner>();
    case planner_kind::kPriorityAware:
      break;
  }
  return std::make_unique<priority_aware_planner>();
}

bool IsReleased(residency_state state) {
  return state == residency_state::kUnloading ||
         state == residency_state::kUnconfirmedAbsent;
}

bool IsPending(residency_state state) {
  return state == residency_state::kOrdered ||
         state == residency_state::kLoading;
}

}  // namespace

controller::controller(clock& source, config::snapshot& rows,
                       routing::endpoint_view& endpoints,
                       const fleet::fleet_view& fleet,
                       store::object_store& store, order_sink& orders,
                       event_log* log, controller_options options)
    : clock_(source),
      rows_(rows),
      endpoints_(endpoints),
      orders_(orders),
      log_(log),
      options_(options),
      lease_(source, fleet, store),
      demand_(source, rows),
      throttle_(source, options.throttle),
      ledger_(source, options.order_lifetime,
              [this](const std::string& target) { return SizeOf(target); }),
      intents_(store,
               [this](const endpoint_id& id, const intent_log::loads& loads) {
                 for (const auto& [target, size] : loads) {
                   ledger_.OnIntent(id, target, size);
                 }
               }),
      planner_(MakePlanner(options.planner)),
      self_(std::make_shared<controller*>(this)) {
  endpoints_.OnReported([self = std::weak_ptr<controller*>(self_)](
                            const endpoint_id& id,
                            const routing::endpoint_report& report,
                            clock::time_point polled_at) {
    if (const auto owner = self.lock()) {
      (*owner)->OnReport(id, report, polled_at);
    }
  });
}

controller::~controller() = default;

void controller::Start() {
  SynchroniseEngines();
  Tick();
}

void controller::Stop() {
  stopped_ = true;
  tick_.reset();
  lease_.Release();
}

void controller::Tick() {
  if (stopped_) return;
  tick_ = clock_.CallAfter(options_.tick, [this] { Tick(); });
  SynchroniseEngines();
  if (!lease_.Check()) {
    if (was_in_control_) Record(event_id::kControlLost, {});
    was_in_control_ = false;
    intents_read_ = false;
    intents_.Reset();
    lease_.Acquire([this] { OnAcquired(); });
    return;
  }
  if (!intents_read_) {
    intents_.ReadAll([this] { intents_read_ = true; });
    return;
  }
  demand_.Expire();
  ConfirmFences();
  RetryOrders();
  if (clock_.now() >= next_plan_) {
    next_plan_ = clock_.now() + options_.plan_interval;
    PlanModels();
  }
  if (clock_.now() >= next_clean_up_) {
    next_clean_up_ = clock_.now() + kCleanUpInterval;
    UnloadOrphans();
  }
  PlaceAdapters();
}

void controller::OnAcquired() {
  was_in_control_ = true;
  acquired_at_ = clock_.now();
  first_fence_ = lease_.fence();
  next_plan_ = clock_.now();
  ledger_.AbandonAll();
  intents_read_ = false;
  intents_.Reset();
  Record(event_id::kControlAcquired,
         {{"fence", std::to_string(lease_.fence())}});
}

void controller::OnReport(const endpoint_id& id,
                          const routing::endpoint_report& report,
                          clock::time_point polled_at) {
  ledger_.OnReport(id, report, polled_at);
  for (const auto& target : report.resident) throttle_.End(id, target);
}

// Adds, updates and disables ledger engines to match the configuration.
void controller::SynchroniseEngines() {
  for (const auto& [id, row] : rows_.endpoints()) {
    if (row.kind != config::endpoint_kind::kEngine) continue;
    ledger_.SetEngine(id, row.memory, row.checks_fencing);
    engine_states_[id];
  }
  for (auto it = engine_states_.begin(); it != engine_states_.end();) {
    const auto row = rows_.endpoints().find(it->first);
    if (row != rows_.endpoints().end() &&
        row->second.kind == config::endpoint_kind::kEngine) {
      ++it;
      continue;
    }
    ledger_.DisableEngine(it->first);
    it = engine_states_.erase(it);
  }
}

// Whether copies on the engine count. A loss shorter than `loss_grace` triggers
// no loads on other engines; copies on a leaving engine are replaced at once.
bool controller::IsUsable(const endpoint_id& id) {
  engine_state& state = engine_states_[id];
  const auto* endpoint = endpoints_.Find(id);
  const auto* engine = ledger_.Find(id);
  if (endpoint == nullptr || engine == nullptr || !engine->reported) {
    return false;
  }
  const auto health = endpoint->health.state();
  if (endpoint->listed_leaving || health == routing::health_state::kLeaving) {
    return false;
  }
  const bool lost = health == routing::health_state::kDown ||
                    health == routing::health_state::kProbing;
  if (!lost) {
    state.lost = false;
    return true;
  }
  if (!state.lost) {
    state.lost = true;
    state.lost_since = clock_.now();
  }
  return clock_.now() - state.lost_since < options_.loss_grace;
}

// Whether the ledger of the engine is complete, so that loads may be sent. On
// an engine that checks fencing numbers, orders of an earlier controller can
// arrive unnoticed until the engine enforces the number of this one. If the
// engine never accepts that number, such orders expire after `order_lifetime`.
bool controller::IsControllable(const endpoint_id& id) const {
  const auto* engine = ledger_.Find(id);
  const auto* endpoint = endpoints_.Find(id);
  if (engine == nullptr || endpoint == nullptr || !engine->reported) {
    return false;
  }
  if (clock_.now() - engine->sampled_at > kMaxReportAge) return false;
  if (!endpoint->MayReceive()) return false;
  if (!engine->checks_fencing) return true;
  return engine->confirmed_fence >= first_fence_ ||
         clock_.now() - acquired_at_ > options_.order_lifetime;
}

byte_count controller::SizeOf(const std::string& target) const {
  if (const auto* model = rows_.FindModel(model_id(target))) {
    return model->memory;
  }
  if (const auto* adapter = rows_.FindAdapter(adapter_id(target))) {
    return adapter->memory;
  }
  return byte_count(0);
}

bool controller::IsAdapter(const std::string& target) const {
  return rows_.FindModel(model_id(target)) == nullptr &&
         rows_.FindStored("adapters/" + target) != nullptr;
}

// Whether an operator removed the row of a model or adapter. False for a target
// that never had a row or whose row is not yet known to this host.
bool controller::IsRemoved(const std::string& target) const {
  if (rows_.FindModel(model_id(target)) != nullptr) return false;
  if (rows_.FindAdapter(adapter_id(target)) != nullptr) return false;
  return rows_.FindStored("models/" + target) != nullptr ||
         rows_.FindStored("adapters/" + target) != nullptr;
}

// Makes each engine that checks fencing numbers enforce the number of this
// controller. If older orders still hold memory there, the engine must enforce
// a number above theirs, and the current number is raised if necessary.
void controller::ConfirmFences() {
  const auto now = clock_.now();
  bool raise = false;
  int probes = 0;
  for (const auto& [id, engine] : ledger_.engines()) {
    if (!engine.checks_fencing || !engine.reported) continue;
    const auto* endpoint = endpoints_.Find(id);
    if (endpoint == nullptr || !endpoint->MayReceive()) continue;
    const auto to_exceed = ledger_.FenceToExceed(id);
    if (to_exceed >= lease_.fence()) raise = true;
    const bool is_confirmed =
        engine.confirmed_fence >= first_fence_ &&
        (to_exceed == 0 || engine.confirmed_fence > to_exceed);
    if (is_confirmed || engine.confirmed_fence >= lease_.fence()) continue;
    engine_state& state = engine_states_[id];
    const bool awaits_report = engine.accepted_fence == lease_.fence();
    if (awaits_report || now - state.probed_at < options_.tick) continue;
    if (++probes > kMaxProbesPerTick) break;
    state.probed_at = now;
    Send(id, order_operation::kUnloadAdapter, kFenceProbe, byte_count(0));
  }
  if (raise && now - raised_at_ >= options_.raise_interval) {
    raised_at_ = now;
    lease_.RaiseFence(nullptr);
  }
}

// Sends pending loads and resends orders that no report has confirmed. The
// ledger already counts their targets, so a retry needs no further memory.
void controller::RetryOrders() {
  std::vector<endpoint_id> ids;
  for (const auto& [id, engine] : ledger_.engines()) {
    if (IsControllable(id)) ids.push_back(id);
  }
  for (const auto& id : ids) {
    SendDueLoads(id);
    std::vector<std::string> unloads;
    for (const auto& [target, entry] : ledger_.Find(id)->entries) {
      if (entry.status.state() != residency_state::kUnloading) continue;
      if (clock_.now() - entry.last_order < options_.resend_after) continue;
      unloads.push_back(target);
    }
    for (const auto& target : unloads) Unload(id, target);
  }
}

void controller::SendDueLoads(const endpoint_id& id) {
  const auto* engine = ledger_.Find(id);
  if (engine == nullptr || !IsControllable(id)) return;
  std::vector<std::string> due;
  for (const auto& [target, entry] : engine->entries) {
    if (entry.status.state() != residency_state::kOrdered) continue;
    const auto waited = clock_.now() - entry.last_order;
    if (entry.load_sent && waited < options_.resend_after) continue;
    due.push_back(target);
  }
  for (const auto& target : due) SendLoad(id, target);
}

void controller::PlanModels() {
  const auto now = clock_.now();
  if (now - move_period_start_ >= options_.move_period) {
    move_period_start_ = now;
    moves_in_period_ = 0;
  }
  const planning_input input = MakeInput();
  const plan step = planner_->Plan(input);
  Execute(input, step);
  ReportUnplaced(input, step);
}

planning_input controller::MakeInput() {
  planning_input input;
  input.max_loads = static_cast<int>(options_.throttle.model_loads_in_flight);
  input.max_moves = options_.max_moves - moves_in_period_;
  std::map<std::string, int> models;
  for (const auto& [id, row] : rows_.models()) {
    const auto demand = demand_.ValueOf(id.value());
    models[id.value()] = static_cast<int>(input.models.size());
    input.models.push_back({id.value(), row.memory.value(), row.min_copies,
                            demand.recent, demand.purchased, demand.waiting});
  }
  std::int64_t largest_adapter = 0;
  for (const auto& [id, row] : rows_.adapters()) {
    largest_adapter = std::max(largest_adapter, row.memory.value());
  }
  input.copies.resize(input.models.size());
  std::int64_t smallest_engine = 0;
  for (const auto& [id, engine] : ledger_.engines()) {
    const int index = static_cast<int>(input.engines.size());
    const auto* row = rows_.FindEndpoint(id);
    if (row == nullptr) continue;
    planner_engine planned;
    planned.id = id;
    planned.zone = row->zone;
    planned.free = ledger_.Free(id).value();
    planned.usable = IsUsable(id);
    planned.controllable = IsControllable(id);
    planned.evictable = EvictableBytes(id);
    const auto memory = engine.memory.value();
    smallest_engine = index == 0 ? memory : std::min(smallest_engine, memory);
    for (const auto& [target, entry] : engine.entries) {
      const auto state = entry.status.state();
      if (IsReleased(state)) planned.pending_free += entry.size.value();
      const auto model = models.find(target);
      if (model == models.end()) continue;
      planner_copy copy;
      copy.engine = index;
      copy.state = !planned.usable     ? copy_state::kLost
                   : IsReleased(state) ? copy_state::kReleased
                   : IsPending(state) || ledger_.MayBeUnloaded(id, target)
                       ? copy_state::kPending
                       : copy_state::kResident;
      copy.movable =
          clock_.now() - entry.resident_since >= options_.min_residency;
      input.copies[model->second].push_back(copy);
    }
    input.engines.push_back(std::move(planned));
  }
  input.largest_adapter = largest_adapter;
  input.reserve = std::min(kReservedAdapters * largest_adapter,
                           smallest_engine / kReserveDivisor);
  return input;
}

void controller::Execute(const planning_input& input, const plan& step) {
  if (!step.changes.empty()) last_change_ = clock_.now();
  for (const auto& change : step.changes) {
    const auto& id = input.engines[change.engine].id;
    if (change.is_move) {
      ++moves_in_period_;
      ++moves_;
    }
    switch (change.kind) {
      case change_kind::kLoad:
        Load(id, input.models[change.model].id);
        break;
      case change_kind::kUnload:
        Unload(id, input.models[change.model].id);
        break;
      case change_kind::kEvictAdapters:
        EvictAdapters(id, change.size);
        break;
    }
  }
}

void controller::ReportUnplaced(const planning_input& input, const plan& step) {
  std::set<std::string> unplaced;
  for (const int model : step.unplaced) {
    const auto& id = input.models[model].id;
    unplaced.insert(id);
    if (unplaced_.count(id) > 0) continue;
    Record(event_id::kModelUnplaced, {{"model", id}});
  }
  unplaced_ = std::move(unplaced);
}

// Loads adapters that were used recently or have requests waiting onto engines
// that hold their model, evicting idle adapters in LRU order. Remaining free
// memory takes one copy of each other adapter, so that its next caller does not
// wait for a load.
void controller::PlaceAdapters() {
  bool satisfied = true;
  std::vector<const config::adapter_row*> unused;
  for (const auto& [id, row] : rows_.adapters()) {
    if (!IsWanted(id.value())) {
      unused.push_back(&row);
      continue;
    }
    const adapter_copies found = FindCopies(row);
    const int copies = LoadCopies(row, found, options_.adapter_copies);
    if (copies > 0) continue;
    satisfied = false;
    MakeRoomForAdapter(found.candidates, row.memory);
  }
  const bool models_stable =
      unplaced_.empty() && clock_.now() - last_change_ >= kStableAfter;
  if (!satisfied || !models_stable) return;
  for (const auto* row : unused) LoadCopies(*row, FindCopies(*row), 1);
}

// Whether the adapter was used recently or has requests waiting.
bool controller::IsWanted(const std::string& adapter) const {
  const auto last_use = demand_.LastUse(adapter);
  const bool used = last_use != clock::time_point() &&
                    clock_.now() - last_use < options_.adapter_idle;
  return used || demand_.ValueOf(adapter).waiting > 0;
}

controller::adapter_copies controller::FindCopies(
    const config::adapter_row& row) {
  const auto& target = row.id.value();
  adapter_copies found;
  for (const auto* state : endpoints_.Serving(row.model.value(), false)) {
    const auto& id = state->row.id;
    const auto* model = ledger_.FindEntry(id, row.model.value());
    if (model == nullptr || IsReleased(model->status.state())) continue;
    const auto* loaded = ledger_.FindEntry(id, target);
    if (loaded != nullptr && !IsReleased(loaded->status.state())) {
      ++found.count;
    } else if (IsControllable(id)) {
      found.candidates.push_back(id);
    }
  }
  return found;
}

// Loads copies where there is room until `wanted` exist; returns their number.
int controller::LoadCopies(const config::adapter_row& row,
                           const adapter_copies& found, int wanted) {
  int copies = found.count;
  for (const auto& id : found.candidates) {
    if (copies >= wanted) break;
    if (!ledger_.CanLoad(id, row.id.value())) continue;
    Load(id, row.id.value());
    ++copies;
  }
  return copies;
}

// Evicts idle adapters on the engine that holds the least recently used one.
void controller::MakeRoomForAdapter(const std::vector<endpoint_id>& holders,
                                    byte_count size) {
  const endpoint_id* chosen = nullptr;
  clock::time_point oldest;
  for (const auto& id : holders) {
    const auto idle = IdleAdapters(id);
    if (idle.empty()) continue;
    const auto last_use = demand_.LastUse(idle.front());
    if (chosen != nullptr && last_use >= oldest) continue;
    chosen = &id;
    oldest = last_use;
  }
  if (chosen == nullptr) return;
  EvictAdapters(*chosen, size.value() - ledger_.Free(*chosen).value());
}

// Unloads adapters whose model is no longer on the engine, and targets whose
// row was removed.
void controller::UnloadOrphans() {
  std::vector<std::pair<endpoint_id, std::string>> orphans;
  for (const auto& [id, engine] : ledger_.engines()) {
    if (!IsControllable(id)) continue;
    for (const auto& [target, entry] : engine.entries) {
      if (entry.status.state() != residency_state::kResident) continue;
      if (IsRemoved(target)) {
        orphans.emplace_back(id, target);
        continue;
      }
      const auto* adapter = rows_.FindAdapter(adapter_id(target));
      if (adapter == nullptr || !IsAdapter(target)) continue;
      const auto model = engine.entries.find(adapter->model.value());
      if (model != engine.entries.end() &&
          !IsReleased(model->second.status.state())) {
        continue;
      }
      orphans.emplace_back(id, target);
    }
  }
  for (const auto& [id, target] : orphans) Unload(id, target);
}

// Resident adapters without recent use, the least recently used first.
std::vector<std::string> controller::IdleAdapters(const endpoint_id& id) const {
  std::vector<std::pair<clock::time_point, std::string>> idle;
  const auto* engine = ledger_.Find(id);
  if (engine == nullptr) return {};
  for (const auto& [target, entry] : engine->entries) {
    if (entry.status.state() != residency_state::kResident) continue;
    if (!IsAdapter(target)) continue;
    const auto last_use = demand_.LastUse(target);
    const bool used = last_use != clock::time_point() &&
                      clock_.now() - last_use < options_.adapter_idle;
    if (!used) idle.emplace_back(last_use, target);
  }
  std::sort(idle.begin(), idle.end());
  std::vector<std::string> targets;
  targets.reserve(idle.size());
  for (auto& [last_use, target] : idle) targets.push_back(std::move(target));
  return targets;
}

std::int64_t controller::EvictableBytes(const endpoint_id& id) const {
  std::int64_t bytes = 0;
  const auto* engine = ledger_.Find(id);
  for (const auto& target : IdleAdapters(id)) {
    bytes += engine->entries.at(target).size.value();
  }
  return bytes;
}

void controller::EvictAdapters(const endpoint_id& id, std::int64_t bytes) {
  const auto* engine = ledger_.Find(id);
  if (engine == nullptr) return;
  for (const auto& [target, entry] : engine->entries) {
    if (IsReleased(entry.status.state())) bytes -= entry.size.value();
  }
  for (const auto& target : IdleAdapters(id)) {
    if (bytes <= 0) return;
    bytes -= engine->entries.at(target).size.value();
    Unload(id, target);
  }
}

// Reserves the memory at once and sends the order as soon as the throttle and,
// where needed, the stored intent allow it.
void controller::Load(const endpoint_id& id, const std::string& target) {
  if (!IsControllable(id) || !ledger_.CanLoad(id, target)) return;
  if (!throttle_.Begin(id, target, IsAdapter(target))) return;
  ledger_.OnLoadOrdered(id, target, lease_.fence());
  SendLoad(id, target);
}

void controller::SendLoad(const endpoint_id& id, const std::string& target) {
  const ledger_entry* entry = ledger_.FindEntry(id, target);
  const auto* engine = ledger_.Find(id);
  if (entry == nullptr || engine == nullptr) return;
  if (!ledger_.CanLoad(id, target)) {
    // The memory is taken, for example by another controller's intent.
    ledger_.Abandon(id, target);
    return;
  }
  if (!engine->checks_fencing && !intents_.Covers(id, target)) {
    ledger_.OnLoadOrdered(id, target, lease_.fence());
    intents_.Write(id, ledger_.OpenLoads(id), lease_.fence(),
                   [this, id] { SendDueLoads(id); });
    return;
  }
  const bool repeated = entry->load_sent;
  const byte_count size = entry->size;
  if (repeated && !throttle_.Begin(id, target, IsAdapter(target))) return;
  if (!lease_.Check()) return;
  ledger_.OnLoadSent(id, target, lease_.fence());
  Send(id,
       IsAdapter(target) ? order_operation::kLoadAdapter
                         : order_operation::kLoadModel,
       target, size);
}

void controller::Unload(const endpoint_id& id, const std::string& target) {
  if (!IsControllable(id) || !lease_.Check()) return;
  ledger_.OnUnloadSent(id, target, lease_.fence());
  Send(id,
       IsAdapter(target) ? order_operation::kUnloadAdapter
                         : order_operation::kUnloadModel,
       target, SizeOf(target));
}

void controller::Send(const endpoint_id& id, order_operation operation,
                      const std::string& target, byte_count memory) {
  const auto* row = rows_.FindEndpoint(id);
  if (row == nullptr || !lease_.Check()) return;
  order sent;
  sent.id = MakeUniqueId();
  sent.fence = lease_.fence();
  sent.operation = operation;
  sent.target = target;
  sent.memory = memory;
  const auto sent_at = clock_.now();
  if (target != kFenceProbe) {
    Record(event_id::kOrderSent, {{"endpoint", id.value()},
                                  {"operation", ToString(operation)},
                                  {"target", target},
                                  {"fence", std::to_string(sent.fence)}});
  }
  orders_.Send(*row, sent,
               [self = std::weak_ptr<controller*>(self_), id,
                fence = sent.fence, sent_at](const order_result& outcome) {
                 if (const auto owner = self.lock()) {
                   (*owner)->OnAnswer(id, fence, sent_at, outcome);
                 }
               });
}

void controller::OnAnswer(const endpoint_id& id, std::uint64_t fence,
                          clock::time_point sent_at,
                          const order_result& outcome) {
  if (outcome) {
    ledger_.OnFenceAccepted(id, fence, sent_at);
    return;
  }
  if (outcome.error().code != error_code::kRefused) return;
  // A higher number exists: either another host is in control, or this host
  // raised its number while the order was in flight.
  if (fence != lease_.fence()) return;
  Record(event_id::kOrderRefused,
         {{"endpoint", id.value()}, {"fence", std::to_string(fence)}});
  lease_.Drop();
}

void controller::Record(event_id id, std::vector<event_field> fields) {
  if (log_ != nullptr) log_->Record(id, std::move(fields));
}

}  // namespace bluebell::placement
