#include "daemon/host_settings.h"

#include <algorithm>
#include <map>

namespace bluebell::daemon {
namespace {

constexpr std::size_t kDigestLength = 64;

setting_rule Required(const char* section, const char* key, setting_type type) {
  return {section, key, type, "", true, 0, 0, {}};
}

setting_rule Choice(const char* section, const char* key,
                    std::vector<std::string> choices) {
  const std::string first = choices.front();
  return {section, key, setting_type::kText, first, false,
          0,       0,   std::move(choices)};
}

setting_rule Duration(const char* section, const char* key,
                      const char* default_value, std::int64_t minimum,
                      std::int64_t maximum) {
  return {section,       key,   setting_type::kMilliseconds,
          default_value, false, minimum,
          maximum,       {}};
}

bool IsDigest(const std::string& text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

const std::vector<setting_rule>& HostSettingRules() {
  using type = setting_type;
  static const std::vector<setting_rule> kRules = {
      Required("host", "id", type::kText),
      Required("host", "zone", type::kText),
      Required("host", "listen", type::kAddress),
      Required("host", "admin_listen", type::kAddress),
      Required("host", "peer_listen", type::kAddress),
      Duration("host", "drain_ms", "10000", 0, 3'600'000),
      Required("platform", "addresses", type::kAddressList),
      Duration("platform", "timeout_ms", "2000", 50, 60'000),
      {"peers", "seeds", type::kTextList, "", false, 0, 0, {}},
      {"admin", "operator_key_digests", type::kTextList, "", false, 0, 0, {}},
      Choice("log", "level", {"info", "debug", "warn", "err", "off"}),
      Choice("policy", "endpoint_choice",
             {"estimated_completion", "least_outstanding", "round_robin"}),
      Choice("policy", "queue", {"fair", "fifo"}),
      Choice("policy", "budgets", {"shares", "static_split", "single_owner"}),
      Choice("policy", "placement",
             {"priority_aware", "recent_demand", "static"}),
      Duration("policy", "max_queue_wait_ms", "20000", 1, 600'000),
  };
  return kRules;
}

tl::expected<host_settings, std::vector<setting_error>> host_settings::Load(
    const std::string& file) {
  auto read = settings::Load(file, HostSettingRules());
  if (!read) return tl::unexpected(std::move(read.error()));

  static const std::map<std::string, routing::chooser_kind> kChoosers = {
      {"estimated_completion", routing::chooser_kind::kEstimatedCompletion},
      {"least_outstanding", routing::chooser_kind::kLeastOutstanding},
      {"round_robin", routing::chooser_kind::kRoundRobin}};
  static const std::map<std::string, limits::admission_policy> kBudgets = {
      {"shares", limits::admission_policy::kShares},
      {"static_split", limits::admission_policy::kStaticSplit},
      {"single_owner", limits::admission_policy::kSingleOwner}};
  static const std::map<std::string, placement::planner_kind> kPlacements = {
      {"priority_aware", placement::planner_kind::kPriorityAware},
      {"recent_demand", placement::planner_kind::kRecentDemand},
      {"static", placement::planner_kind::kStatic}};

  host_settings loaded;
  loaded.id = host_id(read->Text("host", "id"));
  loaded.zone = zone_id(read->Text("host", "zone"));
  loaded.listen = read->Text("host", "listen");
  loaded.admin_listen = read->Text("host", "admin_listen");
  loaded.peer_listen = read->Text("host", "peer_listen");
  loaded.drain_time = read->Milliseconds("host", "drain_ms");
  loaded.platform_addresses = read->List("platform", "addresses");
  loaded.platform_timeout = read->Milliseconds("platform", "timeout_ms");
  loaded.seeds = read->List("peers", "seeds");
  loaded.operator_key_digests = read->List("admin", "operator_key_digests");
  loaded.log_level = read->Text("log", "level");
  loaded.endpoint_choice =
      kChoosers.at(read->Text("policy", "endpoint_choice"));
  loaded.queue = read->Text("policy", "queue") == "fair"
                     ? routing::queue_kind::kFair
                     : routing::queue_kind::kFifo;
  loaded.budgets = kBudgets.at(read->Text("policy", "budgets"));
  loaded.placement = kPlacements.at(read->Text("policy", "placement"));
  loaded.max_queue_wait = read->Milliseconds("policy", "max_queue_wait_ms");

  std::vector<setting_error> errors;
  for (const auto& digest : loaded.operator_key_digests) {
    if (IsDigest(digest)) continue;
    errors.push_back({file, "admin", "operator_key_digests", digest,
                      "SHA-256 digests of 64 lower-case hex digits"});
  }
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return loaded;
}

}  // namespace bluebell::daemon
