#pragma once

#include <string>

namespace bluebell::config {

/// Whether the text is a valid name of a zone or group: 1 to 256 letters,
/// digits and . _ : @ + -
bool IsName(const std::string& text);

/// Whether the text is a valid row id: names joined by '/', none of them "."
/// or "..", 1 to 256 characters in all. Ids are part of object names and of URL
/// paths.
bool IsRowId(const std::string& text);

/// Whether the text is a SHA-256 digest of 64 lower-case hexadecimal digits.
bool IsKeyDigest(const std::string& text);

/// Name `<table>/<row>` of a row for logs and responses. Redacts names in the
/// keys table that are not digests, because an operator may have entered a
/// plaintext key as the name.
std::string PrintableName(const std::string& name);

}  // namespace bluebell::config
