#include "edge/start_exchange.h"

#include <algorithm>
#include <vector>

#include "edge/pause.h"
#include "serving/start_messages.h"

namespace bluebell::edge {
namespace {

// Streams that begin within this time of the end of their host are not known
// to the others.
constexpr milliseconds kInterval{100};
// Hosts that keep the starts of this one.
constexpr std::size_t kKeepers = 4;
// About a kilobyte, which fits one packet.
constexpr std::size_t kStartsPerDatagram = 48;

// Calls `use` with consecutive parts of `entries`.
template <class Entry, class Use>
void ForEachPart(const std::vector<Entry>& entries, const Use& use) {
  for (std::size_t i = 0; i < entries.size(); i += kStartsPerDatagram) {
    const auto end = std::min(entries.size(), i + kStartsPerDatagram);
    use(std::vector<Entry>(entries.begin() + i, entries.begin() + end));
  }
}

}  // namespace

void start_exchange::Run(boost::asio::yield_context yield) {
  while (true) {
    Pause(host_.io, kInterval, yield);
    SendReports();
    SendQueries();
  }
}

void start_exchange::SendReports() {
  const auto starts = host_.versions.TakeUnreported();
  if (starts.empty()) return;
  const auto keepers = host_.directory.StartKeepers(kKeepers);
  ForEachPart(starts, [&](const auto& part) {
    const auto bytes = serving::EncodeStartReport(part);
    for (const auto& address : keepers) send_report(address, bytes);
  });
}

void start_exchange::SendQueries() {
  const std::vector<request_id> wanted(wanted_.begin(), wanted_.end());
  wanted_.clear();
  ForEachPart(wanted, [&](const auto& part) {
    const auto bytes = serving::EncodeStartQuery(part);
    for (const auto& [id, address] : host_.directory.Recipients(true)) {
      send_query(address, bytes);
    }
  });
}

void start_exchange::HandleReport(std::string_view bytes,
                                  const std::string& from) {
  const auto starts = serving::DecodeStartReport(bytes);
  if (!starts) {
    host_.log.Write("starts_unreadable",
                    {{"from", from}, {"detail", starts.error().detail}});
    return;
  }
  host_.versions.OnReported(*starts);
  host_.versions_changed.Notify();
}

void start_exchange::HandleQuery(std::string_view bytes,
                                 const std::string& from) {
  const auto attempts = serving::DecodeStartQuery(bytes);
  if (!attempts) {
    host_.log.Write("question_unreadable",
                    {{"detail", attempts.error().detail}});
    return;
  }
  std::vector<serving::stream_start> starts;
  for (const auto& attempt : *attempts) {
    if (const auto known = host_.versions.Known(attempt)) {
      starts.push_back({attempt, known->software});
    }
  }
  if (!starts.empty()) send_report(from, serving::EncodeStartReport(starts));
}

}  // namespace bluebell::edge
