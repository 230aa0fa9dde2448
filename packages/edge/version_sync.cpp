#include "edge/version_sync.h"

#include <algorithm>

#include "edge/pause.h"

namespace bluebell::edge {
namespace {

constexpr milliseconds kPollInterval{100};
constexpr milliseconds kRetryInterval{150};
// The first hosts of the ranking write tables, the others only if these do not.
constexpr int kTableWriters = 3;
constexpr milliseconds kWritersTime{1500};
// Interval between two writes of starts, per host in the fleet: all hosts
// together make at most 67 a second.
constexpr milliseconds kIntervalPerHost{15};
constexpr milliseconds kMinInterval{30};
constexpr milliseconds kMaxInterval{300};

}  // namespace

void version_sync::RunTables(boost::asio::yield_context yield) {
  while (true) {
    bool done = true;
    if (host_.versions.WantsListing(host_.store_era.value_or(0), Cleans())) {
      done = List(yield);
    }
    if (done) done = WriteTable(yield);
    if (done) {
      RemoveExpired(yield);
      host_.versions_changed.Wait(kPollInterval, yield);
    } else {
      Pause(host_.io, kRetryInterval, yield);
    }
  }
}

bool version_sync::List(boost::asio::yield_context yield) {
  const auto ticket = host_.versions.wanted_listing();
  const auto listing = host_.store.ListStreamVersions(yield);
  if (!listing) {
    if (!list_failed_) {
      host_.log.Write("versions_not_listed",
                      {{"detail", listing.error().detail}});
    }
    list_failed_ = true;
    return false;
  }
  list_failed_ = false;
  host_.versions.OnListing(*listing, ticket);
  host_.versions_changed.Notify();
  host_.changed.Notify();
  return true;
}

bool version_sync::WriteTable(boost::asio::yield_context yield) {
  const auto table = host_.versions.NextTable();
  const auto now = host_.time.now();
  if (!table) {
    table_wanted_since_.reset();
    return true;
  }
  if (!table_wanted_since_) table_wanted_since_ = now;
  if (host_.directory.Rank() >= kTableWriters &&
      now - *table_wanted_since_ < kWritersTime) {
    return true;
  }
  auto written = *table;
  const auto revision = host_.store.WriteVersionTable(*table, yield);
  host_.log.Write("version_table",
                  {{"service", table->service.value()},
                   {"base", table->base.value()},
                   {"several", table->several ? "yes" : "no"},
                   {"detail", revision ? "written" : revision.error().detail}});
  if (!revision) {
    // Another host may have written it.
    host_.versions.RequestListing();
    return revision.error().code == error_code::kConflict;
  }
  written.revision = *revision;
  host_.versions.OnTableWritten(written);
  host_.changed.Notify();
  return true;
}

void version_sync::RemoveExpired(boost::asio::yield_context yield) {
  for (const auto& name : host_.versions.TakeExpired(Cleans())) {
    const auto removed = host_.store.RemoveStarts(name, yield);
    if (!removed) {
      host_.log.Write("starts_not_removed",
                      {{"batch", name}, {"detail", removed.error().detail}});
    }
  }
}

void version_sync::RunStarts(boost::asio::yield_context yield) {
  while (true) {
    const auto batch = host_.versions.NextBatch();
    if (!batch) {
      host_.versions_changed.Wait(kPollInterval, yield);
      continue;
    }
    const auto revision = host_.store.WriteStarts(*batch, yield);
    if (revision) {
      host_.versions.OnBatchWritten(*revision);
    } else {
      host_.log.Write("starts_not_stored",
                      {{"batch", batch->name},
                       {"starts", std::to_string(batch->starts.size())},
                       {"detail", revision.error().detail}});
      host_.versions.OnBatchFailed();
    }
    host_.versions_changed.Notify();
    Pause(host_.io,
          std::clamp(kIntervalPerHost * host_.directory.HostCount(),
                     kMinInterval, kMaxInterval),
          yield);
  }
}

}  // namespace bluebell::edge
