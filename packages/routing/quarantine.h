#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::routing {

/// Counts the crashes that happened while a request was in flight, by the
/// request's fingerprint and summed over all hosts.
class quarantine {
 public:
  /// Crashes from which on a request is refused.
  static constexpr int kRefusedFrom = 2;

  /// Receives this host's own count, for the other hosts.
  using notify_function =
      std::function<void(const std::string& fingerprint, int crashes)>;

  /// Entries expire `retention` after their last crash.
  quarantine(const clock& source, clock::duration retention,
             notify_function notify);

  /// Counts one crash seen by this host.
  void RecordCrash(const std::string& fingerprint);
  /// Takes in the count of another host; repeated notices change nothing.
  void OnNotice(const host_id& sender, const std::string& fingerprint,
                int crashes);
  /// Forgets a request that ran alone and succeeded. Counts of other hosts
  /// stay.
  void Clear(const std::string& fingerprint);
  /// Crashes at all hosts that have not expired.
  int Crashes(const std::string& fingerprint) const;
  /// This host's own counts that have not expired.
  std::map<std::string, int> OwnCrashes() const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct record {
    int own = 0;
    std::map<host_id, int> others;
    clock::time_point expires;
  };

  record& Touch(const std::string& fingerprint);

  const clock& clock_;
  clock::duration retention_;
  notify_function notify_;
  std::map<std::string, record> entries_;
};

}  // namespace bluebell::routing
