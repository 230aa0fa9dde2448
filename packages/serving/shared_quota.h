#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Tokens of one client account at one host, as told to the other hosts.
struct quota_use {
  account_id account;
  /// Tokens admitted since the host started.
  double spent = 0;
  /// Tokens per second that callers ask for here, admitted or not.
  double asked_per_s = 0;
  /// Content of the account's bucket as this host sees it.
  double level = 0;
};

/// Keeps every client account within its rate and burst over all hosts.
///
/// Each host keeps the whole account's bucket and debits it with what it
/// admits and with what the other hosts report. Between two reports a host may
/// spend only its part of the bucket, in proportion to the demand it sees, so
/// that an account at many times its rate cannot spend one bucket once per
/// host. Hosts that fall silent are assumed to spend their part. In a large
/// fleet a part is smaller than a request; such a request is admitted with the
/// probability that keeps the average.
///
/// Load pattern: one account sends seven times its rate at all hosts, while
/// the others stay within theirs.
class shared_quota {
 public:
  shared_quota(const clock& source, std::uint64_t seed)
      : clock_(source), random_(seed), started_(source.now()) {}

  /// Sets the limit of an account in tokens; a rate of 0 lifts it.
  void SetLimit(const account_id& account, double tokens_per_s,
                double burst_tokens);
  /// Takes `tokens` if this host's part of the bucket has them.
  bool Take(const account_id& account, double tokens);
  /// Seconds until this host's part is likely to hold `tokens`.
  double SecondsUntil(const account_id& account, double tokens) const;

  /// Takes in another host's report. `uptime` is the time since that host
  /// started; `incarnation` tells a restarted host from its predecessor.
  void OnReport(const host_id& sender, const std::string& incarnation,
                clock::duration uptime, const std::vector<quota_use>& uses);
  /// The sender stops and spends nothing more.
  void OnStopped(const host_id& sender) { peers_.erase(sender); }
  /// Sets this host's parts until the next call; to be called for each report.
  void Divide();
  /// This host's use, for the report to the others.
  std::vector<quota_use> Uses() const;

 private:
  // A host that has said nothing for this long is assumed to be cut off.
  static constexpr std::chrono::milliseconds kSilent{1500};
  // A cut-off host that has said nothing for this long is no longer expected.
  static constexpr std::chrono::seconds kForgotten{30};

  struct bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    double own_part = 0;
    double spent = 0;
    double asked_per_s = 0;
    double asked_since = 0;
    /// The level was taken over from a host that has run for longer.
    bool adopted = false;
    clock::time_point refilled;
  };
  struct peer_use {
    double spent = 0;
    double asked_per_s = 0;
    /// Debited since the last report, until the next one tells what was spent.
    double assumed = 0;
  };
  struct peer {
    std::string incarnation;
    clock::time_point heard;
    std::map<account_id, peer_use> uses;
  };

  const clock& clock_;
  std::mt19937_64 random_;
  clock::time_point started_;
  clock::time_point divided_;
  std::map<account_id, bucket> buckets_;
  std::map<host_id, peer> peers_;
};

}  // namespace bluebell::serving
