#include "limited_server.h"

#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include "test_answers.h"

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;

void Serve(int port_pipe, std::chrono::milliseconds delay,
           const http_limits& limits) {
  asio::io_context io;
  auto server = http_server::Listen(
      io, "127.0.0.1:0", limits,
      [&io, delay](const auto& request, auto& sink, auto yield) {
        asio::steady_timer timer(io, delay);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        AnswerOk(request, sink, yield);
      },
      AnswerProblem);
  if (!server) return;
  const std::uint16_t port = (*server)->port();
  if (write(port_pipe, &port, sizeof port) != sizeof port) return;
  io.run();
}

}  // namespace

limited_server::limited_server(const std::function<void()>& restrict_process,
                               std::chrono::milliseconds delay,
                               const http_limits& limits) {
  int ends[2];
  if (pipe(ends) != 0) throw std::runtime_error("pipe");
  pid_ = fork();
  if (pid_ == 0) {
    close(ends[0]);
    restrict_process();
    Serve(ends[1], delay, limits);
    _exit(1);
  }
  close(ends[1]);
  if (read(ends[0], &port_, sizeof port_) != sizeof port_) port_ = 0;
  close(ends[0]);
}

limited_server::~limited_server() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool limited_server::running() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ > 0;
}

void LimitData(std::size_t bytes) {
  constexpr std::size_t kKilobyte = 1024;
  std::ifstream status("/proc/self/status");
  std::size_t used = 0;
  for (std::string word; status >> word;) {
    if (word == "VmData:") status >> used;
  }
  const rlim_t most = used * kKilobyte + bytes;
  const rlimit limit{most, most};
  if (setrlimit(RLIMIT_DATA, &limit) != 0) _exit(1);
}

void LimitDescriptors(std::size_t count) {
  const rlimit limit{count, count};
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) _exit(1);
}

void RaiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

blocking_caller::blocking_caller(std::uint16_t port) : socket_(io_) {
  socket_.connect({asio::ip::address_v4::loopback(), port});
}

void blocking_caller::Send(const std::string& bytes) {
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(bytes), ignored);
}

int blocking_caller::ReadStatus(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::string answer;
  while (answer.find("\r\n\r\n") == std::string::npos) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    pollfd ready{socket_.native_handle(), POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&ready, 1, static_cast<int>(left.count())) != 1) {
      return 0;
    }
    char part[512];
    boost::system::error_code ec;
    const auto count = socket_.read_some(asio::buffer(part), ec);
    if (ec) return 0;
    answer.append(part, count);
  }
  constexpr std::size_t kStatusAt = 9;
  return std::stoi(answer.substr(kStatusAt, 3));
}

}  // namespace bluebell::gateway
