#include <endivestage/daemon/remote.hpp>

#include <endivestage/daemon/caller_error.hpp>
#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/json_access.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr millis call_timeout{10000};

std::string read_token(const remote_options& remote)
{
    std::string token;
    if (!remote.token_file.empty())
    {
        std::ifstream file(remote.token_file);
        std::getline(file, token);
        return token;
    }
    const char* value = std::getenv("ENDIVESTAGE_TOKEN");
    return value != nullptr ? value : "";
}

std::string missing_token_reason(const remote_options& remote)
{
    return remote.token_file.empty()
               ? "no operator token: give --token-file or ENDIVESTAGE_TOKEN"
               : "no operator token in the first line of " + remote.token_file;
}

} // namespace

result<http_response> call_router(const remote_options& remote, std::string method,
                                  std::string target, std::string body)
{
    network_address address;
    const std::string token = read_token(remote);
    if (!parse_network_address(remote.router, address) || token.empty())
    {
        std::cerr << "error=invalid_settings reason=\""
                  << (token.empty() ? missing_token_reason(remote) : "--router must be IP:PORT")
                  << "\"\n";
        return make_error_code(errc::invalid_settings);
    }
    http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.fields.emplace_back("Authorization", "Bearer " + token);
    asio::io_context io(1);
    result<http_response> answer = make_error_code(errc::peer_unavailable);
    asio::co_spawn(
        io,
        [&]() -> awaitable<void>
        { answer = co_await http_call(address, std::move(request), call_timeout); },
        asio::detached);
    io.run();
    return answer;
}

int report_failure(const result<http_response>& response)
{
    if (!response)
    {
        if (response.error() == errc::invalid_settings)
        {
            return exit_usage;
        }
        const bool sent = response.error() == errc::outcome_unknown;
        std::cerr << "error=" << (sent ? "outcome_unknown" : "peer_unavailable")
                  << " reason=\"the router did not answer\"\n";
        return sent ? exit_outcome_unknown : exit_unreachable;
    }
    const result<json::object> body = parse_json_object(response->body);
    const json::object none;
    const json::object& error = get_object(body ? *body : none, "error");
    const std::string code = get_text(error, "code");
    std::cerr << "error=" << (code.empty() ? "internal" : code)
              << " execution=" << get_text(error, "execution");
    if (const std::string reason = get_text(error, "reason"); !reason.empty())
    {
        std::cerr << " reason=\"" << reason << "\"";
    }
    std::cerr << "\n";
    for (const json::value& fault : get_array(body ? *body : none, "faults"))
    {
        const json::object& entry = fault.as_object();
        std::cerr << get_text(entry, "file") << ": " << get_text(entry, "key") << ": "
                  << get_text(entry, "kind") << ": " << get_text(entry, "reason") << "\n";
    }
    switch (errc_from_name(code))
    {
    case errc::conflict:
        return exit_conflict;
    case errc::outcome_unknown:
        return exit_outcome_unknown;
    case errc::invalid_configuration:
        return exit_settings;
    default:
        return exit_failure;
    }
}

} // namespace endivestage::daemon
