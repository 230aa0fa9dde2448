#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/crash_evidence.h"

namespace bluebell::serving {

/// What a host reports to the others about one request. Times are ages.
struct request_evidence {
  std::string fingerprint;
  std::vector<reported_crash> crashes;
  /// Time since the newest send that was answered; none if there is none.
  std::optional<clock::duration> answered_age;
};

/// Requests that crash the engines which run them, by fingerprint.
///
/// Load pattern: a request that crashes each engine comes again and again, at
/// any host. Sound requests that are often sent alike are in flight at the same
/// engines, several of them at each.
///
/// A crash of an engine counts once, however many alike requests and hosts lose
/// something by it. It is refuted by an answer to an alike request that was
/// sent at the same time or later: the crashing request is answered by none. A
/// request is refused once it was in flight at `kCrashLimit` crashes that no
/// answer refutes. Engines that are lost together may have been lost for
/// another reason, so that answers get `kAnswerTime` to refute their crashes.
///
/// Fewer crashes are forgotten after a while. A refused request is not: single
/// requests test it at growing intervals, and only an answer ends the refusal.
/// Hosts merge the evidence of all others, so that a host which has just
/// started learns what they know. What a restart of all hosts would lose is
/// restored from the store.
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

  /// `engine` crashed while it had a request that was sent at `sent_at` and not
  /// yet answered by `OnAnswered`.
  void OnCrash(const std::string& fingerprint, const endpoint_id& engine,
               clock::time_point sent_at, clock::time_point crashed_at);
  /// An engine survived writing an answer to a request that was sent at
  /// `sent_at`.
  void OnAnswered(const std::string& fingerprint, clock::time_point sent_at);

  /// Decides about a new request. The host of the lowest `rank` tests first.
  verdict Admit(const std::string& fingerprint, int rank);
  /// Whether the request is refused, trials aside.
  bool IsQuarantined(const std::string& fingerprint) const;

  /// Evidence for the other hosts: the newest, and with each call others of the
  /// refused requests.
  std::vector<request_evidence> TakeEvidence();
  /// Ages in `reported` are as of `lateness` ago.
  void OnEvidence(const std::vector<request_evidence>& reported,
                  clock::duration lateness = clock::duration(0));

  /// Requests that were refused since the last call, restored ones aside.
  std::vector<std::string> TakeQuarantined();
  /// Requests that are refused now.
  std::vector<std::string> Quarantined() const;
  /// Time since the newest crash of a refused request, if no answer to an alike
  /// one is known; none for other requests.
  std::optional<clock::duration> UnansweredAge(
      const std::string& fingerprint) const;
  /// Refuses a request whose newest crash happened `age` ago by the wall clock
  /// of another process; a negative age counts as 0. Returns false if that is
  /// too long ago, or `age` is so far below 0 that it cannot be used.
  bool Restore(const std::string& fingerprint, clock::duration age);

  /// Hosts of builds before the evidence count the requests that they lost and
  /// report the counts. Applies the count of one of their processes; repeated
  /// notices change nothing.
  void OnCount(const host_id& host, const std::string& incarnation,
               const std::string& fingerprint, int crashes);
  /// What such hosts have to know of `evidence`: the refused requests as
  /// counts; and the requests whose crashes an answer has refuted a short time
  /// ago.
  std::map<std::string, int> CountsOf(
      const std::vector<request_evidence>& evidence) const;
  std::map<std::string, int> RefutedCounts() const;

 private:
  // Crashes that are further apart than this are not related. A refused request
  // is tested for the first time after it.
  static constexpr std::chrono::seconds kRetention{60};
  // The same for a request that was answered after its first crash, and, at the
  // first host of the ranking, for one whose engines were all lost together.
  static constexpr std::chrono::seconds kTrialIntervalOfAnswered{10};
  static constexpr std::chrono::seconds kTrialIntervalOfMoment{3};
  // Requests that were sent before the refusal have ended by then; later
  // crashes are those of trials.
  static constexpr std::chrono::seconds kEarlierRequests{2};
  static constexpr int kTrialIntervalGrowth = 4;
  static constexpr std::chrono::hours kMaxTrialInterval{1};
  // A trial is over by then.
  static constexpr std::chrono::seconds kTrialTime{15};
  // Engines that crash within this time are lost together.
  static constexpr std::chrono::milliseconds kSameMoment{50};
  // Covers an answer's first events and one exchange between hosts.
  static constexpr std::chrono::milliseconds kAnswerTime{900};
  // A stored request is restored for this long.
  static constexpr std::chrono::hours kStoredTime{1};
  // Wall clocks of hosts differ by less.
  static constexpr std::chrono::seconds kMaxClockError{60};
  // Hosts learn within this time what another has found.
  static constexpr std::chrono::seconds kNoticeTime{30};
  static constexpr std::size_t kMaxCrashes = 8;
  static constexpr std::size_t kMaxRecords = 10'000;
  // Requests in one digest: the newest ones, and refused ones in turn.
  static constexpr std::size_t kMaxNewest = 16;
  static constexpr std::size_t kMaxInTurn = 16;
  // Refutes any count.
  static constexpr int kAllCounts = 1'000'000;

  struct record {
    /// In order of time.
    std::vector<engine_crash> crashes;
    std::optional<clock::time_point> answered;
    /// When this host learned of the last moment of a crash. A trial is due by
    /// this time, so that a host which starts does not begin with one.
    clock::time_point learned_at;
    clock::time_point trial_until;
    /// Counts of processes of builds before the evidence.
    std::map<std::string, int> counts;
    /// Returned by `TakeQuarantined`, or restored.
    bool announced = false;
  };

  record& Touch(const std::string& fingerprint);
  void AddCrash(record& entry, engine_crash added) const;
  static bool IsRefuted(const record& entry, const engine_crash& seen);
  static void SetAnswered(record& entry, clock::time_point sent_at);
  // Crashes that no answer refutes and that are related to each other. With
  // `kCrashLimit` of them the request is refused.
  static std::vector<engine_crash> Series(const record& entry);
  // Moments at which the engines of a series crashed.
  static int Moments(const std::vector<engine_crash>& series);
  bool IsQuarantined(const record& entry) const;
  bool IsExpired(const record& entry) const;
  // Moments at which engines crashed in trials.
  static int FailedTrials(const std::vector<engine_crash>& series);
  // Time from the last crash to the first trial at the host of `rank`.
  static clock::duration TrialDelay(const record& entry, int rank);
  request_evidence Report(const std::string& fingerprint,
                          const record& entry) const;

  const clock& clock_;
  std::map<std::string, record> records_;
  // The refused request that was reported last in turn.
  std::string last_in_turn_;
};

}  // namespace bluebell::serving
