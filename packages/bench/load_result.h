#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bluebell::bench {

/// A bucket of the account's bought rate and burst that sees the same arrivals
/// as the fleet and decides on its own. A refusal for exceeded rate counts as
/// wrongful if this bucket admits the request. It is charged all the same, so
/// that tokens which the fleet lost once are counted once.
class reference_bucket {
 public:
  reference_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  bool WouldAdmit(double now_s, double tokens);
  void Charge(double now_s, double tokens);

 private:
  void Advance(double now_s);

  double rate_;
  double burst_;
  double level_;
  double last_s_ = 0;
};

/// How one request ended.
struct request_outcome {
  int status = 0;
  std::string code;
  bool complete = false;
  int tokens = 0;
  double first_token_s = 0;
  /// Mean time between tokens.
  double token_gap_s = 0;
  /// Whether the reference bucket admitted the request.
  bool admissible = false;
};

/// Figures of one client account.
struct account_result {
  std::uint64_t sent = 0;
  std::uint64_t completed = 0;
  std::uint64_t attained = 0;
  std::uint64_t refused_rate = 0;
  std::uint64_t refused_wrongfully = 0;
  /// Requests that the reference bucket admitted.
  std::uint64_t admissible = 0;
  std::uint64_t failed = 0;
  std::uint64_t tokens = 0;
  std::vector<double> first_token_s;
  std::vector<double> token_gap_s;
  std::map<std::string, std::uint64_t> codes;

  void Add(const request_outcome& outcome);
  nlohmann::json ToJson() const;
};

/// Bounds of an attained request: the users' targets.
constexpr double kFirstTokenTargetS = 1.2;
constexpr double kTokenGapTargetS = 0.036;

}  // namespace bluebell::bench
