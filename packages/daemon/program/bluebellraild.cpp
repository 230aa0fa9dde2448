#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "daemon/host_process.h"
#include "daemon/host_settings.h"

namespace bluebell::daemon {
namespace {

enum exit_code { kDone = 0, kCannotStart = 1, kInvalidSettings = 2 };

void StartLogging(const std::string& level) {
  auto logger = spdlog::stderr_logger_st("bluebellraild");
  // Events are JSON objects with a time of their own.
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

int Main(int argc, char** argv) {
  CLI::App app("bluebellraild: the entry host of bluebellrail");
  std::string file;
  bool check_only = false;
  app.add_option("--config", file, "Settings file (INI)")->required();
  app.add_flag("--check", check_only,
               "Check the settings file, report every error and exit");
  app.set_version_flag("--version", "bluebellraild " BLUEBELL_VERSION);
  app.footer(
      "Exit status: 0 drained or settings valid, 1 cannot start, 2 settings "
      "invalid.");
  CLI11_PARSE(app, argc, argv);

  const auto settings = host_settings::Load(file);
  if (!settings) {
    for (const auto& finding : settings.error()) {
      std::cerr << ToString(finding) << std::endl;
    }
    return kInvalidSettings;
  }
  if (check_only) {
    std::cout << file << ": valid" << std::endl;
    return kDone;
  }
  StartLogging(settings->log_level);
  return Run(*settings);
}

}  // namespace
}  // namespace bluebell::daemon

int main(int argc, char** argv) { return bluebell::daemon::Main(argc, argv); }
