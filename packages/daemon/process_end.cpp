#include "daemon/process_end.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <new>

namespace bluebell::daemon {
namespace {

struct fatal_signal {
  int number;
  const char* name;
  /// The kernel sends it for an instruction that fails, and again if the
  /// handler returns.
  bool is_fault;
};

constexpr fatal_signal kFatalSignals[] = {
    {SIGSEGV, "SIGSEGV", true},  {SIGBUS, "SIGBUS", true},
    {SIGFPE, "SIGFPE", true},    {SIGILL, "SIGILL", true},
    {SIGTRAP, "SIGTRAP", true},  {SIGABRT, "SIGABRT", false},
    {SIGQUIT, "SIGQUIT", false}, {SIGXCPU, "SIGXCPU", false},
};

// Each ends a process by default. SIGXFSZ: the log has reached the limit on
// the size of files; the write fails instead.
constexpr int kIgnoredSignals[] = {
    SIGPIPE,   SIGHUP,  SIGUSR1, SIGUSR2, SIGALRM,
    SIGVTALRM, SIGPROF, SIGIO,   SIGXFSZ, SIGPWR,
};

// Signals that stop a process without ending it; callers would wait.
constexpr int kIgnoredStops[] = {SIGTSTP, SIGTTIN, SIGTTOU};

constexpr std::size_t kAlternateStackBytes = 64 * 1024;
constexpr std::size_t kLineBytes = 1024;
constexpr std::size_t kHostBytes = 64;
constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

int report_descriptor = STDERR_FILENO;
std::array<char, kHostBytes> reported_host{};
std::atomic<bool> end_reported{false};
std::array<struct sigaction, NSIG> previous_actions{};
alignas(
    std::max_align_t) std::array<char, kAlternateStackBytes> alternate_stack{};

// A line that is composed without allocation; what does not fit is cut.
class line_buffer {
 public:
  void Append(const char* text) {
    for (; *text != '\0'; ++text) Put(*text);
  }

  void AppendNumber(std::int64_t value) {
    if (value < 0) Put('-');
    AppendUnsigned(value < 0 ? -static_cast<std::uint64_t>(value)
                             : static_cast<std::uint64_t>(value),
                   10);
  }

  void AppendAddress(const void* address) {
    Append("0x");
    AppendUnsigned(reinterpret_cast<std::uintptr_t>(address), 16);
  }

  void AppendQuoted(const char* text) {
    Put('"');
    for (; *text != '\0' && size_ + kQuotedTail < bytes_.size(); ++text) {
      if (*text == '"' || *text == '\\') Put('\\');
      Put(static_cast<unsigned char>(*text) < 0x20 ? ' ' : *text);
    }
    Put('"');
  }

  const char* text() {
    bytes_[size_] = '\0';
    return bytes_.data();
  }

  void WriteLine() {
    bytes_[size_++] = '\n';
    const auto sent = write(report_descriptor, bytes_.data(), size_);
    if (sent >= 0 || report_descriptor == STDERR_FILENO) return;
    // The process ends or runs on without a log.
    [[maybe_unused]] const auto ignored =
        write(STDERR_FILENO, bytes_.data(), size_);
  }

 private:
  void Put(char c) {
    if (size_ + kTail < bytes_.size()) bytes_[size_++] = c;
  }

  void AppendUnsigned(std::uint64_t value, std::uint64_t base) {
    std::array<char, 24> digits{};
    std::size_t count = 0;
    do {
      digits[count++] = "0123456789abcdef"[value % base];
      value /= base;
    } while (value != 0);
    while (count > 0) Put(digits[--count]);
  }

  // Room for the line feed and the final null byte.
  static constexpr std::size_t kTail = 2;
  // An escaped character, the closing quote and brace, and the tail.
  static constexpr std::size_t kQuotedTail = 6;

