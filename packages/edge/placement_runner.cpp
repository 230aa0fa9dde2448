#include "edge/placement_runner.h"

#include <algorithm>
#include <cmath>

#include "edge/engine_statements.h"
#include "edge/pause.h"
#include "edge/peer_cut_off.h"
#include "gateway/network.h"
#include "serving/adapter_planner.h"

namespace bluebell::edge {
namespace {

using serving::order_kind;
using serving::placement_order;

constexpr milliseconds kLeaseReadInterval{700};
// Hosts that poll the lease record and may take over; the others save the
// calls.
constexpr int kCandidateHosts = 3;
constexpr milliseconds kLeasePollInterval{100};
constexpr milliseconds kPlanInterval{200};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kReportInterval{200};
// An engine that refused an order is busy or has a different order count; its
// report shows which after a few hundred milliseconds.
constexpr milliseconds kRefusalBackoff{250};
// Digests repeat a notice for this long, since datagrams can be lost.
constexpr milliseconds kNoticeRetention{700};
// Upper bound of the time to load an adapter from the store while few loads
// are in progress.
constexpr milliseconds kAdapterLoadTime{12};
// Orders for one adapter: the unloads that make room, and the load.
constexpr int kMaxAdapterOrders = 4;
// Averaging time of the sustained demand of a model.
constexpr double kSustainedDemandSeconds = 15;
// Fraction of the weight store's load rate that is used; the rest covers loads
// started by the previous lease holder.
constexpr double kStoreRateFraction = 0.85;
constexpr double kMaxStoreLoadTokens = 2;
// Fraction of an engine's slots that one copy should occupy.
constexpr double kTargetSlotFraction = 0.3;
// Lower bound of the service time assumed in planning, so that a few short
// requests at the start do not overstate the capacity of a copy.
constexpr double kMinServiceSeconds = 0.6;
// An order is abandoned after this many times its expected duration; the
// engine's report then shows its result.
constexpr double kOrderTimeoutFactor = 4;

}  // namespace

placement_runner::placement_runner(edge_state& host, digest_exchange& exchange)
    : host_(host), exchange_(exchange) {
  exchange_.on_adapter_request = [this](const auto& request) {
    OnAdapterRequest(request);
  };
  exchange_.notices = [this] { return RecentNotices(); };
}

void placement_runner::RunLease(boost::asio::yield_context yield) {
  clock::time_point read_at;
  while (!host_.leaving) {
    const auto now = host_.time.now();
    const bool is_holder =
        host_.placement_lease.known().holder == host_.settings.id;
    // A holder that reaches no engine would keep all others from sending
    // orders.
    const bool reaches_none =
        host_.reach.lost() && !host_.directory.PeersInContact().empty();
    if (reaches_none) {
      host_.placement_lease.Resign();
    } else {
      host_.placement_lease.Return();
    }
    const bool is_candidate =
        !reaches_none && host_.directory.Rank() < kCandidateHosts;
    // A write on condition of a revision is void once the store was restored.
    const bool is_restored =
        host_.store.Era() > host_.placement_lease.known().store_era;
    const bool is_due = is_restored || (!is_holder && is_candidate &&
                                        now - read_at >= kLeaseReadInterval);
    if ((is_holder || is_candidate) && is_due) {
      read_at = now;
      const auto read = host_.store.ReadLease(yield);
      if (read) {
        const auto before = host_.placement_lease.known().holder;
        host_.placement_lease.OnRead(*read);
        if (before != read->holder) {
          host_.log.Write("placement_holder",
                          {{"holder", read->holder.value()},
                           {"revision", std::to_string(read->revision)},
                           {"era", std::to_string(read->store_era)}});
        }
      }
    }
    if (is_holder || is_candidate) WriteLease(yield);
    const bool may_act = host_.placement_lease.MayAct();
    if (may_act != may_act_) {
      may_act_ = may_act;
      orders_.clear();
      host_.log.Write(
          may_act ? "placement_begins" : "placement_ends",
          {{"fencing",
            std::to_string(host_.placement_lease.fencing_number())}});
    }
    Pause(host_.io, kLeasePollInterval, yield);
  }
}

bool placement_runner::WriteLease(boost::asio::yield_context yield) {
  const auto wanted = host_.placement_lease.NextWrite();
  if (!wanted) return false;
  const auto sent = host_.time.now();
  const auto written = host_.store.WriteLease(*wanted, yield);
  if (written) {
    host_.placement_lease.OnWritten(*written, wanted->released, sent);
    return true;
  }
  host_.metrics.Count("duty_write_failed");
  // After a lost answer the write may have succeeded; after a conflict there is
  // a new holder. Reading the record resolves both.
  const auto read = host_.store.ReadLease(yield);
  if (read) host_.placement_lease.OnRead(*read);
  return false;
}

void placement_runner::Resign(boost::asio::yield_context yield) {
  host_.placement_lease.Resign();
  if (WriteLease(yield)) host_.log.Write("placement_released", {});
}

void placement_runner::RunPlanning(boost::asio::yield_context yield) {
  planned_at_ = host_.time.now();
  while (true) {
    Pause(host_.io, kPlanInterval, yield);
    const auto now = host_.time.now();
    const double elapsed_s =
        std::chrono::duration<double>(now - planned_at_).count();
    planned_at_ = now;
    if (!host_.placement_lease.MayAct() || host_.config == nullptr) continue;
    for (const auto& service : host_.config->services) {
      if (!service.engine) continue;
      store_load_tokens_ =
          std::min(kMaxStoreLoadTokens,
                   store_load_tokens_ + elapsed_s * kStoreRateFraction *
                                            service.engine->loads_per_s);
      auto input = BuildInput(service);
      for (auto& [model, demand] : input.demand) {
        auto& sustained = sustained_demand_[model];
        sustained += std::min(1.0, elapsed_s / kSustainedDemandSeconds) *
                     (demand.recent - sustained);
        demand.sustained = sustained;
      }
      for (auto& order : serving::PlanCopies(input)) {
        auto& orders = OrdersOf(order.engine);
        if (!IsFree(orders) ||
            !orders.inventory.HasRoom(order, *service.engine)) {
          continue;
        }
        orders.busy = true;
        if (order.from_store) store_load_tokens_ -= 1;
        gateway::SpawnTask(host_.io, [this, order](auto inner) {
          ExecuteOrder(order, inner);
        });
      }
    }
  }
}

serving::planner_input placement_runner::BuildInput(
    const serving::service& service) {
  serving::planner_input input;
  input.models = service.engine->models;
  input.store_loads = static_cast<int>(store_load_tokens_);
  const auto now = host_.time.now();
  double service_time = 0;
  double slots = 0;
  int count = 0;
  for (const auto& [id, engine] : host_.fleet.engines()) {
    if (engine.record.service != service.id || engine.record.leaving ||
        host_.evacuations.IsEvacuated(engine.record.zone)) {
      continue;
    }
    auto& orders = OrdersOf(id);
    if (!orders.inventory.known()) RefreshInventory(id);
    serving::planned_engine planned;
    planned.id = id;
    planned.zone = engine.record.zone;
    planned.weights_mb = service.engine->weights_mb;
    // Before the first report, copies are counted by the engine's record; the
    // engine gets no order yet.
    planned.resident = orders.inventory.known() ? orders.inventory.resident()
                                                : engine.Resident(now);
    planned.in_memory = orders.inventory.in_memory();
    planned.on_disk = orders.inventory.on_disk();
    planned.busy = !IsFree(orders);
    planned.limit_per_s = host_.limits.Limit(id);
    planned.step_time_ratio = host_.fleet.step_times().Ratio(id);
    if (orders.loading && !planned.resident.count(*orders.loading)) {
      planned.loading = orders.loading;
    }
    input.engines.push_back(std::move(planned));
    service_time += engine.service_time_s;
    slots += engine.record.slots;
    ++count;
  }
  input.spreads_zones = host_.evacuations.enabled();
  input.adapter_slots = service.engine->adapter_slots;
  if (count > 0) {
    // In a slow phase of its machine an engine serves fewer streams in time.
    const double fraction = kTargetSlotFraction / host_.pace.Peak(service.id);
    input.target_rate_per_copy =
        fraction * (slots / count) /
        std::max(kMinServiceSeconds, service_time / count);
  }
  std::set<std::pair<model_id, adapter_id>> adapters;
  const auto add_rate = [&](const serving::model_rate& entry) {
    if (entry.adapter.value().empty()) {
      input.demand[entry.model].recent += entry.requests_per_s;
    } else if (adapters.insert({entry.model, entry.adapter}).second) {
      ++input.demand[entry.model].adapters;
    }
  };
  for (const auto& entry : host_.demand.Rates()) add_rate(entry);
  for (const auto& [host, rates] : exchange_.demand()) {
    for (const auto& entry : rates) add_rate(entry);
  }
  for (const auto& model : input.models) input.demand[model.id];
  return input;
}

// Returns the order state of an engine; it is reset when the engine restarts.
placement_runner::engine_orders& placement_runner::OrdersOf(
    const endpoint_id& id) {
  auto& orders = orders_[id];
  const auto* engine = host_.fleet.Find(id);
  if (engine != nullptr && orders.started_ms != engine->record.started_ms) {
    orders = {};
    orders.started_ms = engine->record.started_ms;
  }
  return orders;
}

const serving::engine_spec* placement_runner::EngineSpecOf(
    const endpoint_id& id) const {
  const auto* engine = host_.fleet.Find(id);
  if (engine == nullptr || host_.config == nullptr) return nullptr;
  const auto* service = host_.config->FindService(engine->record.service);
  return service == nullptr || !service->engine ? nullptr : &*service->engine;
}

bool placement_runner::IsFree(const engine_orders& orders) const {
  return orders.inventory.known() && !orders.inventory.busy() && !orders.busy &&
         !orders.sending && host_.time.now() >= orders.refused_until;
}

// Requests the engine's report, unless a request or an order is in progress or
// the engine has just refused one.
void placement_runner::RefreshInventory(const endpoint_id& id) {
  auto& orders = OrdersOf(id);
  if (orders.sending || orders.busy ||
      host_.time.now() < orders.refused_until) {
    return;
  }
  orders.sending = true;
  gateway::SpawnTask(host_.io, [this, id](auto yield) {
    const auto report = FetchReport(id, yield);
    auto& updated = OrdersOf(id);
    updated.sending = false;
    if (!report || report->busy) {
      updated.refused_until = host_.time.now() + kRefusalBackoff;
    }
    if (report && !report->busy) updated.inventory.OnReport(*report);
  });
}

void placement_runner::ExecuteOrder(placement_order order,
                                    boost::asio::yield_context yield) {
  const auto result = SendOrder(order, yield);
  if (result == order_result::kAccepted) {
    double expected_s = 1;
    const auto* spec = EngineSpecOf(order.engine);
    if (spec != nullptr && order.kind == order_kind::kLoad) {
      for (const auto& model : spec->models) {
        if (model.id != order.model) continue;
        expected_s =
            order.from_store ? model.load_from_store_s : model.load_from_disk_s;
      }
    }
    if (order.kind == order_kind::kLoad) {
      OrdersOf(order.engine).loading = order.model;
    } else {
      // Otherwise the next plan would make room for it at another engine as
      // well.
      OrdersOf(order.engine).loading = order.evicted_for;
      PublishResidency(order.engine, order.model, {}, false);
    }
    AwaitCompletion(order, expected_s, yield);
  }
  auto& after = OrdersOf(order.engine);
  after.busy = false;
  after.loading.reset();
}

// Waits until the engine's report shows that the order has completed.
void placement_runner::AwaitCompletion(const placement_order& order,
                                       double expected_s,
                                       boost::asio::yield_context yield) {
  const auto begun = host_.time.now();
  const auto timeout =
      std::chrono::duration<double>(2 + kOrderTimeoutFactor * expected_s);
  if (order.kind == order_kind::kLoad) {
    Pause(host_.io, milliseconds(static_cast<int>(expected_s * 900)), yield);
  }
  while (host_.time.now() - begun < timeout) {
    const auto report = FetchReport(order.engine, yield);
    if (!host_.placement_lease.MayAct() ||
        host_.fleet.Find(order.engine) == nullptr) {
      return;
    }
    if (host_.fleet.IsEvacuated(order.engine)) {
      // Its next report shows the result, after the zone's return.
      OrdersOf(order.engine).inventory.Invalidate();
      return;
    }
    if (report && !report->busy &&
        report->order_count >= OrdersOf(order.engine).inventory.order_count()) {
      OrdersOf(order.engine).inventory.OnReport(*report);
      const auto model = report->resident.find(order.model);
      const bool present =
          model != report->resident.end() &&
          (order.adapter.value().empty() || model->second.count(order.adapter));
      PublishResidency(order.engine, order.model, order.adapter, present);
      host_.log.Write(
          "order_done",
          {{"engine", order.engine.value()},
           {"model", order.model.value()},
           {"adapter", order.adapter.value()},
           {"kind", order.kind == order_kind::kLoad ? "load" : "unload"},
           {"present", present ? "yes" : "no"},
           {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                     host_.time.now() - begun)
                                     .count())}});
      return;
    }
    Pause(host_.io, kReportInterval, yield);
  }
}

