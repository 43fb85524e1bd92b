#include <boost/test/unit_test.hpp>

#include <heathergate/log/log.h>
#include <heathergate/testing/fake_files.h>

using heathergate::Code;
using heathergate::Result;
using heathergate::log::WriteAheadLog;
using heathergate::testing::FakeFiles;

namespace {

using Log = WriteAheadLog<FakeFiles>;
using Payloads = std::vector<std::string>;

const auto kIgnoreRecords = [](std::uint64_t, std::string_view) { return Result<void>{}; };

auto openCollecting(FakeFiles &files, Payloads &found) -> Result<Log>
{
    return Log::open(files, [&found](std::uint64_t, std::string_view payload) {
        found.emplace_back(payload);
        return Result<void>{};
    });
}

auto storedPayloads(FakeFiles &files) -> Payloads
{
    Payloads found;
    BOOST_REQUIRE(openCollecting(files, found));
    return found;
}

auto writeThreeRecords(FakeFiles &files) -> void
{
    auto log = Log::open(files, kIgnoreRecords);
    for (const auto *payload : {"one", "two", "three"}) {
        log->append(payload);
        BOOST_REQUIRE(log->commit());
    }
}

auto currentSegment(FakeFiles &files) -> std::string
{
    return files.list()->at(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(WriteAheadLogTest)

BOOST_AUTO_TEST_SUITE(WhenTheProcessCrashes)

BOOST_AUTO_TEST_CASE(committedRecordsAreRecovered)
{
    FakeFiles files;
    writeThreeRecords(files);
    files.crash();
    BOOST_TEST(storedPayloads(files) == (Payloads{"one", "two", "three"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(manyRecordsBecomeDurableInOneSync)
{
    FakeFiles files;
    auto log = Log::open(files, kIgnoreRecords);
    for (int i = 0; i < 1000; ++i)
        log->append("record");
    BOOST_REQUIRE(log->commit());
    BOOST_TEST(files.syncs() == 1);
    files.crash();
    BOOST_TEST(storedPayloads(files).size() == 1000U);
}

BOOST_AUTO_TEST_CASE(aTailTornAtAnyByteIsTruncatedAndTheLogStaysWritable)
{
    const std::size_t recordBytes = heathergate::log::internal::kRecordHeaderBytes + 4;
    for (std::size_t kept = 0; kept < recordBytes; ++kept) {
        FakeFiles files;
        writeThreeRecords(files);
        auto log = Log::open(files, kIgnoreRecords);
        log->append("four");
        // Only a part of the write reaches the disk, and the process crashes before the sync.
        BOOST_REQUIRE(files.append(currentSegment(files), std::string(recordBytes, 'x')));
        files.crash(kept);
        BOOST_TEST_CONTEXT("kept bytes " << kept)
        {
            Payloads found;
            auto reopened = openCollecting(files, found);
            BOOST_REQUIRE(reopened);
            BOOST_TEST(found.size() == 3U);
            reopened->append("five");
            BOOST_REQUIRE(reopened->commit());
            files.crash();
            BOOST_TEST(storedPayloads(files).back() == "five");
        }
    }
}

BOOST_AUTO_TEST_CASE(aCompletedCompactionIsDurable)
{
    FakeFiles files;
    writeThreeRecords(files);
    auto log = Log::open(files, kIgnoreRecords);
    BOOST_REQUIRE(log->replaceAll({"summary"}));
    files.crash();
    BOOST_TEST(storedPayloads(files) == Payloads{"summary"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenBytesAreDamaged)

BOOST_AUTO_TEST_CASE(aDamagedRecordInTheMiddleIsNeverSkipped)
{
    FakeFiles clean;
    writeThreeRecords(clean);
    const auto length = clean.content(currentSegment(clean)).size();
    const auto lastRecord = length - heathergate::log::internal::kRecordHeaderBytes - 5;
    for (std::size_t at = 0; at < lastRecord; ++at) {
        FakeFiles files;
        writeThreeRecords(files);
        files.content(currentSegment(files))[at] ^= 0x10;
        auto log = Log::open(files, kIgnoreRecords);
        BOOST_TEST_CONTEXT("damaged byte " << at)
        {
            BOOST_REQUIRE(!log);
            BOOST_TEST((log.error().code == Code::DataDamaged));
        }
    }
}

BOOST_AUTO_TEST_CASE(aDamagedSnapshotIsDetected)
{
    FakeFiles files;
    BOOST_REQUIRE(heathergate::log::writeSnapshot(files, "snapshot", "the whole state"));
    BOOST_TEST(heathergate::log::readSnapshot(files, "snapshot")->value() == "the whole state");
    files.content("snapshot")[30] ^= 1;
    BOOST_TEST(
        (heathergate::log::readSnapshot(files, "snapshot").error().code == Code::DataDamaged));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheDiskIsFull)

BOOST_AUTO_TEST_CASE(theCommitFailsAndSucceedsOnceThereIsSpace)
{
    FakeFiles files;
    writeThreeRecords(files);
    auto log = Log::open(files, kIgnoreRecords);
    files.setFreeBytes(3);
    log->append("four");
    const auto refused = log->commit();
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().code == Code::DiskFull));
    files.setFreeBytes(std::nullopt);
    BOOST_REQUIRE(log->commit());
    files.crash();
    BOOST_TEST(storedPayloads(files).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenASyncFails)

BOOST_AUTO_TEST_CASE(aRetryNeverReportsTheRecordsAsDurable)
{
    for (const auto code : {Code::DiskFull, Code::DiskFailed}) {
        FakeFiles files;
        writeThreeRecords(files);
        auto log = Log::open(files, kIgnoreRecords);
        log->append("four");
        files.failNextSync(code);
        const auto failed = log->commit();
        BOOST_REQUIRE(!failed);
        // The code tells the writer not to retry.
        BOOST_TEST((failed.error().code == Code::DiskFailed));
        BOOST_TEST(!log->commit());
        files.crash();
        BOOST_TEST(storedPayloads(files).size() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(theFirstSegmentIsNotReportedAsDurableWithoutItsName)
{
    for (const auto code : {Code::DiskFull, Code::DiskFailed}) {
        FakeFiles files;
        auto log = Log::open(files, kIgnoreRecords);
        log->append("one");
        files.failNextFolderSync(code);
        BOOST_TEST((log->commit().error().code == Code::DiskFailed));
        BOOST_TEST(!log->commit());
    }
}

BOOST_AUTO_TEST_CASE(aSnapshotIsRewrittenFromTheStart)
{
    for (const auto code : {Code::DiskFull, Code::DiskFailed}) {
        FakeFiles files;
        files.failNextSync(code);
        BOOST_TEST(!heathergate::log::writeSnapshot(files, "snapshot", "state"));
        files.failNextRename(code);
        BOOST_TEST(!heathergate::log::writeSnapshot(files, "snapshot", "state"));
        files.failNextFolderSync(code);
        BOOST_TEST(!heathergate::log::writeSnapshot(files, "snapshot", "state"));
        BOOST_REQUIRE(heathergate::log::writeSnapshot(files, "snapshot", "state"));
        files.crash();
        BOOST_TEST(heathergate::log::readSnapshot(files, "snapshot")->value() == "state");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheProcessIsKilledBeforeASync)

BOOST_AUTO_TEST_CASE(recordsThatWereReadAtTheStartAreDurable)
{
    FakeFiles files;
    writeThreeRecords(files);
    std::string unsynced;
    heathergate::log::internal::appendRecord(unsynced, 4, "four");
    BOOST_REQUIRE(files.append(currentSegment(files), unsynced));
    Payloads found;
    BOOST_REQUIRE(openCollecting(files, found));
    BOOST_TEST(found.size() == 4U);
    // The restarted process has relied on what it read; now the machine loses power.
    files.crash();
    BOOST_TEST(storedPayloads(files).size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
