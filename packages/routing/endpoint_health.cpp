#include "routing/endpoint_health.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bluebell::routing {
namespace {

namespace msm = boost::msm;
using msm::front::none;

struct answered {};
struct announced_leaving {};
struct missed {};
struct refused {};
struct request_broken {};
struct probe_sent {};

struct health_machine_definition
    : msm::front::state_machine_def<health_machine_definition> {
  struct healthy : msm::front::state<> {};
  struct suspect : msm::front::state<> {};
  struct down : msm::front::state<> {};
  struct probing : msm::front::state<> {};
  struct leaving : msm::front::state<> {};

  using initial_state = healthy;

  template <class Source, class Event, class Target>
  using row = msm::front::Row<Source, Event, Target, none, none>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      row<healthy, missed,            suspect>,
      row<healthy, request_broken,    suspect>,
      row<healthy, refused,           down>,
      row<healthy, announced_leaving, leaving>,
      row<suspect, answered,          healthy>,
      row<suspect, missed,            down>,
      row<suspect, refused,           down>,
      row<suspect, announced_leaving, leaving>,
      row<down,    probe_sent,        probing>,
      row<down,    answered,          healthy>,
      row<down,    announced_leaving, leaving>,
      row<probing, answered,          healthy>,
      row<probing, missed,            down>,
      row<probing, refused,           down>,
      row<probing, announced_leaving, leaving>,
      row<leaving, answered,          healthy>,
      row<leaving, missed,            down>,
      row<leaving, refused,           down>> {};
  // clang-format on

  // Events without a transition leave the state unchanged.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}
};

}  // namespace

struct endpoint_health::machine
    : msm::back::state_machine<health_machine_definition> {};

const char* ToString(health_state state) {
  switch (state) {
    case health_state::kHealthy:
      return "healthy";
    case health_state::kSuspect:
      return "suspect";
    case health_state::kDown:
      return "down";
    case health_state::kProbing:
      return "probing";
    case health_state::kLeaving:
      return "leaving";
  }
  return "unknown";
}

endpoint_health::endpoint_health() : machine_(std::make_unique<machine>()) {
  machine_->start();
}
endpoint_health::~endpoint_health() = default;
endpoint_health::endpoint_health(endpoint_health&&) noexcept = default;
endpoint_health& endpoint_health::operator=(endpoint_health&&) noexcept =
    default;

// MSM numbers the states in the order in which they first appear as a source
// in the transition table, which is the order of `health_state`.
health_state endpoint_health::state() const {
  return static_cast<health_state>(machine_->current_state()[0]);
}

bool endpoint_health::Process(health_event event) {
  const health_state before = state();
  switch (event) {
    case health_event::kAnswered:
      machine_->process_event(answered{});
      break;
    case health_event::kAnnouncedLeaving:
      machine_->process_event(announced_leaving{});
      break;
    case health_event::kMissed:
      machine_->process_event(missed{});
      break;
    case health_event::kRefused:
      machine_->process_event(refused{});
      break;
    case health_event::kRequestBroken:
      machine_->process_event(request_broken{});
      break;
    case health_event::kProbeSent:
      machine_->process_event(probe_sent{});
      break;
  }
  return state() != before;
}

}  // namespace bluebell::routing