placement_runner::order_result placement_runner::SendOrder(
    const placement_order& order, boost::asio::yield_context yield) {
  const auto* engine = host_.fleet.Find(order.engine);
  if (engine == nullptr) return order_result::kEngineGone;
  const std::string address = engine->record.address;
  auto& before = OrdersOf(order.engine);
  before.sending = true;
  const auto started_ms = before.started_ms;
  const std::int64_t expected = before.inventory.order_count();
  auto result = order_result::kEngineGone;
  std::string detail;
  const auto permit = TakePermit(host_, order.engine, yield);
  auto lease = permit.granted
                   ? host_.connections.Open(address, kOrderTimeout, yield)
                   : Fail(error_code::kUnavailable, "the engine's limit");
  // Checked after connecting, since the lease may have ended meanwhile.
  if (!lease) {
    detail = lease.error().detail;
  } else if (!host_.placement_lease.MayAct()) {
    detail = "placement lease ended";
  } else if (host_.fleet.IsEvacuated(order.engine)) {
    detail = "zone evacuated";
  } else if (!host_.limits.MayUse(order.engine, permit)) {
    detail = "the permit was too old";
  } else {
    const auto request = host_.dialect.OrderRequest(
        {order, host_.settings.id, host_.placement_lease.fencing_number(),
         expected});
    result = order_result::kNoAnswer;
    if (lease->connection->Send(request, kOrderTimeout, yield, true)) {
      const auto head = lease->connection->ReadHead(kOrderTimeout, yield);
      if (head) {
        OnEngineAnswer(host_, order.engine, *head);
        detail = std::to_string(head->status);
        result = head->status == 202   ? order_result::kAccepted
                 : head->status == 200 ? order_result::kDone
                                       : order_result::kRefused;
      }
      ReportCutOff(host_, "engine", address, lease->connection.get());
    }
  }
  auto& after = OrdersOf(order.engine);
  if (after.started_ms == started_ms) {
    after.sending = false;
    const bool is_unload = order.kind == order_kind::kUnload;
    if (result == order_result::kAccepted ||
        (result == order_result::kDone && is_unload)) {
      after.inventory.OnAccepted(order, result == order_result::kDone);
    } else if (result != order_result::kEngineGone) {
      // Not every engine counts a load of a resident model or adapter as an
      // accepted order.
      after.inventory.Invalidate();
      after.refused_until = host_.time.now() + kRefusalBackoff;
    }
  }
  host_.log.Write(
      "order_sent",
      {{"engine", order.engine.value()},
       {"kind", order.kind == order_kind::kLoad ? "load" : "unload"},
       {"model", order.model.value()},
       {"adapter", order.adapter.value()},
       {"expected", std::to_string(expected)},
       {"fencing", std::to_string(host_.placement_lease.fencing_number())},
       {"from_store", order.from_store ? "yes" : "no"},
       {"demand_per_copy", std::to_string(order.demand_per_copy)},
       {"displaced_per_copy", std::to_string(order.displaced_per_copy)},
       {"answer", detail}});
  return result;
}

