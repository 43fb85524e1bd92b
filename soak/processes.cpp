#include "processes.h"

#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace heathergate::soak {

namespace {

constexpr int kDomainCount = 3;
/// Maximum number of control instances that the settings name as seeds.
constexpr int kSeedCount = 3;

} // namespace

Processes::Processes(FleetShape shape, Network network)
    : m_shape(std::move(shape))
    , m_network(network)
{
    std::vector<int> seeds;
    for (int i = 0; i < std::min(kSeedCount, m_shape.controls); ++i)
        seeds.push_back(i);
    for (int i = 0; i < m_shape.controls; ++i)
        m_instances["control-" + std::to_string(i)] = {
            InstanceRole::Control, i, 0, false, false, seeds};
    for (int i = 0; i < m_shape.gateways; ++i)
        m_instances["gateway-" + std::to_string(i)] = {
            InstanceRole::Gateway, i, 0, false, false, seeds};
}

Processes::~Processes()
{
    for (const auto &[name, instance] : m_instances) {
        if (instance.process == 0)
            continue;
        ::kill(instance.process, SIGCONT);
        ::kill(instance.process, SIGKILL);
        ::waitpid(instance.process, nullptr, 0);
    }
}

auto Processes::fileOf(const std::string &name, const char *extension) const
    -> std::filesystem::path
{
    return m_shape.folder / (name + extension);
}

auto Processes::hostOf(const std::string &instance) const -> std::string
{
    const auto &found = m_instances.at(instance);
    return found.role == InstanceRole::Control ? m_network.control(found.number)
                                               : m_network.gateway(found.number);
}

auto Processes::domainOf(const std::string &instance) const -> std::string
{
    return std::string(1, static_cast<char>('a' + m_instances.at(instance).number % kDomainCount));
}

auto Processes::writeSettings(const std::string &name, const Instance &instance) const -> void
{
    const auto host = hostOf(name);
    const auto isControl = instance.role == InstanceRole::Control;
    const auto address = [&](std::uint16_t port) {
        return '"' + Endpoint{host, port}.text() + '"';
    };
    // The file is replaced by a rename, so that no process reads a partial file.
    const auto draft = fileOf(name, ".toml.new");
    std::ofstream out(draft);
    out << "[instance]\nname = \"" << name << "\"\nrole = \"" << (isControl ? "control" : "gateway")
        << "\"\nhost = \"" << host << "\"\nfailure_domain = \"" << domainOf(name)
        << "\"\n[listen]\n";
    if (isControl)
        out << "control = " << address(Network::kControlPort)
            << "\ndirectory = " << address(Network::kDirectoryPort) << "\n";
    else
        out << "callers = " << address(Network::kCallerPort)
            << "\nreadiness = " << address(Network::kReadinessPort) << "\n";
    out << "peer_port = " << Network::kPeerPort << "\npeer_dial_port = " << Network::kPeerProxyPort
        << "\n[fleet]\nsecret = \"a secret for one soak run\"\nseeds = [";
    for (std::size_t i = 0; i < instance.seeds.size(); ++i)
        out << (i == 0 ? "" : ", ") << '"'
            << Endpoint{m_network.control(instance.seeds[i]), Network::kControlPort}.text() << '"';
    out << "]\nbootstrap = " << (instance.wasStarted ? "false" : "true")
        << "\nfault_tolerance = " << m_shape.faultTolerance << "\n";
    if (isControl)
        out << "[storage]\nfolder = " << fileOf(name, ".data") << "\n";
    out << "[limits]\nquota_window_s = 5.0\n"
           "grace_s = 8.0\ndirectory_ttl_limit_s = 3.0\n";
    out.close();
    std::filesystem::rename(draft, fileOf(name, ".toml"));
}

auto Processes::startAll() -> void
{
    for (const auto &[name, instance] : m_instances)
        start(name);
}

auto Processes::start(const std::string &name) -> void
{
    auto &instance = m_instances.at(name);
    collectExit(name, instance);
    if (instance.process != 0)
        return;
    writeSettings(name, instance);
    if (instance.role == InstanceRole::Control)
        std::filesystem::create_directories(fileOf(name, ".data"));
    instance.wasStarted = true;
    instance.mayExit = false;
    const auto log = fileOf(name, ".log").string();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t kLogMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A process that inherited the soak's sockets would keep their addresses in use.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    auto binary = m_shape.binary.string();
    auto settings = fileOf(name, ".toml").string();
    std::string verb = "join";
    char *arguments[] = {binary.data(), verb.data(), settings.data(), nullptr};
    if (::posix_spawn(&instance.process, binary.c_str(), &actions, nullptr, arguments, environ)
        != 0)
        throw std::runtime_error("cannot start " + binary);
    posix_spawn_file_actions_destroy(&actions);
}

auto Processes::signal(const std::string &name, int number) -> void
{
    auto &instance = m_instances.at(name);
    if (instance.process == 0)
        return;
    if (number == SIGTERM || number == SIGKILL)
        instance.mayExit = true;
    ::kill(instance.process, number);
}

auto Processes::wipe(const std::string &name) -> void
{
    std::filesystem::remove_all(fileOf(name, ".data"));
}

auto Processes::setFolderDetached(const std::string &name, bool detached) -> void
{
    const auto folder = fileOf(name, ".data");
    const auto detachedFolder = fileOf(name, ".away");
    std::error_code failure;
    // A process that cannot write may exit; it is restarted as after a kill.
    if (detached)
        m_instances.at(name).mayExit = true;
    std::filesystem::rename(detached ? folder : detachedFolder, detached ? detachedFolder : folder,
                            failure);
}

auto Processes::setSeeds(const std::string &name, const std::vector<int> &controls) -> void
{
    auto &instance = m_instances.at(name);
    instance.seeds = controls;
    writeSettings(name, instance);
}

auto Processes::collectExit(const std::string &name, Instance &instance) -> void
{
    int status = 0;
    if (instance.process == 0 || ::waitpid(instance.process, &status, WNOHANG) <= 0)
        return;
    instance.process = 0;
    if (!instance.mayExit)
        m_unexpectedExits.push_back({name, WIFSIGNALED(status)
                                               ? "signal " + std::to_string(WTERMSIG(status))
                                               : "status " + std::to_string(WEXITSTATUS(status))});
}

auto Processes::reap() -> std::vector<UnexpectedExit>
{
    for (auto &[name, instance] : m_instances)
        collectExit(name, instance);
    return std::exchange(m_unexpectedExits, {});
}

auto Processes::isRunning(const std::string &name) const -> bool
{
    return m_instances.at(name).process != 0;
}

auto Processes::instances(InstanceRole role) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, instance] : m_instances) {
        if (instance.role == role)
            names.push_back(name);
    }
    return names;
}

auto Processes::residentBytes() const -> std::size_t
{
    std::size_t pages = 0;
    for (const auto &[name, instance] : m_instances) {
        if (instance.process == 0)
            continue;
        std::ifstream file("/proc/" + std::to_string(instance.process) + "/statm");
        std::size_t all = 0;
        std::size_t resident = 0;
        file >> all >> resident;
        pages += resident;
    }
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace heathergate::soak
