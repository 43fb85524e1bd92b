#include <boost/test/unit_test.hpp>

#include <heathergate/control/control.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::control;

namespace {

const std::string kHeader = "customer,rate,burst,budget,priority,weight,revision\r\n";

auto errorOf(const std::string &text) -> std::string
{
    const auto rows = tableFromCsv(text);
    return rows ? std::string() : rows.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableCsvTest)

RC_BOOST_PROP(aTableIsUnchangedByARoundTrip, ())
{
    std::map<CustomerId, TableRow> rows;
    const auto names = *rc::gen::container<std::set<std::string>>(rc::gen::nonEmpty<std::string>());
    for (const auto &name : names) {
        // Names with a carriage return are excluded, because spreadsheets do not preserve a lone
        // one.
        if (name.find('\r') != std::string::npos)
            continue;
        const RowValues values{*rc::gen::inRange(0, 1000) / 8.0, *rc::gen::inRange(0, 1000) / 4.0,
                               *rc::gen::inRange(0, 1'000'000), *rc::gen::inRange(0, 9),
                               *rc::gen::inRange(1, 100) / 16.0};
        rows[CustomerId(name)] = {CustomerId(name), values, *rc::gen::arbitrary<std::uint32_t>()};
    }
    const auto read = tableFromCsv(tableToCsv(rows));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->size() == rows.size());
    for (const auto &row : *read) {
        RC_ASSERT(rows.at(row.customer).values == row.values);
        RC_ASSERT(rows.at(row.customer).revision == row.revision);
    }
}

RC_BOOST_PROP(anyTextIsParsedOrRefusedWithItsLine, (const std::string &text))
{
    const auto rows = tableFromCsv(kHeader + text);
    RC_ASSERT(rows.has_value() || rows.error().detail.starts_with("line "));
}

BOOST_AUTO_TEST_CASE(errorsNameLineAndColumn)
{
    BOOST_TEST(errorOf("customer,rate\r\n")
               == "line 1: must be customer,rate,burst,budget,priority,weight,revision");
    BOOST_TEST(errorOf(kHeader + "a,x,1,1,0,1,\r\n") == "line 2: rate: must be a number");
    BOOST_TEST(errorOf(kHeader + "a,1,1,1,0,0,\r\n")
               == "line 2: weight: must be above 0 and at most 1e6");
    BOOST_TEST(errorOf(kHeader + "a,1,1,1,0,1,\r\na,1,1,1,0,1,\r\n")
               == "line 3: customer: a stands twice");
    BOOST_TEST(errorOf(kHeader + "a,1,1\r\n") == "line 2: must have 7 columns");
}

BOOST_AUTO_TEST_SUITE_END()