std::optional<serving::engine_report> placement_runner::FetchReport(
    const endpoint_id& id, boost::asio::yield_context yield) {
  const auto* engine = host_.fleet.Find(id);
  if (engine == nullptr || host_.fleet.IsEvacuated(id)) return std::nullopt;
  const auto started_ms = engine->record.started_ms;
  const std::string address = engine->record.address;
  const auto permit = TakePermit(host_, id, yield);
  if (!permit.granted) return std::nullopt;
  auto lease =
      host_.connections.Take(id, address, kOrderTimeout, kOrderTimeout, yield);
  if (!lease) {
    host_.reach.OnNotConnected();
    return std::nullopt;
  }
  if (!host_.limits.MayUse(id, permit)) return std::nullopt;
  if (!lease->connection->Send(host_.dialect.ReportRequest(id), kOrderTimeout,
                               yield, true)) {
    return std::nullopt;
  }
  const auto head = lease->connection->ReadHead(kOrderTimeout, yield);
  if (head) OnEngineAnswer(host_, id, *head);
  byte_share held(host_.memory);
  const auto body = head && head->status == 200
                        ? lease->connection->ReadBody(
                              1024 * 1024, kOrderTimeout, yield, &held)
                        : Fail(error_code::kUnavailable, "no report");
  ReportCutOff(host_, "engine", address, lease->connection.get());
  if (!body) return std::nullopt;
  host_.connections.Return(id, std::move(*lease), kOrderTimeout);
  auto report = host_.dialect.ReadReport(*body);
  if (!report) {
    host_.log.Write("report_unreadable", {{"engine", id.value()},
                                          {"detail", report.error().detail}});
    return std::nullopt;
  }
  if (report->started_ms != 0 && report->started_ms != started_ms) {
    return std::nullopt;
  }
  return std::move(*report);
}

