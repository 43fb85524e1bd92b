#pragma once

#include "options.h"

#include <heathergate/core/core.h>

namespace heathergate::app {

/// An instance's answer to an operator request.
struct OperatorAnswer
{
    int status = 0;
    std::string body;
};

/// Sends an operator's requests to an instance and prints the answers.
class OperatorClient
{
public:
    /// Adds the options of all operator commands: address, edit identifier and CA file.
    static auto addOptions(OptionParser &parser) -> void;

    explicit OperatorClient(const boost::program_options::variables_map &values);

    /// Sends a request. Fails with `Code::MissingKey` without an operator key in the environment,
    /// and with `Code::Timeout` if the instance does not answer.
    [[nodiscard]] auto send(const std::string &method, const std::string &path,
                            const std::string &body = {}, const std::string &accept = {},
                            const std::string &contentType = "application/json") const
        -> Result<OperatorAnswer>;

    /// Sends a request and prints the answer. Returns the exit status.
    [[nodiscard]] auto sendAndPrint(const std::string &method, const std::string &path,
                                    const std::string &body = {},
                                    const std::string &accept = {}) const -> int;

private:
    std::string m_address;
    std::string m_key;
    std::string m_editId;
    std::string m_caFile;
};

} // namespace heathergate::app
