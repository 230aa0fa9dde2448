#include "edge/placement_runner.h"

#include <algorithm>
#include <cmath>

#include "edge/pause.h"
#include "gateway/network.h"
#include "serving/adapter_planner.h"

namespace bluebell::edge {
namespace {

using serving::order_kind;
using serving::placement_order;

constexpr milliseconds kReadInterval{700};
// Hosts that watch the record and may take over; the others save the calls.
constexpr int kCandidates = 3;
constexpr milliseconds kDutyStep{100};
constexpr milliseconds kPlanInterval{200};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kReportInterval{200};
// An engine that refused an order is busy or counts other orders; its report
// shows which with a lag of a few hundred milliseconds.
constexpr milliseconds kAfterRefusal{250};
// A notice is repeated in the digests of this time, since datagrams get lost.
constexpr milliseconds kNoticeRepeats{700};
// Time that an adapter takes from the store to an engine, at most, while few
// are on their way.
constexpr milliseconds kAdapterLoad{12};
// Orders for one adapter: some that make room, and the load.
constexpr int kMostAdapterOrders = 4;
// Time over which the lasting demand of a model is averaged.
constexpr double kLastingSeconds = 15;
// Part of the weight store's rate that is used; the rest covers loads that
// the holder before has started.
constexpr double kStoreRatePart = 0.85;
constexpr double kMostStoreLoads = 2;
// Part of an engine's slots that a copy fills comfortably.
constexpr double kComfortPart = 0.3;
// Requests hold a slot for at least this long in the plan, so that the first
// short ones do not make a copy look faster than it is.
constexpr double kLeastHeldSeconds = 0.6;
// An order that takes this many times its expected time is given up; the
// engine's report then tells what became of it.
constexpr double kOrderPatience = 4;

}  // namespace

placement_runner::placement_runner(edge_state& host, digest_exchange& exchange)
    : host_(host), exchange_(exchange) {
  exchange_.on_want = [this](const auto& want) { OnWant(want); };
  exchange_.notices = [this] { return Notices(); };
}

void placement_runner::RunDuty(boost::asio::yield_context yield) {
  clock::time_point read_at;
  while (!host_.leaving) {
    const auto now = host_.time.now();
    const bool own = host_.duty.known().holder == host_.settings.id;
    const bool watches = host_.directory.Rank() < kCandidates;
    if (!own && watches && now - read_at >= kReadInterval) {
      read_at = now;
      const auto read = host_.store.ReadDuty(yield);
      if (read) {
        const auto before = host_.duty.known().holder;
        host_.duty.OnRead(*read);
        if (before != read->holder) {
          host_.log.Write("placement_holder",
                          {{"holder", read->holder.value()},
                           {"revision", std::to_string(read->revision)}});
        }
      }
    }
    if (own || watches) WriteDuty(yield);
    const bool acts = host_.duty.MayAct();
    if (acts != acting_) {
      acting_ = acts;
      work_.clear();
      host_.log.Write(
          acts ? "placement_begins" : "placement_ends",
          {{"fencing", std::to_string(host_.duty.fencing_number())}});
    }
    Pause(host_.io, kDutyStep, yield);
  }
}

bool placement_runner::WriteDuty(boost::asio::yield_context yield) {
  const auto wanted = host_.duty.NextWrite();
  if (!wanted) return false;
  const auto sent = host_.time.now();
  const auto written = host_.store.WriteDuty(*wanted, yield);
  if (written) {
    host_.duty.OnWritten(*written, wanted->released, sent);
    return true;
  }
  host_.metrics.Count("duty_write_failed");
  // A lost answer may stand for a grant, a conflict for a new holder: read.
  const auto read = host_.store.ReadDuty(yield);
  if (read) host_.duty.OnRead(*read);
  return false;
}

void placement_runner::Resign(boost::asio::yield_context yield) {
  host_.duty.Resign();
  if (WriteDuty(yield)) host_.log.Write("placement_released", {});
}

void placement_runner::RunPlanning(boost::asio::yield_context yield) {
  planned_ = host_.time.now();
  while (true) {
    Pause(host_.io, kPlanInterval, yield);
    const auto now = host_.time.now();
    const double passed = std::chrono::duration<double>(now - planned_).count();
    planned_ = now;
    if (!host_.duty.MayAct() || host_.config == nullptr) continue;
    for (const auto& service : host_.config->services) {
      if (!service.engine) continue;
      store_loads_ = std::min(
          kMostStoreLoads,
          store_loads_ + passed * kStoreRatePart * service.engine->loads_per_s);
      auto input = BuildInput(service);
      for (auto& [model, demand] : input.demand) {
        auto& lasting = lasting_[model];
        lasting +=
            std::min(1.0, passed / kLastingSeconds) * (demand.recent - lasting);
        demand.lasting = lasting;
      }
      for (auto& order : serving::PlanCopies(input)) {
        auto& work = WorkOf(order.engine);
        if (!IsFree(work) || !work.ledger.HasRoom(order, *service.engine)) {
          continue;
        }
        work.busy = true;
        if (order.from_store) store_loads_ -= 1;
        gateway::SpawnTask(
            host_.io, [this, order](auto inner) { CarryOut(order, inner); });
      }
    }
  }
}

serving::planner_input placement_runner::BuildInput(
    const serving::service& service) {
  serving::planner_input input;
  input.models = service.engine->models;
  input.store_loads = static_cast<int>(store_loads_);
  const auto now = host_.time.now();
  double held = 0;
  double slots = 0;
  int count = 0;
  for (const auto& [id, engine] : host_.fleet.engines()) {
    if (engine.record.service != service.id || engine.record.leaving) {
      continue;
    }
    auto& work = WorkOf(id);
    if (!work.ledger.known()) ReadLedger(id);
    serving::planned_engine planned;
    planned.id = id;
    planned.weights_mb = service.engine->weights_mb;
    // Before the first report the record tells what is there, so that copies
    // are counted; the engine gets no order yet.
    planned.resident =
        work.ledger.known() ? work.ledger.resident() : engine.Resident(now);
    planned.in_memory = work.ledger.in_memory();
    planned.on_disk = work.ledger.on_disk();
    planned.busy = !IsFree(work);
    planned.pace = host_.fleet.pace().Of(id);
    if (work.loading && !planned.resident.count(*work.loading)) {
      planned.loading = work.loading;
    }
    input.engines.push_back(std::move(planned));
    held += engine.held_s;
    slots += engine.record.slots;
    ++count;
  }
  input.adapter_slots = service.engine->adapter_slots;
  if (count > 0) {
    input.comfortable_per_copy = kComfortPart * (slots / count) /
                                 std::max(kLeastHeldSeconds, held / count);
  }
  std::set<std::pair<model_id, adapter_id>> adapters;
  const auto count_use = [&](const serving::model_use& use) {
    if (use.adapter.value().empty()) {
      input.demand[use.model].recent += use.requests_per_s;
    } else if (adapters.insert({use.model, use.adapter}).second) {
      ++input.demand[use.model].adapters;
    }
  };
  for (const auto& use : host_.demand.Rates()) count_use(use);
  for (const auto& [host, uses] : exchange_.demand()) {
    for (const auto& use : uses) count_use(use);
  }
  for (const auto& model : input.models) input.demand[model.id];
  return input;
}

// The work entry of an engine; new for each of its starts.
placement_runner::engine_work& placement_runner::WorkOf(const endpoint_id& id) {
  auto& work = work_[id];
  const auto* engine = host_.fleet.Find(id);
  if (engine != nullptr && work.started_ms != engine->record.started_ms) {
    work = {};
    work.started_ms = engine->record.started_ms;
  }
  return work;
}

const serving::engine_spec* placement_runner::SpecOf(
    const endpoint_id& id) const {
  const auto* engine = host_.fleet.Find(id);
  if (engine == nullptr || host_.config == nullptr) return nullptr;
  const auto* service = host_.config->FindService(engine->record.service);
  return service == nullptr || !service->engine ? nullptr : &*service->engine;
}

bool placement_runner::IsFree(const engine_work& work) const {
  return work.ledger.known() && !work.ledger.busy() && !work.busy &&
         !work.sending && host_.time.now() >= work.refused_until;
}

// Asks the engine what it holds, unless it was asked or refused just now.
void placement_runner::ReadLedger(const endpoint_id& id) {
  auto& work = WorkOf(id);
  if (work.sending || work.busy || host_.time.now() < work.refused_until) {
    return;
  }
  work.sending = true;
  gateway::SpawnTask(host_.io, [this, id](auto yield) {
    const auto report = Report(id, yield);
    auto& asked = WorkOf(id);
    asked.sending = false;
    if (!report || report->busy) {
      asked.refused_until = host_.time.now() + kAfterRefusal;
    }
    if (report && !report->busy) asked.ledger.OnReport(*report);
  });
}

void placement_runner::CarryOut(placement_order order,
                                boost::asio::yield_context yield) {
  const auto result = Send(order, yield);
  if (result == order_result::kAccepted) {
    double expected_s = 1;
    const auto* spec = SpecOf(order.engine);
    if (spec != nullptr && order.kind == order_kind::kLoad) {
      for (const auto& model : spec->models) {
        if (model.id != order.model) continue;
        expected_s =
            order.from_store ? model.load_from_store_s : model.load_from_disk_s;
      }
    }
    if (order.kind == order_kind::kLoad) {
      WorkOf(order.engine).loading = order.model;
    } else {
      // Else the next plan would make room for it at another engine as well.
      WorkOf(order.engine).loading = order.makes_room_for;
      Publish(order.engine, order.model, {}, false);
    }
    AwaitEnd(order, expected_s, yield);
  }
  auto& after = WorkOf(order.engine);
  after.busy = false;
  after.loading.reset();
}

// Waits until the engine's report shows the order as done.
void placement_runner::AwaitEnd(const placement_order& order, double expected_s,
                                boost::asio::yield_context yield) {
  const auto begun = host_.time.now();
  const auto patience =
      std::chrono::duration<double>(2 + kOrderPatience * expected_s);
  if (order.kind == order_kind::kLoad) {
    Pause(host_.io, milliseconds(static_cast<int>(expected_s * 900)), yield);
  }
  while (host_.time.now() - begun < patience) {
    const auto report = Report(order.engine, yield);
    if (!host_.duty.MayAct() || host_.fleet.Find(order.engine) == nullptr) {
      return;
    }
    if (report && !report->busy &&
        report->order_count >= WorkOf(order.engine).ledger.order_count()) {
      WorkOf(order.engine).ledger.OnReport(*report);
      const auto model = report->resident.find(order.model);
      const bool there =
          model != report->resident.end() &&
          (order.adapter.value().empty() || model->second.count(order.adapter));
      Publish(order.engine, order.model, order.adapter, there);
      host_.log.Write(
          "order_done",
          {{"engine", order.engine.value()},
           {"model", order.model.value()},
           {"adapter", order.adapter.value()},
           {"kind", order.kind == order_kind::kLoad ? "load" : "unload"},
           {"present", there ? "yes" : "no"},
           {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                     host_.time.now() - begun)
                                     .count())}});
      return;
    }
    Pause(host_.io, kReportInterval, yield);
  }
}

