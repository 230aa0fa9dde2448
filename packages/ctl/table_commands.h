#pragma once

#include <string>
#include <vector>

#include "config/tables.h"
#include "ctl/session.h"

namespace bluebell::ctl {

exit_code ListTable(session& current, const config::table_schema& table);
exit_code GetRow(session& current, const config::table_schema& table,
                 const std::string& id);

/// Changes fields (`name=value`) of a row and writes it with the revision that
/// was read. `create` writes a new row.
exit_code SetRow(session& current, const config::table_schema& table,
                 const std::string& id, const std::vector<std::string>& fields,
                 bool create);
exit_code RemoveRow(session& current, const config::table_schema& table,
                    const std::string& id);

/// Writes each row of a CSV text that differs from the row in force, with the
/// revision in its line. Goes on after a refused row; rows that the text does
/// not hold stay as they are.
exit_code ImportTable(session& current, const config::table_schema& table,
                      const std::string& text);
/// Writes the table as CSV to `out`.
exit_code ExportTable(session& current, const config::table_schema& table,
                      std::ostream& out);

}  // namespace bluebell::ctl
