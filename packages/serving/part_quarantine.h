#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/crash_evidence.h"

namespace bluebell::serving {

/// What a host reports to the others about one prompt part. Times are ages, as
/// the clocks of hosts differ.
struct part_evidence {
  prompt_part_id part;
  /// The engine is empty for a part that was restored.
  std::vector<reported_crash> crashes;
  /// Time since the newest send of a request with the part that was answered;
  /// none if there is none.
  std::optional<clock::duration> answered_age;
};

/// A quarantined part as it is stored, so that it outlasts a restart of all
/// hosts.
struct stored_part {
  prompt_part_id part;
  clock::wall_time_point crashed_at;
  /// Revision of the stored record; 0 if it is not stored yet.
  std::uint64_t revision = 0;
};

enum class part_verdict {
  kAllowed,
  /// A part is under suspicion, and the request is admitted to test it.
  kTrial,
  kRefused,
};

/// Prompt parts that crash the engines which answer requests with them.
///
/// Load pattern: one part of a prompt crashes each engine that begins to write
/// an answer on it. Requests with it come at any host and differ in everything
/// else, while sound requests share their account and their other parts. Each
/// crash also ends the other requests at that engine, whose parts are innocent.
///
/// A part is quarantined after several crashes at different moments, if no
/// request with it was answered that was sent after the first of them. Parts
/// that many requests share are cleared by these within a fraction of a second.
/// A part that was answered before needs more crashes. Quarantined parts are
/// tested again by single requests at growing intervals, since engines may
/// crash faster than answers arrive. Hosts exchange their evidence and merge
/// it, so that a host which has just started learns what all others know. What
/// a restart of all hosts would lose is restored from the store.
class part_quarantine {
 public:
  part_quarantine(const clock& source, std::uint64_t seed)
      : clock_(source), random_(seed) {}

  /// `engine` crashed while it had a request with `parts` that was sent at
  /// `sent_at` and not yet answered by `OnAnswered`.
  void OnCrash(const std::vector<prompt_part_id>& parts,
               const endpoint_id& engine, clock::time_point sent_at,
               clock::time_point crashed_at);
  /// An engine survived writing an answer to a request with `parts`.
  void OnAnswered(const std::vector<prompt_part_id>& parts,
                  clock::time_point sent_at);

  /// Decides about a new request. `kTrial` is given to one request in a while,
  /// if this host `may_test`: a few hosts test for all.
  part_verdict Admit(const std::vector<prompt_part_id>& parts, bool may_test);
  /// Whether a part is quarantined, trials aside.
  bool IsQuarantined(const std::vector<prompt_part_id>& parts) const;

  /// Evidence for the other hosts: the parts with the most crashes.
  std::vector<part_evidence> Evidence() const;
  /// Ages in `reported` are as of `lateness` ago.
  void OnEvidence(const std::vector<part_evidence>& reported,
                  clock::duration lateness = clock::duration(0));
  /// Parts that were quarantined since the last call, restored ones aside.
  std::vector<prompt_part_id> TakeQuarantined();
  /// Parts that are quarantined now.
  std::vector<prompt_part_id> Quarantined() const;

  /// Time since the newest crash of a quarantined part, if no request with it
  /// is known to have been answered; none for other parts.
  std::optional<clock::duration> UnansweredAge(
      const prompt_part_id& part) const;
  /// Quarantines a part whose newest crash happened `age` ago by the wall clock
  /// of another process; a negative age counts as 0. Returns false if the
  /// quarantine is over, or `age` is so far below 0 that it cannot be used.
  bool Restore(const prompt_part_id& part, clock::duration age);

 private:
  // Crashes at different engines within this time count once: several engines
  // that are lost together say nothing about a part that is in use at each.
  static constexpr std::chrono::milliseconds kSameMoment{50};
  static constexpr int kCrashLimit = 3;
  static constexpr int kCrashLimitOfAnswered = 5;
  static constexpr std::size_t kMaxCrashes = 8;
  // A part is allowed again after this time without a crash; the next one
  // quarantines it again.
  static constexpr std::chrono::minutes kQuarantineTime{10};
  // Interval until the first trial of a part that was answered before, and of
  // others, and its growth with each trial that ends in a crash.
  static constexpr std::chrono::seconds kTrialIntervalOfAnswered{5};
  static constexpr std::chrono::seconds kTrialInterval{20};
  static constexpr int kTrialIntervalGrowth = 4;
  // Requests that were sent before the quarantine have ended by then; later
  // crashes are those of trials.
  static constexpr std::chrono::seconds kEarlierRequests{2};
  // A trial is over by then.
  static constexpr std::chrono::seconds kTrialTime{3};
  static constexpr std::chrono::minutes kCrashRetention{60};
  // Wall clocks of hosts differ by less.
  static constexpr std::chrono::seconds kMaxClockError{60};
  // Evidence is reported for this long, or for as long as the part is
  // quarantined.
  static constexpr std::chrono::seconds kReportTime{15};
  static constexpr std::size_t kMaxRecords = 10'000;
  static constexpr std::size_t kMaxReported = 16;

  struct record {
    /// In order of time. The engine is empty for a part that was restored.
    std::vector<engine_crash> crashes;
    std::optional<clock::time_point> answered;
    clock::time_point touched;
    clock::time_point trial_until;
    /// Spreads the trials of different hosts.
    double trial_spread = 1;
    /// When the quarantine began.
    std::optional<clock::time_point> quarantined_at;
  };

  record& Touch(const prompt_part_id& part);
  void RemoveOld();
  static void AddCrash(record& entry, engine_crash added);
  // Moments at which engines crashed that no later answer refutes.
  int UnrefutedCrashes(const record& entry) const;
  bool IsQuarantined(const record& entry) const;
  bool IsTrialDue(const record& entry) const;
  // Moments at which engines crashed in trials.
  int FailedTrials(const record& entry) const;
  void UpdateQuarantine(const prompt_part_id& part, record& entry);

  const clock& clock_;
  std::mt19937_64 random_;
  std::map<prompt_part_id, record> records_;
  std::vector<prompt_part_id> quarantined_;
};

}  // namespace bluebell::serving
