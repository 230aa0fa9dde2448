#include "fleet/host_status_machine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace bluebell::fleet {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct contact_known {};
struct majority_without_contact {};
struct no_majority {};

struct status_definition : msm::front::state_machine_def<status_definition> {
  struct isolated : msm::front::state<> {};
  struct connected : msm::front::state<> {};
  struct outage : msm::front::state<> {};
  using initial_state = isolated;

  template <host_status Status>
  struct enter {
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) {
      machine.status = Status;
      if (machine.on_change) machine.on_change(Status);
    }
  };
  using to_connected = enter<host_status::kConnected>;
  using to_outage = enter<host_status::kOutage>;
  using to_isolated = enter<host_status::kIsolated>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<isolated, contact_known, connected, to_connected, none>,
      Row<isolated, majority_without_contact, outage, to_outage, none>,
      Row<connected, majority_without_contact, outage, to_outage, none>,
      Row<connected, no_majority, isolated, to_isolated, none>,
      Row<outage, contact_known, connected, to_connected, none>,
      Row<outage, no_majority, isolated, to_isolated, none>> {};
  // clang-format on

  // An event that matches the current state is ignored.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}

  host_status status = host_status::kIsolated;
  std::function<void(host_status)> on_change;
};

}  // namespace

struct host_status_machine::machine {
  msm::back::state_machine<status_definition> states;
};

host_status_machine::host_status_machine(
    std::function<void(host_status)> on_change)
    : machine_(std::make_unique<machine>()) {
  machine_->states.on_change = std::move(on_change);
  machine_->states.start();
}

host_status_machine::~host_status_machine() = default;

void host_status_machine::Apply(host_status found) {
  switch (found) {
    case host_status::kConnected:
      machine_->states.process_event(contact_known{});
      break;
    case host_status::kOutage:
      machine_->states.process_event(majority_without_contact{});
      break;
    case host_status::kIsolated:
      machine_->states.process_event(no_majority{});
      break;
  }
}

host_status host_status_machine::status() const {
  return machine_->states.status;
}

}  // namespace bluebell::fleet