void placement_runner::OnAdapterRequest(
    const serving::adapter_request& request) {
  if (!host_.placement_lease.MayAct()) return;
  if (!pending_adapters_.insert({request.model, request.adapter}).second)
    return;
  gateway::SpawnTask(host_.io, [this, request](auto yield) {
    LoadAdapter(request, yield);
    pending_adapters_.erase({request.model, request.adapter});
  });
}

void placement_runner::LoadAdapter(const serving::adapter_request& request,
                                   boost::asio::yield_context yield) {
  // A host that missed the notice requests an adapter that is already resident.
  for (const auto& [id, engine] : host_.fleet.engines()) {
    const auto& resident = OrdersOf(id).inventory.resident();
    const auto model = resident.find(request.model);
    if (host_.fleet.AcceptsRequests(id) && !host_.limits.Limit(id) &&
        model != resident.end() && model->second.count(request.adapter)) {
      PublishResidency(id, request.model, request.adapter, true);
      return;
    }
  }
  for (int orders = 0; orders < kMaxAdapterOrders; ++orders) {
    if (!host_.placement_lease.MayAct()) return;
    const auto order = NextAdapterOrder(request);
    if (!order) return;
    const auto result = SendOrder(*order, yield);
    const bool loads = order->kind == order_kind::kLoad;
    if (result != order_result::kAccepted && result != order_result::kDone) {
      continue;
    }
    if (loads) {
      if (result == order_result::kAccepted)
        Pause(host_.io, kAdapterLoadTime, yield);
      PublishResidency(order->engine, order->model, order->adapter, true);
      return;
    }
    PublishResidency(order->engine, order->model, order->adapter, false);
    if (result == order_result::kAccepted) {
      // A running request still uses the adapter being unloaded; until it ends,
      // the engine accepts no other order.
      OrdersOf(order->engine).busy = true;
      AwaitCompletion(*order, 0, yield);
      OrdersOf(order->engine).busy = false;
    }
  }
}

