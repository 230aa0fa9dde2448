#include "gateway/task_stack.h"

#include <sys/mman.h>
#include <unistd.h>

#include <array>
#include <new>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#include <sanitizer/lsan_interface.h>
#endif

namespace bluebell::gateway {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kStackBytes = 512 * 1024;
#else
constexpr std::size_t kStackBytes = 128 * 1024;
#endif
constexpr std::size_t kKeptStacks = 32;

std::size_t PageBytes() {
  static const auto kBytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return kBytes;
}

// Needs no destructor, so that coroutines may end after their thread's.
struct kept_stacks {
  std::array<void*, kKeptStacks> tops;
  std::size_t count;
};
thread_local kept_stacks kept{};

void* Map() {
  const std::size_t usable = task_stack_allocator::stack_bytes();
  const std::size_t guard = PageBytes();
  void* base = mmap(nullptr, guard + usable, PROT_NONE,
                    MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
  if (base == MAP_FAILED) throw std::bad_alloc();
  char* bottom = static_cast<char*>(base) + guard;
  if (mprotect(bottom, usable, PROT_READ | PROT_WRITE) != 0) {
    munmap(base, guard + usable);
    throw std::bad_alloc();
  }
  return bottom + usable;
}

}  // namespace

std::size_t task_stack_allocator::stack_bytes() {
  const std::size_t page = PageBytes();
  return (kStackBytes + page - 1) / page * page;
}

void task_stack_allocator::allocate(boost::coroutines::stack_context& stack,
                                    std::size_t) {
  stack.sp = kept.count > 0 ? kept.tops[--kept.count] : Map();
  stack.size = stack_bytes();
  ClearStackMarks(stack.sp, stack.size);
#ifdef __SANITIZE_ADDRESS__
  // The leak check looks for references in the heap, not in mapped memory.
  __lsan_register_root_region(static_cast<char*>(stack.sp) - stack.size,
                              stack.size);
#endif
}

void task_stack_allocator::deallocate(boost::coroutines::stack_context& stack) {
  // The last frames of a coroutine may have ended by an exception.
  ClearStackMarks(stack.sp, stack.size);
#ifdef __SANITIZE_ADDRESS__
  __lsan_unregister_root_region(static_cast<char*>(stack.sp) - stack.size,
                                stack.size);
#endif
  if (kept.count < kKeptStacks) {
    kept.tops[kept.count++] = stack.sp;
    return;
  }
  const std::size_t mapped = PageBytes() + stack_bytes();
  munmap(static_cast<char*>(stack.sp) - mapped, mapped);
}

void ClearStackMarks([[maybe_unused]] const void* frame,
                     [[maybe_unused]] std::size_t bytes) {
#ifdef __SANITIZE_ADDRESS__
  __asan_unpoison_memory_region(static_cast<const char*>(frame) - bytes, bytes);
#endif
}

void ClearEndedFrames() {
  constexpr std::size_t kFrameBytes = 64 * 1024;
  ClearStackMarks(__builtin_frame_address(0), kFrameBytes);
}

}  // namespace bluebell::gateway
