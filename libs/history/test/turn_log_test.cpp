#include <boost/test/unit_test.hpp>

#include <heathergate/history/turn_log.h>
#include <heathergate/testing/fake_files.h>

using namespace heathergate;
using history::Location;
using testing::FakeFiles;
using Log = history::TurnLog<FakeFiles>;

namespace {

struct Opened
{
    Log log;
    std::vector<std::pair<Location, std::string>> records;
};

auto openLog(FakeFiles &files) -> Opened
{
    std::vector<std::pair<Location, std::string>> records;
    auto log = Log::open(files, [&](const Location &at, std::string_view payload) {
        records.emplace_back(at, payload);
    });
    BOOST_REQUIRE(log);
    return {std::move(*log), std::move(records)};
}

auto store(Log &log, const std::string &payload) -> Location
{
    const auto at = log.append(payload);
    BOOST_REQUIRE(log.commit());
    return at;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TurnLogTest)

BOOST_AUTO_TEST_CASE(readsBackWhatWasCommittedAlsoAfterALossOfPower)
{
    FakeFiles files;
    auto first = openLog(files);
    const auto one = store(first.log, "one");
    const auto two = store(first.log, "two");
    BOOST_TEST(first.log.read(two).value() == "two");
    files.crash();
    auto second = openLog(files);
    BOOST_TEST(second.records.size() == 2U);
    BOOST_TEST(second.log.read(one).value() == "one");
    BOOST_TEST(!second.log.wasDamaged());
}

BOOST_AUTO_TEST_CASE(aTornLastRecordIsLeftOutAndIsNoDamage)
{
    FakeFiles files;
    auto first = openLog(files);
    const auto one = store(first.log, "one");
    BOOST_REQUIRE(files.append(files.list()->front(), "half a record"));
    files.crash(5);
    auto second = openLog(files);
    BOOST_TEST(second.records.size() == 1U);
    BOOST_TEST(!second.log.wasDamaged());
    const auto two = store(second.log, "two");
    BOOST_TEST(two.segment > one.segment);
    BOOST_TEST(second.log.read(two).value() == "two");
}

BOOST_AUTO_TEST_CASE(aDamagedRecordIsReportedAndTheOthersAreRead)
{
    FakeFiles files;
    auto first = openLog(files);
    const auto one = store(first.log, "one");
    store(first.log, "two");
    files.content(files.list()->front())[26] ^= 1;
    const auto damaged = first.log.read(one);
    BOOST_REQUIRE(!damaged);
    BOOST_TEST((damaged.error().code == Code::DataDamaged));
    auto second = openLog(files);
    BOOST_TEST(second.log.wasDamaged());
    BOOST_REQUIRE(second.records.size() == 1U);
    BOOST_TEST(second.records[0].second == "two");
}

BOOST_AUTO_TEST_CASE(nothingIsDurableAfterAFailedSync)
{
    for (const auto code : {Code::DiskFull, Code::DiskFailed}) {
        FakeFiles files;
        auto opened = openLog(files);
        opened.log.append("one");
        files.failNextSync(code);
        BOOST_TEST((opened.log.commit().error().code == Code::DiskFailed));
        opened.log.append("two");
        files.failNextFolderSync(code);
        BOOST_TEST((opened.log.commit().error().code == Code::DiskFailed));
    }
}

BOOST_AUTO_TEST_CASE(aWriteToAFullDiskCanBeRetried)
{
    FakeFiles files;
    auto opened = openLog(files);
    const auto at = opened.log.append("one");
    files.setFreeBytes(3);
    BOOST_TEST((opened.log.commit().error().code == Code::DiskFull));
    files.setFreeBytes(std::nullopt);
    BOOST_REQUIRE(opened.log.commit());
    BOOST_TEST(opened.log.read(at).value() == "one");
}

BOOST_AUTO_TEST_CASE(recordsOfAKilledProcessAreDurableOnceTheyAreRead)
{
    FakeFiles files;
    auto first = openLog(files);
    store(first.log, "one");
    std::string unsynced;
    log::internal::appendRecord(unsynced, first.log.currentSegment(), "two");
    BOOST_REQUIRE(files.append(files.list()->front(), unsynced));
    BOOST_TEST(openLog(files).records.size() == 2U);
    files.crash();
    BOOST_TEST(openLog(files).records.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
