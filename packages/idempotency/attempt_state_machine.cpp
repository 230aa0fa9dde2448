#include "idempotency/attempt_state_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bluebell::idempotency {
namespace {

namespace mpl = boost::mpl;
namespace msm = boost::msm;

template <attempt_event>
struct event_tag {};

template <attempt_state State>
struct tagged_state : msm::front::state<> {
  template <class Event, class Machine>
  void on_entry(const Event&, Machine& machine) {  // NOLINT
    machine.current = State;
  }
};

template <attempt_state From, attempt_event Event, attempt_state To>
using transition =
    msm::front::Row<tagged_state<From>, event_tag<Event>, tagged_state<To>,
                    msm::front::none, msm::front::none>;

using st = attempt_state;
using ev = attempt_event;

struct state_machine_definition
    : msm::front::state_machine_def<state_machine_definition> {
  using initial_state = tagged_state<st::kWriting>;

  // kGivenUp and kFinished are final: they have no outgoing transition.
  struct transition_table
      : mpl::vector<
            transition<st::kWriting, ev::kConfirm, st::kConfirmed>,
            transition<st::kWriting, ev::kWriteOutcomeUnknown,
                       st::kReadingBack>,
            transition<st::kWriting, ev::kRetryWrite, st::kWriting>,
            transition<st::kWriting, ev::kFoundPending, st::kQuerying>,
            transition<st::kWriting, ev::kGiveUp, st::kGivenUp>,
            transition<st::kReadingBack, ev::kConfirm, st::kConfirmed>,
            transition<st::kReadingBack, ev::kRetryWrite, st::kWriting>,
            transition<st::kReadingBack, ev::kFoundPending, st::kQuerying>,
            transition<st::kReadingBack, ev::kGiveUp, st::kGivenUp>,
            transition<st::kQuerying, ev::kRetryWrite, st::kWriting>,
            transition<st::kQuerying, ev::kGiveUp, st::kGivenUp>,
            transition<st::kConfirmed, ev::kDispatch, st::kDispatched>,
            transition<st::kConfirmed, ev::kNotRun, st::kGivenUp>,
            transition<st::kConfirmed, ev::kGiveUp, st::kGivenUp>,
            transition<st::kDispatched, ev::kNotRun, st::kGivenUp>,
            transition<st::kDispatched, ev::kFinish, st::kFinished>> {};

  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}  // NOLINT

  attempt_state current = attempt_state::kWriting;
};

using msm_machine = msm::back::state_machine<state_machine_definition>;

}  // namespace

struct attempt_state_machine::implementation {
  msm_machine state_machine;

  template <attempt_event Event>
  bool Send() {
    return state_machine.process_event(event_tag<Event>{}) ==
           msm::back::HANDLED_TRUE;
  }
};

attempt_state_machine::attempt_state_machine()
    : implementation_(std::make_unique<implementation>()) {
  implementation_->state_machine.start();
}

attempt_state_machine::~attempt_state_machine() = default;

bool attempt_state_machine::Process(attempt_event event) {
  switch (event) {
    case ev::kConfirm:
      return implementation_->Send<ev::kConfirm>();
    case ev::kWriteOutcomeUnknown:
      return implementation_->Send<ev::kWriteOutcomeUnknown>();
    case ev::kRetryWrite:
      return implementation_->Send<ev::kRetryWrite>();
    case ev::kFoundPending:
      return implementation_->Send<ev::kFoundPending>();
    case ev::kDispatch:
      return implementation_->Send<ev::kDispatch>();
    case ev::kFinish:
      return implementation_->Send<ev::kFinish>();
    case ev::kNotRun:
      return implementation_->Send<ev::kNotRun>();
    case ev::kGiveUp:
      return implementation_->Send<ev::kGiveUp>();
  }
  return false;
}

attempt_state attempt_state_machine::state() const {
  return implementation_->state_machine.current;
}

}  // namespace bluebell::idempotency
