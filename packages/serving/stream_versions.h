#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/serving_config.h"

namespace bluebell::serving {

/// The software version at which a resumable stream began.
struct stream_start {
  /// The caller's attempt that got the first event.
  request_id attempt;
  software_version software;
};

/// Stored object: starts of streams in the order in which they were recorded.
/// A later start of the same attempt replaces an earlier one.
struct start_batch {
  std::string name;
  /// 0: not stored yet.
  std::uint64_t revision = 0;
  std::vector<stream_start> starts;
};

/// Stored object: where the streams of a service began.
struct version_table {
  service_id service;
  /// Streams whose start is not stored began at this version.
  software_version base;
  /// Streams may have begun at other versions, too; their starts are stored.
  bool several = false;
  /// 0: not stored yet.
  std::uint64_t revision = 0;
  /// Newest era of the store in which it held each start that a caller may
  /// still need; none if a build that does not record it wrote the table.
  std::optional<std::uint64_t> complete_era = std::nullopt;

  friend bool operator==(const version_table& a, const version_table& b) {
    return a.service == b.service && a.base == b.base &&
           a.several == b.several && a.revision == b.revision &&
           a.complete_era == b.complete_era;
  }
};

struct version_listing {
  std::uint64_t era = 0;
  std::vector<version_table> tables;
  /// Sorted by name.
  std::vector<start_batch> batches;
};

/// How the version of a stream was found.
enum class version_source {
  /// It began at this host.
  kHere,
  /// The host where it began reported it.
  kPeer,
  kStore,
  /// Its start was not stored, which only streams at the base version omit.
  kBase,
};

const char* ToString(version_source source);

struct found_version {
  software_version software;
  version_source source = version_source::kHere;
};

/// Decides at which software versions resumable streams may begin and go on.
/// A stream may only go on at the version that began it, at any host, also
/// after all hosts were killed.
///
/// The store holds one table per service. It names a base version: the start of
/// a stream at any other version is stored before the caller gets the first
/// event. So a stream whose start is not stored began at the base version, and
/// a host that knows nothing finds the version of every stream in one listing.
/// With one version in service, no start is stored.
///
/// The base version changes only after none of its engines was listed for
/// `kStreamLifetime`; until then starts at all other versions are stored.
///
/// A store that is restored from an older copy loses starts. For
/// `kStreamLifetime` after that a stream whose start is not stored may have
/// begun at any version. So hosts report the streams that begin at them to a
/// few others while a service has several versions, and a stream that none of
/// them knows is not taken up. Tables name the newest complete era, by which a
/// host that has started since knows that starts may be missing.
///
/// Load pattern: a few streams a second may be resumed. A rollout replaces
/// engines within seconds; a restart of all hosts brings back most callers at
/// once, whose listings are shared.
class stream_versions {
 public:
  using software_by_service = std::map<service_id, std::set<software_version>>;

  /// All attempts of a caller at one stream end within this time.
  static constexpr std::chrono::seconds kStreamLifetime{60};

  /// `owner` makes the names of this process's batches unique.
  stream_versions(const clock& source, std::string owner)
      : clock_(source), owner_(std::move(owner)) {}

  /// Services that have routes whose streams may be resumed.
  void SetServices(std::set<service_id> services);
  /// Versions of all listed engines, as of `as_of`.
  void OnEngines(const software_by_service& listed, clock::time_point as_of);
  /// The engines of the last `OnEngines` are also listed as of `as_of`.
  void OnConfirmed(clock::time_point as_of);

  /// Whether engines of several versions serve `service`, or did a short time
  /// ago.
  bool HasSeveral(const service_id& service) const;
  /// Versions at which a stream of `service` may begin now.
  std::set<software_version> AllowedForNew(const service_id& service) const;
  /// A stream is about to begin. Returns a ticket for `IsStored`, or none if
  /// its start need not be stored. `recorded`: an earlier start of the attempt
  /// was recorded.
  std::optional<std::uint64_t> RecordStart(const service_id& service,
                                           const stream_start& start,
                                           bool recorded);
  bool IsStored(std::uint64_t ticket) const { return ticket <= stored_; }
  /// The caller gets the first event of a stream.
  void OnBegun(const stream_start& start);

