#include <heathergate/fleet/history_set.h>

#include <heathergate/fleet/control_node.h>

namespace heathergate::fleet {

auto toTable(const history::ReplicaSet &set) -> std::unique_ptr<fb::HistoryReplicasT>
{
    auto table = std::make_unique<fb::HistoryReplicasT>();
    table->version = set.version;
    table->copies = static_cast<int>(set.copies);
    for (const auto &member : set.members) {
        auto item = std::make_unique<fb::HistoryMemberT>();
        item->replica = member.id.value;
        item->domain = member.domain.value;
        item->writable = member.isWritable;
        table->members.push_back(std::move(item));
    }
    return table;
}

auto replicaSetOf(const fb::HistoryReplicasT &table) -> history::ReplicaSet
{
    history::ReplicaSet set;
    set.version = table.version;
    set.copies = static_cast<std::size_t>(std::max(table.copies, 1));
    for (const auto &item : table.members)
        set.members.push_back({history::ReplicaId(item->replica),
                               instanceOf(consensus::ReplicaId(item->replica)),
                               FailureDomainId(item->domain), item->writable});
    return set;
}

} // namespace heathergate::fleet
