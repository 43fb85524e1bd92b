#pragma once

#include "caller.h"

#include <heathergate/fleet/configuration.h>

namespace heathergate::soak {

/// The operator: sends configurations, again and to another control instance until each is
/// acknowledged, and reads them back all the while.
class Operator
{
public:
    Operator(net::EventLoop &loop, std::vector<Endpoint> controls, Observations &observations,
             Random random);

    /// Sends the first configuration, and begins to read.
    auto start(fleet::Configuration configuration) -> void;
    /// Sends a changed configuration: a new route, a route less, or other weights of none.
    auto changeRoutes() -> void;
    /// Gives a customer another key and withdraws the present one.
    auto changeKey() -> void;
    /// Sends something that is not valid; it must be refused.
    auto sendInvalid() -> void;
    /// Share of acknowledgements that get lost on their way.
    auto setAnswerLossShare(double share) -> void
    {
        m_answerLossShare = share;
    }

    /// Returns an account of a random customer. Its key is the newest acknowledged one, or now and
    /// then one that was withdrawn.
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
        /// Key that ceases with this configuration.
        std::string withdrawnKey;
        std::string customer;
        std::string newKey;
    };
    struct Call
    {
        /// Number of its order; 0 for a read.
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
    /// The version that gave each customer its present key.
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