  /// Asks for a listing that begins after this call; returns its ticket.
  std::uint64_t RequestListing() { return ++wanted_listing_; }
  bool HasListing(std::uint64_t ticket) const { return ticket <= listing_; }
  /// Version of a stream that began at this host, or that its host reported.
  std::optional<found_version> Known(const request_id& attempt) const;
  /// Version at which the stream of `attempt` began, by all that is known and
  /// the newest listing; none if unknown. An empty attempt stands for any
  /// stream of the service.
  std::optional<found_version> VersionOf(const service_id& service,
                                         const request_id& attempt) const;
  /// The store was restored, and may lack starts of streams of `service` that
  /// callers may still take up.
  bool MayLackStarts(const service_id& service) const;
  /// What a version of `service` that is not found follows from, for logs.
  std::string Describe(const service_id& service) const;

  /// Streams that began at this host and were not returned before, for the
  /// hosts that keep them too. None while no service needs that.
  std::vector<stream_start> TakeUnreported();
  /// Another host reports where streams began.
  void OnReported(const std::vector<stream_start>& starts);

  /// Whether the store has to be listed now. `cleans`: this host removes
  /// batches of processes that have ended.
  bool WantsListing(std::uint64_t store_era, bool cleans) const;
  std::uint64_t wanted_listing() const { return wanted_listing_; }
  void OnListing(const version_listing& listing, std::uint64_t ticket);
  /// A table that has to be written, if its revision is still the same.
  std::optional<version_table> NextTable() const;
  void OnTableWritten(const version_table& table);

  /// A batch that has to be written; no other may be until its result is known.
  std::optional<start_batch> NextBatch();
  void OnBatchWritten(std::uint64_t revision);
  /// The write failed, and may take effect later.
  void OnBatchFailed();
  /// Names of batches that no caller needs any more; each is returned once.
  std::vector<std::string> TakeExpired(bool cleans);

 private:
  struct service_state {
    std::set<software_version> listed;
    /// When each version was listed last.
    std::map<software_version, clock::time_point> last_listed;
    std::optional<version_table> table;
    /// The base version was listed all the time since the table was read.
    bool confirmed = false;
    /// Only the base version was listed since the table said that no stream
    /// began at another.
    bool only_base = false;
    /// What the table said before the store was restored from an older copy.
    std::optional<version_table> before_restore;
  };

  /// Starts by attempt, dropped `kStreamLifetime` after they were added.
  struct recent_starts {
    std::map<request_id, software_version> by_attempt;
    std::deque<std::pair<clock::time_point, request_id>> order;
  };

  // Whether a version other than `software` is listed.
  static bool ListsAnother(const std::set<software_version>& listed,
                           const software_version& software);
  bool IsCurrent() const;
  // Whether the versions were observed for `kStreamLifetime` without a gap.
  bool HasHistory() const;
  static bool WasListedSince(const service_state& state,
                             const software_version& software,
                             clock::time_point since);
  std::optional<version_table> NextTable(const service_id& service,
                                         const service_state& state) const;
  void Add(recent_starts& starts, const stream_start& start) const;
  void DropExpired(recent_starts& starts) const;
  // Whether hosts report starts to each other.
  bool ReportsStarts() const;
  std::string NewBatchName();
  // Closes the batch; starts that are not stored move to a new one.
  void OpenNextBatch();

  const clock& clock_;
  std::string owner_;
  std::map<service_id, service_state> services_;
  std::set<service_id> resumable_;
  std::optional<clock::time_point> as_of_;
  clock::time_point observed_since_;

  recent_starts own_;
  // Streams that began here, were not reported, and when they began.
  std::deque<std::pair<clock::time_point, stream_start>> unreported_;
  recent_starts reported_;
  // Starts that the store held before it was restored.
  recent_starts starts_before_restore_;

  // The batch that is being filled; `stored_here_` of its starts are stored.
  start_batch batch_;
  std::size_t stored_here_ = 0;
  std::size_t writing_ = 0;
  clock::time_point batch_opened_;
  int batch_number_ = 0;
  std::uint64_t recorded_ = 0;
  std::uint64_t stored_ = 0;
  std::optional<clock::time_point> failed_at_;
  // Batches of this process that are complete, and when they became so.
  std::deque<std::pair<clock::time_point, std::string>> closed_;

  std::uint64_t wanted_listing_ = 1;
  std::uint64_t listing_ = 0;
  std::uint64_t listed_era_ = 0;
  // The first listing of that era.
  clock::time_point era_since_;
  // This process has listed an earlier era.
  bool saw_restore_ = false;
  clock::time_point listed_at_;
  std::map<request_id, software_version> starts_;
  // Batches of other processes, and when they were first listed unchanged.
  std::map<std::string, std::pair<std::uint64_t, clock::time_point>> others_;
};

}  // namespace bluebell::serving
