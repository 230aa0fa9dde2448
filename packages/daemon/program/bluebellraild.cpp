#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>

#include "base/asio_clock.h"
#include "base/byte_budget.h"
#include "daemon/host_process.h"
#include "daemon/host_settings.h"
#include "edge/edge_host.h"
#include "edge/edge_settings.h"
#include "platform/hosted_dialect.h"
#include "platform/hosted_store.h"

namespace bluebell::daemon {
namespace {

enum exit_code { kDone = 0, kCannotStart = 1, kInvalidSettings = 2 };

constexpr int kLargeBufferBytes = 128 * 1024;

void StartLogging(const std::string& level) {
  auto logger = spdlog::stderr_logger_st("bluebellraild");
  // Events are JSON objects that contain their own time stamp.
  logger->set_pattern("%v");
  spdlog::set_default_logger(logger);
  spdlog::set_level(spdlog::level::from_str(level));
}

int Run(const host_settings& settings) {
  boost::asio::io_context context;
  auto host = host_process::Create(context, settings);
  if (!host) {
    std::cerr << "cannot start: " << host.error().detail << std::endl;
    return kCannotStart;
  }
  (*host)->OnDrained([&context] { context.stop(); });
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&host](const boost::system::error_code& failure, int) {
    if (!failure) (*host)->Drain();
  });
  context.run();
  return kDone;
}

// Runs an entry host on the hosted platform.
int RunHosted(const edge::edge_settings& settings) {
  // Large buffers go back to the system as soon as they are freed; by default
  // the bound rises to the size of the largest.
  ::mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
  boost::asio::io_context context;
  // Before the host listens, so that no signal ends a process that has callers.
  boost::asio::signal_set stops(context, SIGTERM, SIGINT);
  boost::asio::signal_set reloads(context, SIGHUP);
  asio_clock clock(context);
  edge::edge_host* started = nullptr;
  const platform::hosted_dialect dialect;
  platform::hosted_store store(
      context, clock, settings.store_address, settings.store_timeout,
      [&started](const auto& kind, const auto& name, const auto& reason) {
        if (started != nullptr) started->LogUnreadable(kind, name, reason);
      },
      std::make_shared<byte_budget>(settings.store_bytes));
  auto host = edge::edge_host::Create(context, clock, settings, dialect, store);
  if (!host) {
    std::cerr << "cannot start: " << host.error().detail << std::endl;
    return kCannotStart;
  }
  started = host->get();
  store.OnCutOff([started](auto cause) { started->ReportStoreCutOff(cause); });
  started->OnStopped([&context] { context.stop(); });
  stops.async_wait([started](const boost::system::error_code& failure, int) {
    if (!failure) started->Stop();
  });
  std::function<void()> await_reload = [&] {
    reloads.async_wait([&](const boost::system::error_code& failure, int) {
      if (failure) return;
      started->OnReload();
      await_reload();
    });
  };
  await_reload();
  context.run();
  // Requests that are still suspended refer to the host, the clock and the
  // context; no order of destruction suits all of them.
  std::cout.flush();
  std::_Exit(kDone);
}

void PrintErrors(const std::vector<setting_error>& errors) {
  for (const auto& entry : errors) {
    std::cerr << ToString(entry) << std::endl;
  }
}

// Validates the settings in `file` and, unless `check_only`, calls `run` with
// them.
template <class Settings, class RunFunction>
int CheckAndRun(const std::string& file, bool check_only, RunFunction run) {
  const auto settings = Settings::Load(file);
  if (!settings) {
    PrintErrors(settings.error());
    return kInvalidSettings;
  }
  if (check_only) {
    std::cout << file << ": valid" << std::endl;
    return kDone;
  }
  StartLogging(settings->log_level);
  return run(*settings);
}

int Main(int argc, char** argv) {
  CLI::App app("bluebellraild: the entry host of bluebellrail");
  std::string file;
  bool check_only = false;
  bool hosted = false;
  app.add_option("--config", file, "Settings file (INI)")->required();
  app.add_flag("--hosted", hosted,
               "Run on the users' hosted platform; the settings are those of "
               "docs/operating.md, section Hosted");
  app.add_flag("--check", check_only,
               "Check the settings file, report every error and exit");
  app.set_version_flag("--version", "bluebellraild " BLUEBELL_VERSION);
  app.footer(
      "Exit status: 0 drained or settings valid, 1 cannot start, 2 settings "
      "invalid.");
  CLI11_PARSE(app, argc, argv);

  if (hosted) {
    return CheckAndRun<edge::edge_settings>(file, check_only, RunHosted);
  }
  return CheckAndRun<host_settings>(file, check_only, Run);
}

}  // namespace
}  // namespace bluebell::daemon

int main(int argc, char** argv) { return bluebell::daemon::Main(argc, argv); }
