#include "idempotency/attempt_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bluebell::idempotency {
namespace {

namespace mpl = boost::mpl;
namespace msm = boost::msm;

template <attempt_event>
struct on {};

template <attempt_state State>
struct in : msm::front::state<> {
  template <class Event, class Machine>
  void on_entry(const Event&, Machine& machine) {  // NOLINT
    machine.current = State;
  }
};

template <attempt_state From, attempt_event Event, attempt_state To>
using step = msm::front::Row<in<From>, on<Event>, in<To>, msm::front::none,
                             msm::front::none>;

using st = attempt_state;
using ev = attempt_event;

struct definition : msm::front::state_machine_def<definition> {
  using initial_state = in<st::kWriting>;

  // kGivenUp and kFinished have no way out.
  struct transition_table
      : mpl::vector<step<st::kWriting, ev::kConfirm, st::kConfirmed>,
                    step<st::kWriting, ev::kAnswerLost, st::kReadingBack>,
                    step<st::kWriting, ev::kRewrite, st::kWriting>,
                    step<st::kWriting, ev::kFoundPending, st::kQuerying>,
                    step<st::kWriting, ev::kGiveUp, st::kGivenUp>,
                    step<st::kReadingBack, ev::kConfirm, st::kConfirmed>,
                    step<st::kReadingBack, ev::kRewrite, st::kWriting>,
                    step<st::kReadingBack, ev::kFoundPending, st::kQuerying>,
                    step<st::kReadingBack, ev::kGiveUp, st::kGivenUp>,
                    step<st::kQuerying, ev::kRewrite, st::kWriting>,
                    step<st::kQuerying, ev::kGiveUp, st::kGivenUp>,
                    step<st::kConfirmed, ev::kDispatch, st::kDispatched>,
                    step<st::kConfirmed, ev::kNotRun, st::kGivenUp>,
                    step<st::kConfirmed, ev::kGiveUp, st::kGivenUp>,
                    step<st::kDispatched, ev::kNotRun, st::kGivenUp>,
                    step<st::kDispatched, ev::kFinish, st::kFinished>> {};

  template <class Machine, class Event>
  void no_transition(const Event&, Machine&, int) {}  // NOLINT

  attempt_state current = attempt_state::kWriting;
};

using machine = msm::back::state_machine<definition>;

}  // namespace

struct attempt_machine::implementation {
  machine core;

  template <attempt_event Event>
  bool Send() {
    return core.process_event(on<Event>{}) == msm::back::HANDLED_TRUE;
  }
};

attempt_machine::attempt_machine()
    : implementation_(std::make_unique<implementation>()) {
  implementation_->core.start();
}

attempt_machine::~attempt_machine() = default;

bool attempt_machine::Process(attempt_event what) {
  switch (what) {
    case ev::kConfirm:
      return implementation_->Send<ev::kConfirm>();
    case ev::kAnswerLost:
      return implementation_->Send<ev::kAnswerLost>();
    case ev::kRewrite:
      return implementation_->Send<ev::kRewrite>();
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

attempt_state attempt_machine::state() const {
  return implementation_->core.current;
}

}  // namespace bluebell::idempotency
