#pragma once

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Keeps quarantined prompt parts and requests in the store, since a restart of
/// all hosts loses what they have learned, and each of them would crash engines
/// again. A request is stored like a part, under an id that no part has; what
/// is said of parts below holds for both.
///
/// Load pattern: a part is quarantined on a few days, at all hosts within a
/// second. Two hosts write it, so that one may be lost; the one that comes
/// second mostly finds it in the list and saves the write. Parts that were
/// answered are not stored: they may be innocent, and are tested again soon.
///
/// A store that was restored from an older copy may have lost parts: all that
/// are quarantined are then compared with its list again.
///
/// Expired parts are removed before a part is written, and the number of stored
/// parts is limited, so the list cannot grow without end.
class quarantine_sync {
 public:
  explicit quarantine_sync(edge_state& host) : host_(host) {}

  /// A part was quarantined by what this host has learned.
  void OnQuarantined(const prompt_part_id& part) { pending_.insert(part); }
  void OnRequestQuarantined(const std::string& fingerprint);
  /// Restores the stored parts as soon as the store answers, then writes new
  /// ones, until the process ends.
  void Run(boost::asio::yield_context yield);

 private:
  // Return false if a call to the store failed.
  bool RestoreAndWrite(boost::asio::yield_context yield);
  bool Remove(const serving::stored_part& expired,
              boost::asio::yield_context yield);
  bool Write(const prompt_part_id& part, boost::asio::yield_context yield);
  // The fingerprint of a request that is stored as `part`; none for a part.
  static std::optional<std::string> RequestOf(const prompt_part_id& part);
  bool IsQuarantined(const prompt_part_id& part) const;
  std::optional<clock::duration> UnansweredAge(
      const prompt_part_id& part) const;
  bool Restore(const prompt_part_id& part, clock::duration age);
  // Drops pending parts that this host does not have to write.
  void DropPending();

  edge_state& host_;
  bool listed_ = false;
  /// Era of the store whose list was read.
  std::optional<std::uint64_t> era_;
  /// Parts that are not known to be stored.
  std::set<prompt_part_id> pending_;
};

}  // namespace bluebell::edge
