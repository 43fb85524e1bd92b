#include <boost/test/unit_test.hpp>

#include <heathergate/daemon/settings.h>

#include <rapidcheck/boost_test.h>

using namespace heathergate;
using namespace heathergate::daemon;

namespace {

const std::string kValid = R"([instance]
id = "adum-1"
failure_domain = "adum"
caller_address = "127.0.0.1:8001"
[storage]
folder = "data"
[keys]
hash_secret = "0123456789abcdef"
operator_key_hash = "0000000000000000000000000000000000000000000000000000000000000000"
upstream_token = "0123456789abcdef"
)";

auto errorOf(const std::string &text) -> std::string
{
    const auto settings = parseSettings(text, "f.toml");
    return settings ? std::string("none") : settings.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(acceptsAStandaloneInstanceWithoutFleetSettings)
{
    const auto settings = parseSettings(kValid, "f.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->caller.port == 8001);
    BOOST_TEST(settings->shards == 4U);
}

BOOST_AUTO_TEST_CASE(reportsFileLineKeyValueAndAllowedValues)
{
    BOOST_TEST(errorOf(kValid + "[fleet]\nshards = 0\n")
               == "f.toml:12: [fleet] shards = 0 must be a whole number from 1 to 1024");
    BOOST_TEST(errorOf(kValid + "[callers]\nmax_body = 7\n")
               == "f.toml:12: [callers] max_body is not a known key");
    BOOST_TEST(errorOf(kValid + "[caller]\n") == "f.toml:11: caller is not a known table");
    BOOST_TEST(errorOf("[instance]\nid = \"a b\"\n")
               == "f.toml:2: [instance] id = 'a b' must be letters, digits, '-' and '_', at "
                  "most 64");
    BOOST_TEST(errorOf("x = [").starts_with("f.toml:1: "));
    BOOST_TEST(errorOf("[instance]\nid = \"a\"\n")
               == "f.toml: [instance] failure_domain is missing");
}

BOOST_AUTO_TEST_CASE(requiresSecretsForAFleet)
{
    const auto fleet = kValid
                       + "[[fleet.disk_instances]]\nid = \"adum-1\"\n"
                         "peer_address = \"127.0.0.1:9001\"\n";
    BOOST_TEST(errorOf(fleet) == "f.toml: [fleet] secrets is missing");
}

RC_BOOST_PROP(refusesRandomTextAndParsesItSafelyAfterValidSettings, (const std::string &text))
{
    RC_ASSERT(!parseSettings(text, "f.toml").has_value());
    static_cast<void>(parseSettings(kValid + text, "f.toml"));
}

BOOST_AUTO_TEST_SUITE_END()
