#include "gateway/network.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <utility>

#include "gateway/task_stack.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;

using coroutine = asio::yield_context::callee_type;
using resumer = asio::yield_context::caller_type;
// The handler type of `asio::yield_context`; only its executor is used.
using task_handler = asio::executor_binder<void (*)(), asio::any_io_executor>;

struct task_state {
  std::function<void(asio::yield_context)> task;
  task_handler handler;
  std::weak_ptr<coroutine> self;
  /// Frame at the begin of the coroutine's stack. Not a member: what destroys
  /// the coroutine must not own the state, which refers to it.
  std::shared_ptr<const void*> first_frame;
};

void RunTask(task_state& state, resumer& resume) {
  *state.first_frame = __builtin_frame_address(0);
  const asio::yield_context yield(state.self, resume, state.handler);
  try {
    state.task(yield);
  } catch (const std::exception& failure) {
    std::cerr << "task ended by an exception: " << failure.what() << std::endl;
  }
}

}  // namespace

void DisableNagle(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

// Like `asio::spawn`, which accepts no stack allocator and allocates the stack
// in a handler, where a failure cannot be caught.
void SpawnTask(asio::io_context& context,
               std::function<void(asio::yield_context)> task) {
  const auto state = std::make_shared<task_state>(task_state{
      std::move(task),
      task_handler(asio::executor_arg_t(), context.get_executor(), [] {}),
      {},
      std::make_shared<const void*>(nullptr)});
  const std::shared_ptr<coroutine> created(
      new coroutine(
          [state](resumer& resume) { RunTask(*state, resume); },
          boost::coroutines::attributes(task_stack_allocator::stack_bytes()),
          task_stack_allocator()),
      [frame = state->first_frame](const coroutine* ended) {
        // A suspended coroutine is ended by an exception.
        if (*frame != nullptr) {
          ClearStackMarks(*frame, task_stack_allocator::stack_bytes());
        }
        delete ended;
      });
  state->self = created;
  asio::dispatch(context, [created] { (*created)(); });
}

}  // namespace bluebell::gateway
