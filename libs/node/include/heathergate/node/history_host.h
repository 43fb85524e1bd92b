#pragma once

#include <heathergate/fleet/fleet.h>
#include <heathergate/history/history.h>
#include <heathergate/node/process.h>

namespace heathergate::node {

/// The history replica of a control instance with its disk thread. Its files are in a folder of
/// their own below the data folder.
class HistoryHost
{
public:
    HistoryHost(Process &process, telemetry::Metrics &metrics);

    /// Recovers the stored turns. `isFounder` states that the replica formed the fleet. Fails with
    /// the error of a file operation.
    [[nodiscard]] auto open(const consensus::ReplicaId &replica, bool isFounder) -> Result<void>;
    auto receive(const InstanceId &from, history::Message message) -> void;
    /// Carries out what is due. Returns the latest time of the next call.
    auto round(TimePoint now, const history::ReplicaSet &replicas) -> TimePoint;
    [[nodiscard]] auto progress() const -> fleet::HistoryProgress;

private:
    auto failed(const std::string &detail) -> void;

    Process &m_process;
    telemetry::Metrics &m_metrics;
    std::unique_ptr<log::PosixFiles> m_files;
    std::unique_ptr<history::HistoryReplica> m_replica;
    /// Declared last so that it is destroyed first, because its thread posts to the loop.
    std::unique_ptr<history::TurnDisk> m_disk;
};

} // namespace heathergate::node
