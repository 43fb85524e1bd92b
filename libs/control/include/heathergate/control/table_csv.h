#pragma once

#include <heathergate/control/records.h>

namespace heathergate::control {

/// Returns the table as CSV (RFC 4180) with a header line. The last column is the revision.
[[nodiscard]] auto tableToCsv(const std::map<CustomerId, TableRow> &rows) -> std::string;

/// Parses rows from CSV with the header that `tableToCsv` writes. The revision may be empty for new
/// rows. Fails with `Code::BadRequest`, naming the line and column.
[[nodiscard]] auto tableFromCsv(std::string_view text) -> Result<std::vector<TableRow>>;

} // namespace heathergate::control
