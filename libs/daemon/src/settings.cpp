#include <heathergate/daemon/settings.h>

#include <heathergate/settings/table_reader.h>

#include <fstream>
#include <set>
#include <sstream>

namespace heathergate::daemon {

namespace {

using settings::TableReader;

constexpr std::size_t kMinSecretLength = 16;
/// Hexadecimal digits of an HMAC-SHA-256.
constexpr std::size_t kKeyHashLength = 64;

/// Reads all tables of a file and reports the first error.
class SettingsReader
{
public:
    SettingsReader(const toml::table &root, std::string file)
        : m_root(root)
        , m_file(std::move(file))
    {
    }

    auto read() -> Result<Settings>
    {
        readInstance();
        readFleet();
        readStorage();
        readKeys();
        readCallers();
        readOpenRoutes();
        readUpstreams();
        readPrograms();
        checkTables();
        checkCombinations();
        if (!m_error.empty())
            return fail(Code::BadSetting, m_error);
        return m_settings;
    }

private:
    [[nodiscard]] auto table(const std::string &name) -> TableReader
    {
        m_tables.insert(name);
        const auto *node = m_root.get(name);
        if (node != nullptr && !node->is_table())
            keepFirstError(m_file + ": " + name + " must be a table");
        return {node == nullptr ? nullptr : node->as_table(), name, m_file};
    }

    auto keepFirstError(const std::string &error) -> void
    {
        if (m_error.empty())
            m_error = error;
    }

    auto readInstance() -> void
    {
        auto reader = table("instance");
        reader.readName("id", m_settings.id);
        reader.readName("failure_domain", m_settings.domain);
        reader.readEndpoint("caller_address", m_settings.caller);
        reader.readEndpoint("peer_address", m_settings.peer);
        std::string level = "info";
        reader.read<std::string>(
            "log_level", level, "debug, info, warning or error",
            [](const std::string &name) { return telemetry::parseLogLevel(name).has_value(); });
        m_settings.logLevel = telemetry::parseLogLevel(level).value_or(telemetry::LogLevel::Info);
        reader.require("id", !m_settings.id.empty());
        reader.require("failure_domain", !m_settings.domain.empty());
        reader.require("caller_address", m_settings.caller.port != 0);
        keepFirstError(reader.finish());
    }

    auto readFleet() -> void
    {
        auto reader = table("fleet");
        reader.readText("cluster", m_settings.cluster);
        reader.readNumber("shards", m_settings.shards, 1, 1024);
        reader.addKnown("secrets");
        reader.addKnown("disk_instances");
        readSecrets();
        readDiskInstances();
        keepFirstError(reader.finish());
    }

    auto readSecrets() -> void
    {
        const auto *list = m_root["fleet"]["secrets"].as_array();
        if (list == nullptr)
            return;
        for (const auto &node : *list) {
            const auto secret = node.value<std::string>();
            if (!secret || secret->size() < kMinSecretLength)
                keepFirstError(m_file + ":" + std::to_string(node.source().begin.line)
                               + ": [fleet] secrets must be texts of at least 16 characters");
            else
                m_settings.fleetSecrets.push_back(*secret);
        }
    }

    auto readDiskInstances() -> void
    {
        const auto *list = m_root["fleet"]["disk_instances"].as_array();
        if (list == nullptr)
            return;
        for (const auto &node : *list) {
            TableReader reader(node.as_table(), "fleet.disk_instances", m_file);
            DiskInstance disk;
            reader.readName("id", disk.id);
            reader.readEndpoint("peer_address", disk.peer);
            reader.require("id", !disk.id.empty());
            reader.require("peer_address", disk.peer.port != 0);
            keepFirstError(reader.finish());
            m_settings.diskInstances.push_back(disk);
        }
    }

    auto readStorage() -> void
    {
        auto reader = table("storage");
        reader.readText("folder", m_settings.dataFolder);
        keepFirstError(reader.finish());
    }

    auto readKeys() -> void
    {
        auto reader = table("keys");
        const auto isLongEnough = [](const std::string &text) {
            return text.size() >= kMinSecretLength;
        };
        const auto isKeyHash = [](const std::string &text) {
            return text.size() == kKeyHashLength;
        };
        reader.read<std::string>("hash_secret", m_settings.hashSecret,
                                 "text of at least 16 characters", isLongEnough);
        reader.read<std::string>("operator_key_hash", m_settings.operatorKeyHash,
                                 "64 hexadecimal digits, from 'heathergate key new'", isKeyHash);
        reader.read<std::string>("upstream_token", m_settings.upstreamToken,
                                 "text of at least 16 characters", isLongEnough);
        reader.require("hash_secret", !m_settings.hashSecret.empty());
        reader.require("operator_key_hash", !m_settings.operatorKeyHash.empty());
        reader.require("upstream_token", !m_settings.upstreamToken.empty());
        keepFirstError(reader.finish());
    }

