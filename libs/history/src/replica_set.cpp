#include <heathergate/history/replica_set.h>

#include <algorithm>

namespace heathergate::history {

auto ReplicaSet::find(const ReplicaId &id) const -> const ReplicaMember *
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const auto &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

auto ReplicaSet::provesAbsence(std::size_t absent) const -> bool
{
    return !members.empty() && members.size() < absent + copies;
}

auto ReplicaSet::sourcesForCompleteness() const -> std::size_t
{
    return members.size() > copies ? members.size() - copies : 0;
}

auto ReplicaSet::digest() const -> std::uint64_t
{
    std::vector<std::string> texts;
    for (const auto &member : members)
        texts.push_back((member.isWritable ? "w" : "r") + member.id.value);
    std::sort(texts.begin(), texts.end());
    std::uint64_t digest = copies;
    for (const auto &text : texts)
        digest = hash64(text, digest);
    return digest;
}

} // namespace heathergate::history
