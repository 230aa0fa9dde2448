#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "serving/stream_versions.h"

namespace bluebell::serving {

/// Streams that began at the sender, or that it was asked for.
std::string EncodeStartReport(const std::vector<stream_start>& starts);
/// Errors `kInvalidArgument`.
result<std::vector<stream_start>> DecodeStartReport(std::string_view bytes);

/// Asks for the starts of streams; hosts that know some of them answer by a
/// report.
std::string EncodeStartQuery(const std::vector<request_id>& attempts);
/// Errors `kInvalidArgument`.
result<std::vector<request_id>> DecodeStartQuery(std::string_view bytes);

}  // namespace bluebell::serving
