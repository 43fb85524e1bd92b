#pragma once

#include "caller.h"

#include <heathergate/fleet/configuration.h>

namespace heathergate::soak {

/// A simulated operator. It sends configurations, retries each at a random control instance until
/// it is acknowledged or refused, and reads the configuration back periodically.
class Operator
{
public:
    Operator(net::EventLoop &loop, std::vector<Endpoint> controls, Observations &observations,
             Random random);

    /// Sends the first configuration and starts the periodic reads.
    auto start(fleet::Configuration configuration) -> void;
    /// Sends a configuration with an additional route, or with one route less.
    auto changeRoutes() -> void;
    /// Gives a random customer a new key and withdraws its current key.
    auto changeKey() -> void;
    /// Sends an invalid configuration, which must be refused.
    auto sendInvalid() -> void;
    /// Sets the share of answers to updates that are treated as lost, from 0 to 1.
    auto setAnswerLossShare(double share) -> void
    {
        m_answerLossShare = share;
    }

    /// Returns an account of a random customer. Its key is the newest acknowledged one, or a
    /// withdrawn one in 10 % of the calls.
    [[nodiscard]] auto account() -> CustomerAccount;
    [[nodiscard]] auto lastReadVersion() const -> std::uint64_t
    {
        return m_lastRead;
    }
    [[nodiscard]] auto pendingUpdates() const -> std::size_t
    {
        return m_updates.size();
    }

private:
    struct ConfigurationUpdate
    {
        std::uint64_t version = 0;
        std::string document;
        bool isValid = true;
        /// Key that this configuration withdraws.
        std::string withdrawnKey;
        std::string customer;
        std::string newKey;
    };
    struct Call
    {
        /// Number of the update; 0 for a read.
        std::uint64_t update = 0;
        TimePoint sentAt{};
        int redirects = 0;
        int status = 0;
        std::string body;
        std::optional<Endpoint> redirect;
    };

    auto submitUpdate(ConfigurationUpdate update) -> void;
    auto sendUpdate(std::uint64_t update, const Endpoint &to, int redirects) -> void;
    auto resend(std::uint64_t update) -> void;
    auto read() -> void;
    auto sendRead(const Endpoint &to, TimePoint sentAt, int redirects) -> void;
    auto send(const net::OutgoingRequest &request, Call call) -> void;
    auto ended(net::OutgoingId id, bool complete) -> void;
    auto updateAnswered(const Call &call, bool complete) -> void;
    [[nodiscard]] auto randomControl() -> const Endpoint &;

    net::EventLoop &m_loop;
    std::vector<Endpoint> m_controls;
    Observations &m_observations;
    Random m_random;
    net::HttpClient m_client;
    fleet::Configuration m_configuration;
    std::map<std::string, std::string> m_keys;
    /// The version that added the current key of each customer.
    std::map<std::string, std::uint64_t> m_keyVersions;
    std::vector<CustomerAccount> m_withdrawn;
    std::map<std::uint64_t, ConfigurationUpdate> m_updates;
    std::map<net::OutgoingId, Call> m_calls;
    net::OutgoingId m_lastCall = 0;
    std::uint64_t m_lastUpdate = 0;
    std::uint64_t m_lastRoute = 0;
    std::uint64_t m_lastKey = 0;
    std::uint64_t m_lastRead = 0;
    double m_answerLossShare = 0;
};

} // namespace heathergate::soak
