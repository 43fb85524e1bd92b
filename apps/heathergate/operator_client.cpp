#include "operator_client.h"
#include <heathergate/core/json_text.h>

#include <cstdlib>
#include <curl/curl.h>
#include <iostream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

constexpr long kTimeoutSeconds = 15;

auto collect(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

auto environment(const char *name) -> std::string
{
    const auto *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace

auto OperatorClient::addOptions(OptionParser &parser) -> void
{
    parser.add()("address", po::value<std::string>()->default_value(""),
                 "URL of an instance (default: $HEATHERGATE_ADDRESS, else http://127.0.0.1:8001)")(
        "edit-id", po::value<std::string>()->default_value(""),
        "Identifier of the edit; a resend under the same identifier is applied once")(
        "ca-file", po::value<std::string>()->default_value(""),
        "File of trusted CA certificates for https");
}

OperatorClient::OperatorClient(const po::variables_map &values)
    : m_address(values["address"].as<std::string>())
    , m_key(environment("HEATHERGATE_OPERATOR_KEY"))
    , m_editId(values["edit-id"].as<std::string>())
    , m_caFile(values["ca-file"].as<std::string>())
{
    if (m_address.empty())
        m_address = environment("HEATHERGATE_ADDRESS");
    if (m_address.empty())
        m_address = "http://127.0.0.1:8001";
}

auto OperatorClient::send(const std::string &method, const std::string &path,
                          const std::string &body, const std::string &accept,
                          const std::string &contentType) const -> Result<OperatorAnswer>
{
    if (m_key.empty())
        return fail(Code::MissingKey, "set HEATHERGATE_OPERATOR_KEY to an operator's key");
    auto *handle = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, ("Authorization: Bearer " + m_key).c_str());
    headers = curl_slist_append(headers, ("Content-Type: " + contentType).c_str());
    if (!accept.empty())
        headers = curl_slist_append(headers, ("Accept: " + accept).c_str());
    if (!m_editId.empty())
        headers = curl_slist_append(headers, ("X-Edit-Id: " + m_editId).c_str());
    OperatorAnswer answer;
    const auto url = m_address + path;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT, kTimeoutSeconds);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &collect);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    if (!m_caFile.empty())
        curl_easy_setopt(handle, CURLOPT_CAINFO, m_caFile.c_str());
    if (method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    const auto result = curl_easy_perform(handle);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(handle);
    if (result != CURLE_OK)
        return fail(Code::Timeout,
                    "no instance answers at " + m_address + ": " + curl_easy_strerror(result));
    answer.status = static_cast<int>(status);
    return answer;
}

auto OperatorClient::sendAndPrint(const std::string &method, const std::string &path,
                                  const std::string &body, const std::string &accept) const -> int
{
    const auto answer = send(method, path, body, accept);
    if (!answer)
        return report(answer.error().detail);
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    auto &out = answer->status < 400 ? std::cout : std::cerr;
    if (json.is_discarded())
        out << answer->body;
    else
        out << jsonText(json, 2) << '\n';
    return answer->status < 400 ? 0 : 1;
}

} // namespace heathergate::app
