#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/asio_clock.h"
#include "base/byte_budget.h"
#include "daemon/host_process.h"
#include "daemon/host_settings.h"
#include "daemon/process_end.h"
#include "edge/edge_host.h"
#include "edge/edge_settings.h"
#include "edge/listen_check.h"
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

// Time to wait at the start for what another process may hold or be writing:
// each end of a process counts as a failure of its host.
constexpr std::chrono::seconds kAddressPatience{60};
constexpr std::chrono::seconds kSettingsPatience{10};
constexpr std::chrono::milliseconds kStartRetryInterval{200};

// Starts and runs an entry host on the hosted platform.
class hosted_run {
 public:
  explicit hosted_run(std::string file) : file_(std::move(file)) {}

  int Run() {
    // Large buffers go back to the system as soon as they are freed; by default
    // the bound rises to the size of the largest.
    ::mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
    AwaitStop();
    const auto invalid = Retry("settings_invalid", kSettingsPatience,
                               [this] { return LoadSettings(); });
    if (stop_signal_ != 0)
      return End("stopped", SignalName(stop_signal_), kDone);
    if (!invalid.empty()) {
      return End("settings_invalid", invalid, kInvalidSettings);
    }
    const auto failed = Retry("cannot_start", kAddressPatience,
                              [this] { return CreateHost(); });
    if (stop_signal_ != 0)
      return End("stopped", SignalName(stop_signal_), kDone);
    if (!failed.empty()) return End("cannot_start", failed, kCannotStart);
    host_->OnStopped([this] { context_.stop(); });
    AwaitReload();
    RunHandlers(context_, [this](const char* detail) {
      host_->LogHandlerFailure(detail);
    });
    // Requests that are still suspended refer to the host, the clock and the
    // context; no order of destruction suits all of them.
    ReportEnd("stopped", SignalName(stop_signal_));
    std::_Exit(kDone);
  }

 private:
  void AwaitStop() {
    stops_.async_wait(
        [this](const boost::system::error_code& failure, int number) {
          if (failure) return;
          stop_signal_ = number;
          if (host_ != nullptr) host_->Stop();
        });
  }

  void AwaitReload() {
    reloads_.async_wait([this](const boost::system::error_code& failure, int) {
      if (failure) return;
      host_->OnReload();
      AwaitReload();
    });
  }

  // Repeats `attempt`, which returns what failed, until it succeeds, its time
  // is over or the process is to stop. Returns the last failure.
  std::string Retry(const char* cause, clock::duration patience,
                    const std::function<std::string()>& attempt) {
    const auto give_up = clock_.now() + patience;
    std::string failed;
    while (stop_signal_ == 0) {
      const std::string previous = std::move(failed);
      try {
        failed = attempt();
      } catch (const std::exception& failure) {
        failed = failure.what();
      }
      if (failed.empty() || clock_.now() >= give_up) return failed;
      if (failed != previous) {
        LogProcessEvent("start_waits", cause, failed.c_str());
      }
      context_.run_for(kStartRetryInterval);
      context_.restart();
    }
    return failed;
  }

  std::string LoadSettings() {
    auto loaded = edge::edge_settings::Load(file_);
    if (!loaded) return ToText(loaded.error());
    settings_ = std::move(*loaded);
    SetReportedHost(settings_.id.value());
    for (const auto& ignored : settings_.ignored) {
      LogProcessEvent("setting_ignored", "default in effect",
                      ToString(ignored).c_str());
    }
    return {};
  }

  std::string CreateHost() {
    // Before any address is listened at, so that no caller is accepted by a
    // host that cannot start.
    if (auto failed = edge::UnavailableAddress(context_, settings_)) {
      return *failed;
    }
    if (!store_) {
      store_.emplace(
          context_, clock_, settings_.store_address, settings_.store_timeout,
          [this](const auto& kind, const auto& name, const auto& reason) {
            if (host_ == nullptr) return;
            host_->LogUnreadable(kind, name, reason);
          },
          std::make_shared<byte_budget>(settings_.store_bytes));
      store_->OnIncomplete([this](const auto& kind, const auto& cause) {
        if (host_ != nullptr) host_->LogListEnd(kind, cause);
      });
      store_->OnConfigRead([this](auto bytes, auto transfer, auto decoding) {
        if (host_ != nullptr) host_->LogConfigRead(bytes, transfer, decoding);
      });
      store_->OnCutOff([this](auto cause) {
        if (host_ != nullptr) host_->ReportStoreCutOff(cause);
      });
    }
    auto host =
        edge::edge_host::Create(context_, clock_, settings_, dialect_, *store_);
    if (!host) return host.error().detail;
    host_ = std::move(*host);
    return {};
  }

  static int End(const char* cause, const std::string& detail, int status) {
    ReportEnd(cause, detail.c_str());
    return status;
  }

  static std::string ToText(const std::vector<setting_error>& errors) {
    std::string text;
    for (const auto& entry : errors) {
      text += (text.empty() ? "" : "; ") + ToString(entry);
    }
    return text;
  }

  const std::string file_;
  boost::asio::io_context context_;
  // Before the host listens, so that no signal ends a process that has callers.
  boost::asio::signal_set stops_{context_, SIGTERM, SIGINT};
  boost::asio::signal_set reloads_{context_, SIGHUP};
  asio_clock clock_{context_};
  const platform::hosted_dialect dialect_;
  edge::edge_settings settings_;
  std::optional<platform::hosted_store> store_;
  std::unique_ptr<edge::edge_host> host_;
  int stop_signal_ = 0;
};

void PrintErrors(const std::vector<setting_error>& errors) {
  for (const auto& entry : errors) {
    std::cerr << ToString(entry) << std::endl;
  }
}

// Validates the settings in `file`.
template <class Settings>
int Check(const std::string& file) {
  const auto settings = Settings::Load(file);
  if (!settings) {
    PrintErrors(settings.error());
    return kInvalidSettings;
  }
  std::cout << file << ": valid" << std::endl;
  return kDone;
}

int LoadAndRun(const std::string& file) {
  const auto settings = host_settings::Load(file);
  if (!settings) {
    PrintErrors(settings.error());
    ReportEnd("settings_invalid", file.c_str());
    return kInvalidSettings;
  }
  StartLogging(settings->log_level);
  SetReportedHost(settings->id.value());
  return Run(*settings);
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

  if (check_only) {
    return hosted ? Check<edge::edge_settings>(file)
                  : Check<host_settings>(file);
  }
  if (!hosted) return LoadAndRun(file);
  SetReportDescriptor(STDOUT_FILENO);
  return hosted_run(file).Run();
}

}  // namespace
}  // namespace bluebell::daemon

int main(int argc, char** argv) {
  bluebell::daemon::ProtectProcess();
  return bluebell::daemon::Main(argc, argv);
}
