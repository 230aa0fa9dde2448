#include "daemon/quarantine_exchange.h"

#include <nlohmann/json.hpp>

namespace bluebell::daemon {
namespace {

constexpr char kNoticeMessage[] = "quarantine_notice";
constexpr std::chrono::seconds kNoticeTimeout{2};

}  // namespace

void quarantine_exchange::Broadcast(const std::string& fingerprint,
                                    int crashes) {
  const nlohmann::json notice = {{"fingerprint", fingerprint},
                                 {"crashes", crashes}};
  for (const auto& host : fleet_.LiveHosts()) {
    if (host == fleet_.self()) continue;
    peers_.Request(host, kNoticeMessage, notice, kNoticeTimeout,
                   [](const result<nlohmann::json>&) {});
  }
}

void quarantine_exchange::HandleNotices(routing::queue_scheduler& scheduler) {
  peers_.SetHandler(
      kNoticeMessage,
      [&scheduler](const host_id& sender, const nlohmann::json& body,
                   const peer::peer_network::respond& answer) {
        const bool valid = body.is_object() && body.contains("fingerprint") &&
                           body["fingerprint"].is_string() &&
                           body.contains("crashes") &&
                           body["crashes"].is_number_integer();
        if (valid) {
          scheduler.OnQuarantineNotice(sender, body["fingerprint"],
                                       body["crashes"]);
        }
        answer({{"taken", valid}});
      });
}

}  // namespace bluebell::daemon
