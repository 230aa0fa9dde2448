#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::routing {

/// Counts endpoint crashes that happened while a request was in flight, by the
/// request's fingerprint and summed over all hosts.
class quarantine {
 public:
  /// Number of crashes at which a request is refused.
  static constexpr int kCrashThreshold = 2;

  /// Sends this host's own count to the other hosts.
  using notify_function =
      std::function<void(const std::string& fingerprint, int crashes)>;

  /// Entries expire `retention` after their last crash.
  quarantine(const clock& source, clock::duration retention,
             notify_function notify);

  /// Counts one crash seen by this host.
  void RecordCrash(const std::string& fingerprint);
  /// Applies the count of another host; repeated notices change nothing.
  void OnNotice(const host_id& sender, const std::string& fingerprint,
                int crashes);
  /// Resets this host's count after the request succeeded on an endpoint of its
  /// own. Counts of other hosts stay.
  void Clear(const std::string& fingerprint);
  /// Unexpired crashes counted by all hosts.
  int Crashes(const std::string& fingerprint) const;
  /// Unexpired counts of this host.
  std::map<std::string, int> OwnCrashes() const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct record {
    int own = 0;
    /// Counts of the other hosts.
    std::map<host_id, int> by_host;
    clock::time_point expires;
  };

  record& Touch(const std::string& fingerprint);

  const clock& clock_;
  clock::duration retention_;
  notify_function notify_;
  std::map<std::string, record> entries_;
};

}  // namespace bluebell::routing