  std::array<char, kLineBytes> bytes_{};
  std::size_t size_ = 0;
};

std::int64_t WallMilliseconds() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<std::int64_t>(now.tv_sec) * kMillisecondsPerSecond +
         now.tv_nsec / kNanosecondsPerMillisecond;
}

// The signal takes its previous effect after the handler has returned.
void OnFatalSignal(int number, siginfo_t* info, void* /*context*/) {
  const int saved_errno = errno;
  const bool sent = info->si_code <= 0;
  bool repeats = false;
  line_buffer detail;
  for (const auto& fatal : kFatalSignals) {
    if (fatal.number != number) continue;
    detail.Append(fatal.name);
    repeats = fatal.is_fault && !sent;
  }
  if (sent) {
    detail.Append(" sent by process ");
    detail.AppendNumber(info->si_pid);
  } else if (repeats) {
    detail.Append(" at ");
    detail.AppendAddress(info->si_addr);
  }
  ReportEnd("signal", detail.text());
  sigaction(number, &previous_actions[static_cast<std::size_t>(number)],
            nullptr);
  if (!repeats) raise(number);
  errno = saved_errno;
}

[[noreturn]] void OnTerminate() {
  const auto thrown = std::current_exception();
  if (thrown == nullptr) {
    ReportEnd("terminated", "no exception");
    std::abort();
  }
  try {
    std::rethrow_exception(thrown);
  } catch (const std::bad_alloc& failure) {
    ReportEnd("out_of_memory", failure.what());
  } catch (const std::exception& failure) {
    ReportEnd("exception", failure.what());
  } catch (...) {
    ReportEnd("exception", "not a std::exception");
  }
  std::abort();
}

void OpenStandardStreams() {
  for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO;
       ++descriptor) {
    // Takes the lowest free number, which is `descriptor`.
    if (fcntl(descriptor, F_GETFD) < 0) open("/dev/null", O_RDWR);
  }
}

void IgnoreUnlessHandled(int number) {
  struct sigaction action {};
  if (sigaction(number, nullptr, &action) != 0) return;
  if ((action.sa_flags & SA_SIGINFO) != 0 || action.sa_handler != SIG_DFL)
    return;
  action.sa_handler = SIG_IGN;
  sigaction(number, &action, nullptr);
}

void UnblockSignals() {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&handled, number);
  }
  for (const auto& fatal : kFatalSignals) sigaddset(&handled, fatal.number);
  sigprocmask(SIG_UNBLOCK, &handled, nullptr);
}

void HandleFatalSignals() {
  stack_t present{};
  if (sigaltstack(nullptr, &present) == 0 &&
      (present.ss_flags & SS_DISABLE) != 0) {
    stack_t stack{};
    stack.ss_sp = alternate_stack.data();
    stack.ss_size = alternate_stack.size();
    sigaltstack(&stack, nullptr);
  }
  for (const auto& fatal : kFatalSignals) {
    struct sigaction action {};
    action.sa_sigaction = OnFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigemptyset(&action.sa_mask);
    auto& previous = previous_actions[static_cast<std::size_t>(fatal.number)];
    sigaction(fatal.number, &action, &previous);
    // An ignored fault would be repeated for ever.
    if ((previous.sa_flags & SA_SIGINFO) == 0 &&
        previous.sa_handler == SIG_IGN) {
      previous.sa_handler = SIG_DFL;
    }
  }
}

}  // namespace

void ProtectProcess() {
  OpenStandardStreams();
  for (const int number : kIgnoredSignals) IgnoreUnlessHandled(number);
  for (const int number : kIgnoredStops) IgnoreUnlessHandled(number);
  HandleFatalSignals();
  UnblockSignals();
  std::set_terminate(OnTerminate);
}

void SetReportDescriptor(int descriptor) { report_descriptor = descriptor; }

void SetReportedHost(const std::string& host) {
  const auto size = std::min(host.size(), kHostBytes - 1);
  std::memcpy(reported_host.data(), host.data(), size);
  reported_host[size] = '\0';
}

void LogProcessEvent(const char* event, const char* cause, const char* detail) {
  line_buffer line;
  line.Append(R"({"time_ms":)");
  line.AppendNumber(WallMilliseconds());
  line.Append(R"(,"host":)");
  line.AppendQuoted(reported_host.data());
  line.Append(R"(,"event":)");
  line.AppendQuoted(event);
  line.Append(R"(,"cause":)");
  line.AppendQuoted(cause);
  line.Append(R"(,"detail":)");
  line.AppendQuoted(detail);
  line.Append("}");
  line.WriteLine();
}

void ReportEnd(const char* cause, const char* detail) {
  if (end_reported.exchange(true)) return;
  LogProcessEvent("process_ended", cause, detail);
}

}  // namespace bluebell::daemon