placement_runner::order_result placement_runner::Send(
    const placement_order& order, boost::asio::yield_context yield) {
  const auto* engine = host_.fleet.Find(order.engine);
  if (engine == nullptr) return order_result::kGone;
  const std::string address = engine->record.address;
  auto& before = WorkOf(order.engine);
  before.sending = true;
  const auto started_ms = before.started_ms;
  const std::int64_t expected = before.ledger.order_count();
  auto result = order_result::kGone;
  std::string detail;
  auto lease = host_.connections.Take(order.engine, address, kOrderTimeout,
                                      kOrderTimeout, yield);
  // Asked after the wait for the connection: the duty may have ended.
  if (!lease) {
    detail = lease.error().detail;
  } else if (!host_.duty.MayAct()) {
    detail = "duty ended";
  } else {
    const auto request = host_.dialect.OrderRequest(
        {order, host_.settings.id, host_.duty.fencing_number(), expected});
    result = order_result::kNoAnswer;
    if (lease->connection->Send(request, kOrderTimeout, yield, true)) {
      const auto head = lease->connection->ReadHead(kOrderTimeout, yield);
      if (head) {
        detail = std::to_string(head->status);
        result = head->status == 202   ? order_result::kAccepted
                 : head->status == 200 ? order_result::kDone
                                       : order_result::kRefused;
        const auto body =
            lease->connection->ReadBody(65536, kOrderTimeout, yield);
        if (body) {
          host_.connections.Return(order.engine, std::move(*lease),
                                   kOrderTimeout);
        }
      }
    }
  }
  auto& after = WorkOf(order.engine);
  if (after.started_ms == started_ms) {
    after.sending = false;
    const bool is_unload = order.kind == order_kind::kUnload;
    if (result == order_result::kAccepted ||
        (result == order_result::kDone && is_unload)) {
      after.ledger.OnAccepted(order, result == order_result::kDone);
    } else if (result != order_result::kGone) {
      // A load that holds already does not count as accepted everywhere.
      after.ledger.OnUncertain();
      after.refused_until = host_.time.now() + kAfterRefusal;
    }
  }
  host_.log.Write(
      "order_sent",
      {{"engine", order.engine.value()},
       {"kind", order.kind == order_kind::kLoad ? "load" : "unload"},
       {"model", order.model.value()},
       {"adapter", order.adapter.value()},
       {"expected", std::to_string(expected)},
       {"fencing", std::to_string(host_.duty.fencing_number())},
       {"from_store", order.from_store ? "yes" : "no"},
       {"demand_per_copy", std::to_string(order.demand_per_copy)},
       {"displaced_per_copy", std::to_string(order.displaced_per_copy)},
       {"answer", detail}});
  return result;
}

