#include "daemon/process_end.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <new>
#include <stdexcept>
#include <string>

namespace bluebell::daemon {
namespace {

void Protect() {
  const rlimit no_core{0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  ProtectProcess();
  SetReportedHost("host-1");
}

bool FailedStatus(int status) {
  return WIFSIGNALED(status) || (WIFEXITED(status) && WEXITSTATUS(status) != 0);
}

// No handler can catch what `thrower` throws.
void RunUnhandled(const std::function<void()>& thrower) noexcept { thrower(); }

int Recurse(volatile int* deeper) {
  volatile int here[1024] = {};
  if (*deeper < 0) return 0;
  here[0] = *deeper + 1;
  return Recurse(here) + here[0];
}

// Guards against an end by `std::terminate` that the log does not explain.
TEST(process_end_test, ExceptionIsNamed) {
  EXPECT_EXIT(
      {
        Protect();
        RunUnhandled([] { throw std::runtime_error("lost \"it\""); });
      },
      FailedStatus,
      "\"host\":\"host-1\",\"event\":\"process_ended\",\"cause\":\"exception\","
      "\"detail\":\"lost ..it..\"}");
}

TEST(process_end_test, LackOfMemoryIsNamed) {
  EXPECT_EXIT(
      {
        Protect();
        RunUnhandled([] { throw std::bad_alloc(); });
      },
      FailedStatus, "\"cause\":\"out_of_memory\"");
}

// Guards against an exhausted stack on which no handler can run.
TEST(process_end_test, ExhaustedStackIsNamed) {
  EXPECT_EXIT(
      {
        Protect();
        volatile int start = 0;
        std::exit(Recurse(&start));
      },
      FailedStatus, "\"cause\":\"signal\",\"detail\":\"SIGSEGV at 0x");
}

// Guards against a detail that is cut so that the line is no JSON.
TEST(process_end_test, LongDetailIsCut) {
  EXPECT_EXIT(
      {
        Protect();
        ReportEnd("cannot_start", std::string(5000, '"').c_str());
        ReportEnd("stopped", "twice");
        std::exit(1);
      },
      FailedStatus, "\"detail\":\"[^\n]{500,1000}\"}\n$");
}

}  // namespace
}  // namespace bluebell::daemon