    auto readCallers() -> void
    {
        auto reader = table("callers");
        reader.readTime<std::chrono::seconds>("directory_ttl_s", m_settings.directoryTtl, 1, 60);
        reader.readTime<std::chrono::seconds>("request_deadline_s", m_settings.requestDeadline, 1,
                                              3600);
        reader.readTime<std::chrono::seconds>("idle_timeout_s", m_settings.idleTimeout, 1, 3600);
        reader.readNumber("max_body_bytes", m_settings.maxBodyBytes, 1024, 64 << 20);
        reader.readNumber("max_header_bytes", m_settings.maxHeaderBytes, 4096, 1 << 20);
        reader.readNumber("max_connections", m_settings.maxConnections, 1, 1 << 20);
        reader.readNumber("max_connections_per_address", m_settings.maxConnectionsPerAddress, 1,
                          1 << 20);
        reader.readNumber("max_queued", m_settings.maxQueued, 1, 1'000'000);
        reader.readText("certificate_file", m_settings.certificateFile);
        reader.readText("private_key_file", m_settings.privateKeyFile);
        if (m_settings.certificateFile.empty() != m_settings.privateKeyFile.empty())
            keepFirstError(m_file
                           + ": [callers] certificate_file and private_key_file go together");
        keepFirstError(reader.finish());
    }

    auto readOpenRoutes() -> void
    {
        m_tables.insert("open_routes");
        const auto *list = m_root["open_routes"].as_array();
        if (list == nullptr)
            return;
        for (const auto &node : *list) {
            TableReader reader(node.as_table(), "open_routes", m_file);
            OpenRoute route;
            reader.read<std::string>(
                "path", route.path, "a path that starts with /open/",
                [](const std::string &path) { return path.starts_with("/open/"); });
            reader.readText("service", route.service);
            reader.require("path", !route.path.empty());
            reader.require("service", !route.service.empty());
            keepFirstError(reader.finish());
            m_settings.openRoutes.push_back(route);
        }
    }

    auto readUpstreams() -> void
    {
        auto reader = table("upstreams");
        reader.readTime<std::chrono::milliseconds>("first_byte_timeout_ms",
                                                   m_settings.firstByteTimeout, 10, 600'000);
        reader.readTime<std::chrono::milliseconds>("progress_timeout_ms",
                                                   m_settings.progressTimeout, 10, 600'000);
        keepFirstError(reader.finish());
    }

    auto readPrograms() -> void
    {
        auto reader = table("programs");
        reader.readNumber("max_turns", m_settings.maxTurns, 1, 100'000);
        reader.readTime<std::chrono::seconds>("lifetime_s", m_settings.programLifetime, 1,
                                              7 * 86'400);
        reader.readTime<std::chrono::seconds>("idle_s", m_settings.programIdle, 1, 7 * 86'400);
        keepFirstError(reader.finish());
    }

    auto checkTables() -> void
    {
        for (const auto &[key, node] : m_root) {
            if (!m_tables.contains(std::string(key.str())))
                keepFirstError(m_file + ":" + std::to_string(node.source().begin.line) + ": "
                               + std::string(key.str()) + " is not a known table");
        }
    }

    auto checkCombinations() -> void
    {
        const auto &disks = m_settings.diskInstances;
        if (disks.empty() && !m_settings.hasDisk())
            keepFirstError(m_file
                           + ": [storage] folder is missing; without [fleet] disk_instances the "
                             "instance is standalone and needs a disk");
        if (disks.empty())
            return;
        if (m_settings.fleetSecrets.empty())
            keepFirstError(m_file + ": [fleet] secrets is missing");
        if (m_settings.peer.port == 0)
            keepFirstError(m_file + ": [instance] peer_address is missing");
    }

    const toml::table &m_root;
    std::string m_file;
    std::set<std::string> m_tables;
    std::string m_error;
    Settings m_settings;
};

} // namespace

auto parseSettings(std::string_view text, const std::string &file) -> Result<Settings>
{
    try {
        const auto root = toml::parse(text, file);
        return SettingsReader(root, file).read();
    } catch (const toml::parse_error &error) {
        return fail(Code::BadSetting, file + ":" + std::to_string(error.source().begin.line) + ": "
                                          + std::string(error.description()));
    }
}

auto loadSettings(const std::string &file) -> Result<Settings>
{
    std::ifstream stream(file);
    if (!stream)
        return fail(Code::BadSetting, "cannot read " + file);
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace heathergate::daemon
