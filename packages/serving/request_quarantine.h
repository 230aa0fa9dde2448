#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Requests that crash the engines which run them, by fingerprint; crashes are
/// summed over all hosts.
///
/// Load pattern: a request that crashes each engine comes again and again, at
/// any host. Sound requests are in flight at the same engines, some of them
/// several times.
///
/// A request is refused once it was in flight at `kCrashLimit` crashes. One of
/// fewer crashes is forgotten after a while. One that is refused never is:
/// single requests test it at growing intervals, and only one that is answered
/// ends the refusal.
class request_quarantine {
 public:
  /// Number of crashes at which a request is refused.
  static constexpr int kCrashLimit = 3;

  enum class verdict {
    kAllowed,
    /// Admitted to test whether it still crashes an engine.
    kTrial,
    kRefused,
  };

  explicit request_quarantine(const clock& source) : clock_(source) {}

  /// Counts one crash seen by this host.
  void OnCrash(const std::string& fingerprint);
  /// Applies what a process of another host has counted since its start;
  /// repeated notices change nothing.
  void OnNotice(const host_id& host, const std::string& incarnation,
                const std::string& fingerprint, int crashes);
  /// An engine answered a request that was sent at `sent_at`.
  void OnAnswered(const std::string& fingerprint, clock::time_point sent_at);
  /// Crashes up to this number were refuted by an answer at another host.
  void OnRefuted(const std::string& fingerprint, int crashes);

  /// Decides about a new request. The host of the lowest `rank` tests first.
  verdict Admit(const std::string& fingerprint, int rank);
  /// Whether the request is refused, trials aside.
  bool IsQuarantined(const std::string& fingerprint) const;

  /// Crashes that this host has counted, for the other hosts.
  std::map<std::string, int> OwnCrashes() const;
  /// Crashes that were refuted a short time ago, for the other hosts.
  std::map<std::string, int> Refuted() const;

 private:
  // A request of fewer crashes than the limit is forgotten after this time; a
  // refused one is tested for the first time.
  static constexpr std::chrono::seconds kRetention{60};
  static constexpr int kTrialIntervalGrowth = 4;
  static constexpr std::chrono::hours kMaxTrialInterval{1};
  // A trial is over by then.
  static constexpr std::chrono::seconds kTrialTime{15};
  // Hosts learn within this time what another has counted. Until then a count
  // that starts again would look like a repeated notice.
  static constexpr std::chrono::seconds kNoticeTime{30};
  static constexpr std::size_t kMaxRecords = 10'000;
  // Refused requests in one digest, those with the newest crashes.
  static constexpr std::size_t kMaxReported = 200;

  struct record {
    int own = 0;
    // Counts of other hosts' processes.
    std::map<std::string, int> by_process;
    // Crashes that an answer has refuted.
    int refuted = 0;
    clock::time_point refuted_at;
    clock::time_point last_crash;
    clock::time_point trial_until;
  };

  // Crashes that no answer has refuted.
  static int Crashes(const record& entry);
  static int Sum(const record& entry);
  bool IsExpired(const record& entry) const;
  clock::duration TrialInterval(const record& entry) const;
  record& OnCounted(const std::string& fingerprint);

  const clock& clock_;
  std::map<std::string, record> records_;
};

}  // namespace bluebell::serving