std::optional<serving::engine_report> placement_runner::Report(
    const endpoint_id& id, boost::asio::yield_context yield) {
  const auto* engine = host_.fleet.Find(id);
  if (engine == nullptr) return std::nullopt;
  const auto started_ms = engine->record.started_ms;
  const std::string address = engine->record.address;
  auto lease =
      host_.connections.Take(id, address, kOrderTimeout, kOrderTimeout, yield);
  if (!lease) return std::nullopt;
  if (!lease->connection->Send(host_.dialect.ReportRequest(id), kOrderTimeout,
                               yield, true)) {
    return std::nullopt;
  }
  const auto head = lease->connection->ReadHead(kOrderTimeout, yield);
  if (!head || head->status != 200) return std::nullopt;
  const auto body =
      lease->connection->ReadBody(1024 * 1024, kOrderTimeout, yield);
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

void placement_runner::OnWant(const serving::adapter_want& want) {
  if (!host_.duty.MayAct()) return;
  if (!wanted_.insert({want.model, want.adapter}).second) return;
  gateway::SpawnTask(host_.io, [this, want](auto yield) {
    LoadAdapter(want, yield);
    wanted_.erase({want.model, want.adapter});
  });
}

void placement_runner::LoadAdapter(const serving::adapter_want& want,
                                   boost::asio::yield_context yield) {
  // A host that missed the notice asks for what is there already.
  for (const auto& [id, engine] : host_.fleet.engines()) {
    const auto& resident = WorkOf(id).ledger.resident();
    const auto model = resident.find(want.model);
    if (!engine.record.leaving && model != resident.end() &&
        model->second.count(want.adapter)) {
      Publish(id, want.model, want.adapter, true);
      return;
    }
  }
  for (int orders = 0; orders < kMostAdapterOrders; ++orders) {
    if (!host_.duty.MayAct()) return;
    const auto order = NextAdapterOrder(want);
    if (!order) return;
    const auto result = Send(*order, yield);
    const bool loads = order->kind == order_kind::kLoad;
    if (result != order_result::kAccepted && result != order_result::kDone) {
      continue;
    }
    if (loads) {
      if (result == order_result::kAccepted)
        Pause(host_.io, kAdapterLoad, yield);
      Publish(order->engine, order->model, order->adapter, true);
      return;
    }
    Publish(order->engine, order->model, order->adapter, false);
    if (result == order_result::kAccepted) {
      // A run still uses the adapter that makes way; until it ends, the engine
      // takes no other order.
      WorkOf(order->engine).busy = true;
      AwaitEnd(*order, 0, yield);
      WorkOf(order->engine).busy = false;
    }
  }
}

std::optional<placement_order> placement_runner::NextAdapterOrder(
    const serving::adapter_want& want) {
  const serving::engine_spec* spec = nullptr;
  std::vector<serving::adapter_candidate> candidates;
  for (const auto& [id, engine] : host_.fleet.engines()) {
    if (engine.record.leaving) continue;
    const auto& work = WorkOf(id);
    if (!IsFree(work) || !work.ledger.resident().count(want.model)) continue;
    const auto* own = SpecOf(id);
    if (own == nullptr) continue;
    spec = own;
    candidates.push_back({id, work.ledger.resident(), own->adapter_slots,
                          own->weights_mb - work.ledger.UsedMb(*own),
                          host_.fleet.pace().Of(id)});
  }
  if (spec == nullptr) return std::nullopt;
  double adapter_mb = 0;
  for (const auto& model : spec->models) {
    if (model.id == want.model) adapter_mb = model.adapter_mb;
  }
  const auto order =
      serving::PlanAdapter(candidates, want.model, want.adapter, adapter_mb,
                           [this](const auto& model, const auto& adapter) {
                             return AdapterRate(model, adapter);
                           });
  if (order && !WorkOf(order->engine).ledger.HasRoom(*order, *spec)) {
    return std::nullopt;
  }
  return order;
}

// Makes a change known here and at the other hosts.
void placement_runner::Publish(const endpoint_id& id, const model_id& model,
                               const adapter_id& adapter, bool present) {
  const serving::residency_notice notice{
      id, WorkOf(id).started_ms, model, adapter, present, {}};
  notices_.emplace_back(notice, host_.time.now());
  host_.fleet.OnNotice(notice);
  host_.changed.Notify();
  exchange_.SendNotice(notice);
}

std::vector<serving::residency_notice> placement_runner::Notices() {
  const auto now = host_.time.now();
  notices_.erase(std::remove_if(notices_.begin(), notices_.end(),
                                [now](const auto& entry) {
                                  return now - entry.second > kNoticeRepeats;
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
  double rate = host_.demand.Of(model, adapter);
  for (const auto& [host, uses] : exchange_.demand()) {
    for (const auto& use : uses) {
      if (use.model == model && use.adapter == adapter) {
        rate += use.requests_per_s;
      }
    }
  }
  return rate;
}

}  // namespace bluebell::edge
