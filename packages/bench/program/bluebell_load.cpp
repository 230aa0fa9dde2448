#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "bench/load_run.h"

namespace bluebell::bench {
namespace {

int Run(const std::string& file, double phase_s, double drain_s) {
  std::ifstream input(file);
  const auto plan = ParsePlan(nlohmann::json::parse(input, nullptr, false));
  if (!plan) {
    std::cerr << file << ": " << plan.error().detail << std::endl;
    return 2;
  }
  nlohmann::json phases = nlohmann::json::array();
  for (const auto& phase : RunLoad(*plan, phase_s, drain_s)) {
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto& [name, figures] : phase) accounts[name] = figures.ToJson();
    if (!accounts.empty()) phases.push_back(std::move(accounts));
  }
  std::cout << phases.dump(1) << std::endl;
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Open-loop load on entry hosts; prints figures as JSON");
  std::string file;
  double phase_s = 1e9;
  double drain_s = 30;
  app.add_option("--plan", file, "JSON plan of the load")->required();
  app.add_option("--phase-s", phase_s, "Seconds of one phase of the figures")
      ->check(CLI::PositiveNumber);
  app.add_option("--drain-s", drain_s, "Seconds to wait for the last answers")
      ->check(CLI::NonNegativeNumber);
  CLI11_PARSE(app, argc, argv);
  return Run(file, phase_s, drain_s);
}

}  // namespace
}  // namespace bluebell::bench

int main(int argc, char** argv) { return bluebell::bench::Main(argc, argv); }