std::optional<placement_order> placement_runner::NextAdapterOrder(
    const serving::adapter_request& request) {
  const serving::engine_spec* spec = nullptr;
  std::vector<serving::adapter_candidate> candidates;
  // An engine with a limit gets the order only if no other has the model.
  const auto has_model = [&](const auto& entry) {
    return host_.fleet.AcceptsRequests(entry.first) &&
           OrdersOf(entry.first).inventory.resident().count(request.model) > 0;
  };
  const auto& engines = host_.fleet.engines();
  const bool spares_limited =
      std::any_of(engines.begin(), engines.end(), [&](const auto& entry) {
        return has_model(entry) && !host_.limits.Limit(entry.first);
      });
  for (const auto& entry : engines) {
    const auto& id = entry.first;
    if (!has_model(entry) || (spares_limited && host_.limits.Limit(id)) ||
        host_.limits.DeniedFor(id) > clock::duration(0)) {
      continue;
    }
    const auto& orders = OrdersOf(id);
    if (!IsFree(orders)) continue;
    const auto* candidate_spec = EngineSpecOf(id);
    if (candidate_spec == nullptr) continue;
    spec = candidate_spec;
    candidates.push_back(
        {id, orders.inventory.resident(), candidate_spec->adapter_slots,
         candidate_spec->weights_mb - orders.inventory.UsedMb(*candidate_spec),
         host_.fleet.step_times().Ratio(id)});
  }
  if (spec == nullptr) return std::nullopt;
  double adapter_mb = 0;
  for (const auto& model : spec->models) {
    if (model.id == request.model) adapter_mb = model.adapter_mb;
  }
  const auto order = serving::PlanAdapter(
      candidates, request.model, request.adapter, adapter_mb,
      [this](const auto& model, const auto& adapter) {
        return AdapterRate(model, adapter);
      });
  if (order && !OrdersOf(order->engine).inventory.HasRoom(*order, *spec)) {
    return std::nullopt;
  }
  return order;
}

