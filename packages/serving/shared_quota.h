#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Tokens of one client account at one host, as reported to the other hosts.
struct quota_usage {
  account_id account;
  /// Tokens admitted since the host started or rejoined.
  double spent = 0;
  /// Tokens per second requested at this host, admitted or not.
  double demand_per_s = 0;
  /// This host's estimates of the levels of the account's smooth and stated
  /// buckets. Hosts of earlier builds do not report the second.
  double level = 0;
  std::optional<double> stated_level = std::nullopt;
};

/// Parameters of a token bucket.
struct bucket_limit {
  double tokens_per_s = 0;
  double burst_tokens = 0;
};

/// Returns a bucket that admits as many tokens in any `window` as one with
/// `limit`, rate x window + burst, but refills a burst of several seconds
/// continuously. An account that is steadily above its rate thus gets what it
/// may have in every window, and not only in the first.
///
/// Load pattern: the rate of an account is reduced below what it sends, or an
/// account sends several times its rate for many windows.
bucket_limit SpreadBurst(bucket_limit limit, clock::duration window);

/// Keeps every client account within its rate and burst over all hosts.
///
/// Each host keeps two token buckets for the account over all hosts, the stated
/// one and the smooth one of `SpreadBurst`, and debits both with the tokens
/// that it admits and that the other hosts report. Either may admit a request:
/// the stated bucket an account that asks for its burst at once, the smooth one
/// an account that is steadily above its rate. In a window each admits at most
/// rate x window + burst, and the one that admits last bounds the sum.
///
/// While the demand that may go unreported is small, a request is admitted if
/// anything is left in one of the buckets. Otherwise a host may spend only its
/// share between two reports, in proportion to its demand, so that an account
/// far above its rate cannot spend the bucket once per host. Hosts that stop
/// reporting are assumed to spend their share. In a large fleet a share may be
/// smaller than a request; such a request is admitted with a probability that
/// preserves the average rate.
///
/// Workload: one account sends seven times its rate to all hosts, while the
/// others stay within theirs; an account that was idle asks for its burst.
class shared_quota {
 public:
  shared_quota(const clock& source, std::uint64_t seed)
      : clock_(source), random_(seed), started_(source.now()) {}

  /// Sets the limit of an account; a rate of 0 means no limit. `window`: span
  /// for which it is stated.
  void SetLimit(const account_id& account, const bucket_limit& limit,
                clock::duration window);
  /// Takes `tokens` if the bucket or this host's share of it permits.
  bool Take(const account_id& account, double tokens);
  /// The values that decide about an account's requests, for the log.
  std::string Describe(const account_id& account) const;
  /// Estimated seconds until this host's share holds `tokens`.
  double SecondsUntil(const account_id& account, double tokens) const;

  /// Applies another host's report. `age` is that host's `Age`; `incarnation`
  /// changes when it restarts or rejoins.
  void OnReport(const host_id& sender, const std::string& incarnation,
                clock::duration age, const std::vector<quota_usage>& usages);
  /// The sender has stopped or left the exchange of reports.
  void OnStopped(const host_id& sender) { peers_.erase(sender); }
  /// This host takes part in the exchange of reports again after a time in
  /// which it saw only some of them: it takes levels and amounts spent from the
  /// next reports, as after a start.
  void Rejoin();
  /// Counts the calls to `Rejoin`; amounts spent start anew with each.
  std::uint64_t epoch() const { return epoch_; }
  /// Time since the start or the last call to `Rejoin`.
  clock::duration Age() const { return clock_.now() - started_; }
  /// Recomputes this host's shares. Call before sending each report.
  void UpdateShares();
  /// This host's usage, for the report to the others.
  std::vector<quota_usage> Usage() const;

 private:
  // A host without a report for this long is assumed to be partitioned.
  static constexpr std::chrono::milliseconds kSilenceTimeout{1500};
  // A host without a report for this long is removed.
  static constexpr std::chrono::seconds kForgetTimeout{30};

  struct token_level {
    bucket_limit limit;
    double level = 0;

    void Add(double tokens) {
      level = std::min(level + tokens, limit.burst_tokens);
    }
    double Fill() const {
      return limit.burst_tokens > 0 ? level / limit.burst_tokens : 0;
    }
  };
  struct bucket {
    token_level smooth;
    token_level stated;
    double own_share = 0;
    /// The buckets may be spent without regard to shares.
    bool undivided = false;
    double spent = 0;
    double demand_per_s = 0;
    double requested_since_update = 0;
    /// Average tokens of a request.
    double mean_tokens = 0;
    /// The level was initialized from a host that has run for longer.
    bool level_adopted = false;
    clock::time_point refilled;

    double Available() const { return std::max(smooth.level, stated.level); }
    double Fill() const { return std::max(smooth.Fill(), stated.Fill()); }
    void Add(double tokens) {
      smooth.Add(tokens);
      stated.Add(tokens);
    }
    void Debit(double tokens) { Add(-tokens); }
  };
  struct peer_usage {
    double spent = 0;
    double demand_per_s = 0;
    /// Estimated spending since the last report; debited until the next report
    /// gives the actual amount.
    double assumed = 0;
  };
  struct peer {
    std::string incarnation;
    clock::time_point heard;
    std::map<account_id, peer_usage> usages;
  };

  // Tokens that the fuller of the undivided buckets lacks for a request; all of
  // them if they may not be spent that way.
  static double MissingInBucket(const bucket& bucket, double tokens);

  const clock& clock_;
  std::mt19937_64 random_;
  clock::time_point started_;
  std::uint64_t epoch_ = 0;
  clock::time_point shares_updated_;
  std::map<account_id, bucket> buckets_;
  std::map<host_id, peer> peers_;
};

}  // namespace bluebell::serving
