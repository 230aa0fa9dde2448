#pragma once

#include <string_view>

namespace bluebell {

/// Whether a message head carries `text` unchanged as the value of a field (RFC
/// 9110, section 5.5): no control bytes but tabs, and no blank or tab at either
/// end. Other bytes end the field or the head, or are lost on the way.
bool IsFieldText(std::string_view text);

}  // namespace bluebell
