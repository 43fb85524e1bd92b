#include <heathergate/control/table_csv.h>

#include <array>
#include <charconv>
#include <sstream>

namespace heathergate::control {

namespace {

constexpr std::array<std::string_view, 7> kColumns{"customer", "rate",   "burst",   "budget",
                                                   "priority", "weight", "revision"};

using Cells = std::vector<std::string>;

auto quoteCell(const std::string &text) -> std::string
{
    if (text.find_first_of(",\"\r\n") == std::string::npos)
        return text;
    std::string out = "\"";
    for (const auto c : text) {
        if (c == '"')
            out += '"';
        out += c;
    }
    return out + "\"";
}

auto formatNumber(double value) -> std::string
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

auto lineError(std::size_t line, std::string_view problem) -> tl::unexpected<Error>
{
    return fail(Code::BadRequest, "line " + std::to_string(line) + ": " + std::string(problem));
}

/// Splits text into lines of cells. Quoted cells may contain commas, quotes and line breaks.
auto splitCells(std::string_view text) -> Result<std::vector<Cells>>
{
    std::vector<Cells> lines;
    Cells cells;
    std::string cell;
    bool inQuotes = false;
    const auto endLine = [&] {
        cells.push_back(std::move(cell));
        cell.clear();
        if (cells.size() > 1 || !cells.front().empty())
            lines.push_back(std::move(cells));
        cells.clear();
    };
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto c = text[i];
        if (inQuotes && c == '"' && i + 1 < text.size() && text[i + 1] == '"') {
            cell += c;
            ++i;
        } else if (c == '"') {
            inQuotes = !inQuotes;
        } else if (inQuotes) {
            cell += c;
        } else if (c == ',') {
            cells.push_back(std::move(cell));
            cell.clear();
        } else if (c == '\n') {
            endLine();
        } else if (c != '\r') {
            cell += c;
        }
    }
    if (inQuotes)
        return lineError(lines.size() + 1, "a quote is not closed");
    endLine();
    return lines;
}

template <typename T>
auto readNumber(const std::string &text, T &value) -> bool
{
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

auto readRow(const Cells &cells, std::size_t line) -> Result<TableRow>
{
    if (cells.size() != kColumns.size())
        return lineError(line, "must have 7 columns");
    TableRow row;
    row.customer = CustomerId(cells[0]);
    if (row.customer.empty())
        return lineError(line, "customer: must not be empty");
    const auto notANumberError = [line](std::size_t column) {
        return lineError(line, std::string(kColumns[column]) + ": must be a number");
    };
    if (!readNumber(cells[1], row.values.rate))
        return notANumberError(1);
    if (!readNumber(cells[2], row.values.burst))
        return notANumberError(2);
    if (!readNumber(cells[3], row.values.budget))
        return notANumberError(3);
    if (!readNumber(cells[4], row.values.priority))
        return notANumberError(4);
    if (!readNumber(cells[5], row.values.weight))
        return notANumberError(5);
    if (!cells[6].empty() && !readNumber(cells[6], row.revision))
        return notANumberError(6);
    if (const auto allowed = checkRow(row.values); !allowed)
        return lineError(line, allowed.error().detail);
    return row;
}

} // namespace

auto tableToCsv(const std::map<CustomerId, TableRow> &rows) -> std::string
{
    std::ostringstream out;
    out << "customer,rate,burst,budget,priority,weight,revision\r\n";
    for (const auto &[customer, row] : rows) {
        out << quoteCell(customer.value) << ',' << formatNumber(row.values.rate) << ','
            << formatNumber(row.values.burst) << ',' << row.values.budget << ','
            << row.values.priority << ',' << formatNumber(row.values.weight) << ',' << row.revision
            << "\r\n";
    }
    return out.str();
}

auto tableFromCsv(std::string_view text) -> Result<std::vector<TableRow>>
{
    constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
    if (text.starts_with(kByteOrderMark))
        text.remove_prefix(kByteOrderMark.size());
    const auto lines = splitCells(text);
    if (!lines)
        return tl::unexpected(lines.error());
    if (lines->empty()
        || !std::equal(kColumns.begin(), kColumns.end(), lines->front().begin(),
                       lines->front().end()))
        return lineError(1, "must be customer,rate,burst,budget,priority,weight,revision");
    std::vector<TableRow> rows;
    std::set<CustomerId> seen;
    for (std::size_t i = 1; i < lines->size(); ++i) {
        auto row = readRow((*lines)[i], i + 1);
        if (!row)
            return tl::unexpected(row.error());
        if (!seen.insert(row->customer).second)
            return lineError(i + 1, "customer: " + row->customer.value + " stands twice");
        rows.push_back(std::move(*row));
    }
    return rows;
}

} // namespace heathergate::control
