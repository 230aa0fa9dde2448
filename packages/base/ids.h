#pragma once

#include <cstdint>
#include <string>

#include "base/strong_type.h"

namespace bluebell {

/// An entry host, by the id in its settings.
using host_id = strong_type<struct host_tag, std::string>;
/// An availability zone.
using zone_id = strong_type<struct zone_tag, std::string>;
/// A client account, by the id of its row.
using account_id = strong_type<struct account_tag, std::string>;
/// A model engine or plain service, by the id of its row.
using endpoint_id = strong_type<struct endpoint_tag, std::string>;
/// A model, by the id of its row.
using model_id = strong_type<struct model_tag, std::string>;
/// Version of the software that an endpoint runs. Versions have no order.
using software_version = strong_type<struct software_version_tag, std::string>;
/// An adapter, by the id of its row.
using adapter_id = strong_type<struct adapter_tag, std::string>;
/// A part of a prompt that several requests may share.
using prompt_part_id = strong_type<struct prompt_part_tag, std::string>;
/// One request as seen by one entry host.
using request_id = strong_type<struct request_tag, std::string>;
/// One run of a host process; a restarted process has a new incarnation.
using incarnation_id = strong_type<struct incarnation_tag, std::string>;

/// Prompt or generated tokens.
using token_count = strong_type<struct token_count_tag, std::int64_t>;
/// Bytes of accelerator memory or of a message.
using byte_count = strong_type<struct byte_count_tag, std::int64_t>;
/// Version of a platform object. All objects share one counter, so a version
/// is also a revision of the whole store; 0 stands for "does not exist".
using revision = strong_type<struct revision_tag, std::uint64_t>;

}  // namespace bluebell
