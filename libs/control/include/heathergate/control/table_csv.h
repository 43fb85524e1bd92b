#pragma once

#include <heathergate/control/records.h>

namespace heathergate::control {

/// Returns the table as CSV (RFC 4180) with a header line; the revision is the last column.
[[nodiscard]] auto tableToCsv(const std::map<CustomerId, TableRow> &rows) -> std::string;

/// Reads rows from CSV with the header that `tableToCsv` writes; the revision column may be empty
/// for new rows. Fails with `Code::BadRequest`, naming line and column.
[[nodiscard]] auto tableFromCsv(std::string_view text) -> Result<std::vector<TableRow>>;

} // namespace heathergate::control
