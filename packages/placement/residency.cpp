#include "placement/residency.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

// A transition table of more than 20 rows needs longer type lists.
#include <boost/mpl/vector/vector30.hpp>

namespace bluebell::placement {
namespace {

namespace msm = boost::msm;
using msm::front::none;

struct load_ordered {};
struct unload_ordered {};
struct reported_loading {};
struct reported_resident {};
struct reported_absent {};
struct abandoned {};
struct absence_confirmed {};

struct residency_front : msm::front::state_machine_def<residency_front> {
  struct absent : msm::front::state<> {};
  struct ordered : msm::front::state<> {};
  struct loading : msm::front::state<> {};
  struct resident : msm::front::state<> {};
  struct unloading : msm::front::state<> {};
  struct unconfirmed_absent : msm::front::state<> {};

  using initial_state = absent;

  template <class Source, class Event, class Target>
  using row = msm::front::Row<Source, Event, Target, none, none>;

  // clang-format off
  struct transition_table : boost::mpl::vector21<
      row<absent,             load_ordered,      ordered>,
      row<absent,             reported_loading,  loading>,
      row<absent,             reported_resident, resident>,
      row<ordered,            unload_ordered,    unloading>,
      row<ordered,            reported_loading,  loading>,
      row<ordered,            reported_resident, resident>,
      row<ordered,            abandoned,         unconfirmed_absent>,
      row<loading,            load_ordered,      ordered>,
      row<loading,            unload_ordered,    unloading>,
      row<loading,            reported_resident, resident>,
      row<loading,            reported_absent,   unconfirmed_absent>,
      row<resident,           unload_ordered,    unloading>,
      row<resident,           reported_loading,  loading>,
      row<resident,           reported_absent,   unconfirmed_absent>,
      row<unloading,          load_ordered,      ordered>,
      row<unloading,          reported_absent,   unconfirmed_absent>,
      row<unconfirmed_absent, load_ordered,      ordered>,
      row<unconfirmed_absent, unload_ordered,    unloading>,
      row<unconfirmed_absent, reported_loading,  loading>,
      row<unconfirmed_absent, reported_resident, resident>,
      row<unconfirmed_absent, absence_confirmed, absent>> {};
  // clang-format on

  // Events without a row leave the state unchanged: an ordered load that is not
  // yet reported, for example, still counts.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}
};

}  // namespace

struct residency::machine : msm::back::state_machine<residency_front> {};

residency::residency() : machine_(std::make_unique<machine>()) {
  machine_->start();
}
residency::~residency() = default;
residency::residency(residency&&) noexcept = default;
residency& residency::operator=(residency&&) noexcept = default;

// MSM numbers the states in the order in which they first appear as a source
// in the transition table, which is the order of `residency_state`.
residency_state residency::state() const {
  return static_cast<residency_state>(machine_->current_state()[0]);
}

bool residency::Process(residency_event event) {
  const residency_state before = state();
  switch (event) {
    case residency_event::kLoadOrdered:
      machine_->process_event(load_ordered{});
      break;
    case residency_event::kUnloadOrdered:
      machine_->process_event(unload_ordered{});
      break;
    case residency_event::kReportedLoading:
      machine_->process_event(reported_loading{});
      break;
    case residency_event::kReportedResident:
      machine_->process_event(reported_resident{});
      break;
    case residency_event::kReportedAbsent:
      machine_->process_event(reported_absent{});
      break;
    case residency_event::kAbandoned:
      machine_->process_event(abandoned{});
      break;
    case residency_event::kAbsenceConfirmed:
      machine_->process_event(absence_confirmed{});
      break;
  }
  return state() != before;
}

}  // namespace bluebell::placement
