#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>

#include "base/asio_clock.h"
#include "daemon/host_process.h"
#include "daemon/host_settings.h"
#include "daemon/process_end.h"
#include "edge/edge_host.h"
#include "edge/edge_settings.h"
#include "platform/hosted_dialect.h"
#include "platform/hosted_store.h"

namespace bluebell::daemon {
namespace {

enum exit_code { kDone = 0, kCannotStart = 1, kInvalidSettings = 2 };

void StartLogging(const std::string& level) {
  auto logger = spdlog::stderr_logger_st("bluebellraild");
  // Events are JSON objects that contain their own time stamp.
  logger->set_pattern("%v");
  spdlog::set_default_logger(logger);
  spdlog::set_level(spdlog::level::from_str(level));
}

const char* SignalName(int number) {
  return number == SIGINT ? "SIGINT" : "SIGTERM";
}

// Runs handlers until the context is stopped. An exception that leaves a
// handler ends only this handler.
void RunHandlers(boost::asio::io_context& context,
                 const std::function<void(const char*)>& report) {
  while (true) {
    try {
      context.run();
      return;
    } catch (const std::exception& failure) {
      report(failure.what());
    }
  }
}

int Run(const host_settings& settings) {
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  auto host = host_process::Create(context, settings);
  if (!host) {
    ReportEnd("cannot_start", host.error().detail.c_str());
    return kCannotStart;
  }
  (*host)->OnDrained([&context] { context.stop(); });
  int stop_signal = 0;
  signals.async_wait([&](const boost::system::error_code& failure, int number) {
    if (failure) return;
    stop_signal = number;
    (*host)->Drain();
  });
  RunHandlers(context, [](const char* detail) {
    LogProcessEvent("handler_failed", "exception", detail);
  });
  ReportEnd("stopped", SignalName(stop_signal));
  return kDone;
}

// Runs an entry host on the hosted platform.
int RunHosted(const edge::edge_settings& settings) {
  SetReportDescriptor(STDOUT_FILENO);
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
      });
  auto host = edge::edge_host::Create(context, clock, settings, dialect, store);
  if (!host) {
    ReportEnd("cannot_start", host.error().detail.c_str());
    return kCannotStart;
  }
  started = host->get();
  started->OnStopped([&context] { context.stop(); });
  int stop_signal = 0;
  stops.async_wait([&](const boost::system::error_code& failure, int number) {
    if (failure) return;
    stop_signal = number;
    started->Stop();
  });
  std::function<void()> await_reload = [&] {
    reloads.async_wait([&](const boost::system::error_code& failure, int) {
      if (failure) return;
      started->OnReload();
      await_reload();
    });
  };
  await_reload();
  RunHandlers(context, [started](const char* detail) {
    started->LogHandlerFailure(detail);
  });
  // Requests that are still suspended refer to the host, the clock and the
  // context; no order of destruction suits all of them.
  ReportEnd("stopped", SignalName(stop_signal));
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
    if (!check_only) ReportEnd("settings_invalid", file.c_str());
    return kInvalidSettings;
  }
  if (check_only) {
    std::cout << file << ": valid" << std::endl;
    return kDone;
  }
  StartLogging(settings->log_level);
  SetReportedHost(settings->id.value());
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

int main(int argc, char** argv) {
  bluebell::daemon::ProtectProcess();
  return bluebell::daemon::Main(argc, argv);
}