// Applies a residency change to this host and sends it to the others.
void placement_runner::PublishResidency(const endpoint_id& id,
                                        const model_id& model,
                                        const adapter_id& adapter,
                                        bool present) {
  const serving::residency_notice notice{
      id, OrdersOf(id).started_ms, model, adapter, present, {}};
  notices_.emplace_back(notice, host_.time.now());
  host_.fleet.OnNotice(notice);
  host_.changed.Notify();
  exchange_.SendNotice(notice);
}

std::vector<serving::residency_notice> placement_runner::RecentNotices() {
  const auto now = host_.time.now();
  notices_.erase(std::remove_if(notices_.begin(), notices_.end(),
                                [now](const auto& entry) {
                                  return now - entry.second > kNoticeRetention;
                                }),
                 notices_.end());
  std::vector<serving::residency_notice> recent;
  for (const auto& [notice, at] : notices_) {
    recent.push_back(notice);
    recent.back().age = now - at;
  }
  return recent;
}

double placement_runner::AdapterRate(const model_id& model,
                                     const adapter_id& adapter) const {
  double rate = host_.demand.Rate(model, adapter);
  for (const auto& [host, rates] : exchange_.demand()) {
    for (const auto& entry : rates) {
      if (entry.model == model && entry.adapter == adapter) {
        rate += entry.requests_per_s;
      }
    }
  }
  return rate;
}

}  // namespace bluebell::edge
