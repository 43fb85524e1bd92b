#include <heathergate/node/node_settings.h>

#include <heathergate/settings/table_reader.h>

#include <fstream>

namespace heathergate::node {

namespace {

using settings::TableReader;

constexpr std::size_t kMinSecretLength = 16;
/// Maximum value of the settings of [limits], which are in seconds.
constexpr std::int64_t kMaxSeconds = 3600;

/// Reads all tables of a settings file and records the first error.
class NodeSettingsReader
{
public:
    NodeSettingsReader(const toml::table &root, std::string file)
        : m_root(root)
        , m_file(std::move(file))
    {
    }

    auto read() -> Result<NodeSettings>
    {
        readInstance();
        readListen();
        readFleet();
        readStorage();
        readPlacement();
        readLimits();
        checkRoleRequirements();
        for (const auto &[key, node] : m_root) {
            if (!m_tables.contains(std::string(key.str())))
                recordError(m_file + ": [" + std::string(key.str()) + "] is not a known table");
        }
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
            recordError(m_file + ": " + name + " must be a table");
        return {node == nullptr ? nullptr : node->as_table(), name, m_file};
    }

    auto recordError(const std::string &error) -> void
    {
        if (m_error.empty())
            m_error = error;
    }

    auto readInstance() -> void
    {
        auto reader = table("instance");
        reader.readText("name", m_settings.name);
        reader.readText("host", m_settings.host);
        reader.readName("failure_domain", m_settings.domain);
        std::string role = "gateway";
        reader.read<std::string>(
            "role", role, "gateway, control or storage", [](const std::string &text) {
                return text == "gateway" || text == "control" || text == "storage";
            });
        m_settings.role = role == "gateway"   ? fleet::Role::Gateway
                          : role == "control" ? fleet::Role::Control
                                              : fleet::Role::Storage;
        reader.require("name", !m_settings.name.empty());
        reader.require("host", !m_settings.host.empty());
        reader.require("failure_domain", !m_settings.domain.empty());
        recordError(reader.finish());
    }

    auto readOptionalEndpoint(TableReader &reader, const std::string &key,
                              std::optional<Endpoint> &target) -> void
    {
        Endpoint endpoint;
        reader.readEndpoint(key, endpoint);
        if (endpoint.port != 0)
            target = endpoint;
    }

    auto readListen() -> void
    {
        auto reader = table("listen");
        readOptionalEndpoint(reader, "callers", m_settings.callers);
        readOptionalEndpoint(reader, "readiness", m_settings.readiness);
        readOptionalEndpoint(reader, "control", m_settings.control);
        readOptionalEndpoint(reader, "directory", m_settings.directory);
        constexpr std::int64_t kMaxPort = 65535;
        reader.readNumber("peer_port", m_settings.peerPort, 1, kMaxPort);
        m_settings.peerDialPort = m_settings.peerPort;
        reader.readNumber("peer_dial_port", m_settings.peerDialPort, 1, kMaxPort);
        reader.readNumber("metrics_port", m_settings.metricsPort, 0, kMaxPort);
        reader.require("peer_port", m_settings.peerPort != 0);
        recordError(reader.finish());
    }

    auto readFleet() -> void
    {
        auto reader = table("fleet");
        reader.readText("cluster", m_settings.cluster);
        std::string secret;
        reader.read<std::string>(
            "secret", secret, "text of at least 16 characters",
            [](const std::string &text) { return text.size() >= kMinSecretLength; });
        if (!secret.empty())
            m_settings.secrets.push_back(secret);
        reader.read<bool>("bootstrap", m_settings.bootstrap, "true or false",
                          [](bool) { return true; });
        reader.readNumber("fault_tolerance", m_settings.faultTolerance, 0, 10);
        readSeeds(reader);
        reader.require("secret", !m_settings.secrets.empty());
        reader.require("seeds", !m_settings.seeds.empty());
        recordError(reader.finish());
    }

    auto readSeeds(TableReader &reader) -> void
    {
        reader.addKnown("seeds");
        const auto *fleetTable = m_root.get("fleet");
        const auto *list = fleetTable == nullptr || !fleetTable->is_table()
                               ? nullptr
                               : fleetTable->as_table()->get_as<toml::array>("seeds");
        if (list == nullptr)
            return;
        for (const auto &item : *list) {
            const auto text = item.value<std::string>();
            const auto endpoint = text ? parseEndpoint(*text) : fail(Code::BadSetting, "");
            if (!endpoint)
                return recordError(m_file + ": [fleet] seeds must hold IPv4-address:port entries");
            m_settings.seeds.push_back(*endpoint);
        }
    }

    auto readStorage() -> void
    {
        auto reader = table("storage");
        reader.read<std::string>("folder", m_settings.folder, "text",
                                 [](const std::string &) { return true; });
        recordError(reader.finish());
    }

    auto readPlacement() -> void
    {
        constexpr std::int64_t kMaxConnectionCostMs = 1000;
        auto reader = table("placement");
        auto &placement = m_settings.placement;
        const auto isAny = [](bool) { return true; };
        reader.read<bool>("measured_pace", placement.measuredPace, "true or false", isAny);
        reader.readTime<std::chrono::milliseconds>("connection_cost_ms", placement.connectionCost,
                                                   0, kMaxConnectionCostMs);
        recordError(reader.finish());
    }

    auto readLimits() -> void
    {
        using std::chrono::milliseconds;
        auto reader = table("limits");
        constexpr std::int64_t kMinMemoryMb = 64;
        constexpr std::int64_t kMaxMemoryMb = 1024 * 1024;
        reader.readNumber("memory_mb", m_settings.memoryMb, kMinMemoryMb, kMaxMemoryMb);
        readSeconds(reader, "quota_window_s", m_settings.quotaWindow);
        readSeconds(reader, "grace_s", m_settings.shutdownGracePeriod);
        readSeconds(reader, "directory_ttl_limit_s", m_settings.directoryTtlLimit);
        recordError(reader.finish());
    }

    auto readSeconds(TableReader &reader, const std::string &key, Duration &target) -> void
    {
        auto seconds = std::chrono::duration<double>(target).count();
        reader.read<double>(key, seconds, "seconds above 0", [](double value) {
            return value > 0 && value <= static_cast<double>(kMaxSeconds);
        });
        target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    auto checkRoleRequirements() -> void
    {
        if (m_settings.role == fleet::Role::Control && m_settings.folder.empty())
            recordError(m_file + ": a control instance needs [storage] folder");
        if (m_settings.role == fleet::Role::Control && !m_settings.control)
            recordError(m_file + ": a control instance needs [listen] control");
        if (m_settings.role == fleet::Role::Gateway && !m_settings.callers)
            recordError(m_file + ": a gateway needs [listen] callers");
    }

    const toml::table &m_root;
    std::string m_file;
    std::set<std::string> m_tables;
    std::string m_error;
    NodeSettings m_settings;
};

} // namespace

auto parseNodeSettings(std::string_view text, const std::string &file) -> Result<NodeSettings>
{
    try {
        const auto root = toml::parse(text, file);
        return NodeSettingsReader(root, file).read();
    } catch (const toml::parse_error &error) {
        return fail(Code::BadSetting, file + ":" + std::to_string(error.source().begin.line) + ": "
                                          + std::string(error.description()));
    }
}

auto loadNodeSettings(const std::string &file) -> Result<NodeSettings>
{
    std::ifstream stream(file);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream)
        return fail(Code::BadSetting, "cannot read " + file);
    return parseNodeSettings(content.str(), file);
}

} // namespace heathergate::node
