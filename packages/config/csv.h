#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/tables.h"

namespace bluebell::config {

/// One row of a table as CSV text.
struct csv_row {
  nlohmann::json value;
  /// Revision on which the edit is based; 0 (an empty cell) creates the row.
  revision version;
};

/// Writes a table as CSV (RFC 4180): a header line with the fields of the
/// table and `revision`, then one line per row.
std::string WriteCsv(const table_schema& table,
                     const std::vector<csv_row>& rows);

/// Parses the format of `WriteCsv`, with columns in any order. Every column is
/// required, so that a missing one cannot reset a field to its default. Lines
/// may end in CRLF or LF; a byte order mark is skipped. Fails with
/// `kInvalidArgument`; the detail lists all errors, one per line.
result<std::vector<csv_row>> ReadCsv(const table_schema& table,
                                     const std::string& text);

/// Parses a CSV cell or command-line argument as a value of the field's type.
/// Fails with `kInvalidArgument`.
result<nlohmann::json> ParseField(const field_schema& field,
                                  const std::string& text);

}  // namespace bluebell::config
