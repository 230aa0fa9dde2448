#pragma once

#include <boost/coroutine/stack_context.hpp>
#include <cstddef>

namespace bluebell::gateway {

/// Allocates the stacks of coroutines. A page without access below each stack
/// turns an overflow into a fault. Some unused stacks are kept for the next
/// coroutines of the thread; the others go back to the system.
class task_stack_allocator {
 public:
  /// Size of each stack.
  static std::size_t stack_bytes();

  /// Throws `std::bad_alloc`. The size is `stack_bytes()`, whatever is asked.
  void allocate(boost::coroutines::stack_context& stack, std::size_t);
  void deallocate(boost::coroutines::stack_context& stack);
};

/// The address sanitizer cannot follow an exception on the stack of a
/// coroutine. Clears its marks of `bytes` below `frame`, whose frames an
/// exception has ended or is about to end; later calls would run into them. No
/// effect in other builds.
void ClearStackMarks(const void* frame, std::size_t bytes);

/// The same for the frames that ended by an exception which the caller caught.
void ClearEndedFrames();

}  // namespace bluebell::gateway
