#include <heathergate/daemon/data_folder.h>

namespace heathergate::daemon {

namespace {

constexpr const char *kIdentityName = "identity";
constexpr std::size_t kDiskIdBytes = 6;

auto store(log::PosixFiles &files, const DiskIdentity &identity) -> Result<DiskIdentity>
{
    if (auto written = log::writeSnapshot(files, kIdentityName, encode(identity)); !written)
        return tl::unexpected(written.error());
    return identity;
}

} // namespace

auto initializeFolder(log::PosixFiles &files, const Settings &settings) -> Result<DiskIdentity>
{
    const auto names = files.list();
    if (!names)
        return tl::unexpected(names.error());
    if (!names->empty())
        return fail(Code::AlreadyExists, settings.dataFolder + " is not empty");
    return store(files, {settings.cluster, consensus::ReplicaId(settings.id.value), true});
}

auto openIdentity(log::PosixFiles &files, const Settings &settings) -> Result<DiskIdentity>
{
    const auto stored = log::readSnapshot(files, kIdentityName);
    if (!stored)
        return tl::unexpected(stored.error());
    if (*stored) {
        auto identity = decode<DiskIdentity>(**stored);
        if (identity && identity->cluster != settings.cluster)
            return fail(Code::BadSetting,
                        settings.dataFolder + " belongs to fleet " + identity->cluster);
        return identity;
    }
    if (settings.diskInstances.size() <= 1)
        return initializeFolder(files, settings);
    const consensus::ReplicaId replica(settings.id.value + "~" + toHex(secureRandom(kDiskIdBytes)));
    return store(files, {settings.cluster, replica, false});
}

auto genesisConfiguration(const Settings &settings) -> consensus::Configuration
{
    consensus::Configuration configuration;
    for (const auto &disk : settings.diskInstances)
        configuration.voters.emplace_back(disk.id.value);
    if (configuration.voters.empty())
        configuration.voters.emplace_back(settings.id.value);
    return configuration;
}

} // namespace heathergate::daemon
