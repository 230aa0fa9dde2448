#include "daemon/demand_exchange.h"

#include <nlohmann/json.hpp>

#include "base/json_member.h"

namespace bluebell::daemon {
namespace {

constexpr char kReportMessage[] = "demand_report";
constexpr char kControllerLeaseKey[] = "controller/lease";
/// The controller learns of a request for a target that is resident nowhere
/// after at most this time.
constexpr std::chrono::milliseconds kReportInterval{500};
constexpr std::chrono::seconds kReportTimeout{2};
/// Reports per lookup of the controller: 340 hosts that read the lease every
/// 5 s make 68 of the 2,000 reads per second that the platform serves.
constexpr int kReportsPerLookup = 10;

}  // namespace

nlohmann::json ToJson(const std::vector<routing::target_demand>& demand,
                      const std::vector<routing::waiting_target>& waiting) {
  nlohmann::json demand_list = nlohmann::json::array();
  for (const auto& entry : demand) {
    demand_list.push_back({{"target", entry.target},
                           {"service", entry.is_service},
                           {"account", entry.account.value()},
                           {"weight", entry.weight},
                           {"priority", entry.priority},
                           {"requests", entry.requests},
                           {"tokens", entry.tokens.value()}});
  }
  nlohmann::json waiting_list = nlohmann::json::array();
  for (const auto& entry : waiting) {
    waiting_list.push_back({{"target", entry.target},
                            {"service", entry.is_service},
                            {"waiting", entry.waiting}});
  }
  return {{"demand", std::move(demand_list)},
          {"waiting", std::move(waiting_list)}};
}

bool FromJson(const nlohmann::json& body,
              std::vector<routing::target_demand>& demand,
              std::vector<routing::waiting_target>& waiting) {
  try {
    for (const auto& entry : body.at("demand")) {
      routing::target_demand parsed;
      parsed.target = entry.at("target");
      parsed.is_service = entry.at("service");
      parsed.account = account_id(entry.at("account"));
      parsed.weight = entry.at("weight");
      parsed.priority = entry.at("priority");
      parsed.requests = entry.at("requests");
      parsed.tokens = token_count(entry.at("tokens").get<std::int64_t>());
      demand.push_back(std::move(parsed));
    }
    for (const auto& entry : body.at("waiting")) {
      waiting.push_back(
          {entry.at("target"), entry.at("service"), entry.at("waiting")});
    }
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

demand_exchange::demand_exchange(peer::peer_network& peers,
                                 store::object_store& store,
                                 const fleet::fleet_view& fleet,
                                 routing::queue_scheduler& scheduler,
                                 placement::controller& controller, clock& time)
    : peers_(peers),
      store_(store),
      fleet_(fleet),
      scheduler_(scheduler),
      controller_(controller),
      time_(time) {
  peers_.SetHandler(
      kReportMessage, [this, alive = std::weak_ptr<char>(alive_)](
                          const host_id& sender, const nlohmann::json& body,
                          const peer::peer_network::respond& answer) {
        std::vector<routing::target_demand> demand;
        std::vector<routing::waiting_target> waiting;
        const bool valid = !alive.expired() && FromJson(body, demand, waiting);
        if (valid) controller_.OnDemand(sender, demand, waiting);
        answer({{"taken", valid}});
      });
}

void demand_exchange::Start() { Tick(); }

void demand_exchange::Tick() {
  if (ticks_++ % kReportsPerLookup == 0) FindController();
  Report();
  next_ = time_.CallAfter(kReportInterval, [this] { Tick(); });
}

void demand_exchange::FindController() {
  store_.Get(kControllerLeaseKey, [this, alive = std::weak_ptr<char>(alive_)](
                                      const result<store::object>& found) {
    if (alive.expired() || !found || !found->value.is_object()) return;
    controller_host_ = host_id(MemberOr(found->value, "host", std::string()));
  });
}

void demand_exchange::Report() {
  // The scheduler keeps the demand until a controller is known.
  const bool controls = controller_.in_control();
  const bool unknown =
      controller_host_ == host_id() || controller_host_ == fleet_.self();
  if (!controls && unknown) return;
  const auto waiting = scheduler_.WaitingTargets();
  const auto demand = scheduler_.TakeDemand();
  if (controls) {
    controller_.OnDemand(fleet_.self(), demand, waiting);
    return;
  }
  // One empty report signals that nothing waits any longer. Further ones would
  // cost the controller of 340 hosts 1,360 messages per second.
  const bool empty = demand.empty() && waiting.empty();
  if (empty && last_report_empty_) return;
  last_report_empty_ = empty;
  peers_.Request(controller_host_, kReportMessage, ToJson(demand, waiting),
                 kReportTimeout, [](const result<nlohmann::json>&) {});
}

}  // namespace bluebell::daemon
