#include <heathergate/node/control_program.h>

namespace heathergate::node {

namespace {

constexpr const char *kIdentityName = "identity";
constexpr std::size_t kDiskIdBytes = 6;

auto isSeed(const NodeSettings &settings) -> bool
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(),
                       [&](const Endpoint &seed) { return seed.host == settings.host; });
}

} // namespace

auto openIdentity(log::PosixFiles &files, const NodeSettings &settings) -> Result<DiskIdentity>
{
    const auto stored = log::readSnapshot(files, kIdentityName);
    if (!stored)
        return tl::unexpected(stored.error());
    if (*stored)
        return decode<DiskIdentity>(**stored);
    DiskIdentity identity;
    if (settings.bootstrap && isSeed(settings)) {
        identity.replica = consensus::ReplicaId(settings.host);
        for (const auto &seed : settings.seeds)
            identity.genesis.voters.emplace_back(seed.host);
    } else {
        identity.replica =
            consensus::ReplicaId(settings.host + "~" + toHex(secureRandom(kDiskIdBytes)));
    }
    if (auto written = log::writeSnapshot(files, kIdentityName, encode(identity)); !written)
        return tl::unexpected(written.error());
    return identity;
}

} // namespace heathergate::node
