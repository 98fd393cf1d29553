#include <endivestage/daemon/commands.hpp>
#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/remote.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr millis call_timeout{2000};

void print_rollout(const json::object& shown)
{
    std::cout << "service=" << get_text(shown, "service") << " to=" << get_text(shown, "to")
              << " state=" << get_text(shown, "state") << " phase=" << get_text(shown, "phase")
              << " share=" << get_real(shown, "share") << " reason=" << get_text(shown, "reason");
    if (shown.contains("requests"))
    {
        std::cout << " requests=" << get_unsigned(shown, "requests")
                  << " new_requests=" << get_unsigned(shown, "new_requests");
    }
    std::cout << "\n";
}

} // namespace

int run_rollouts(const std::string& router, bool as_json)
{
    network_address address;
    if (!parse_network_address(router, address))
    {
        std::cerr << "error=invalid_settings reason=\"--router must be IP:PORT\"\n";
        return exit_usage;
    }
    asio::io_context io(1);
    result<http_response> answer = make_error_code(errc::peer_unavailable);
    http_request request;
    request.target = "/v1/rollouts";
    asio::co_spawn(
        io,
        [&]() -> awaitable<void>
        { answer = co_await http_call(address, std::move(request), call_timeout); },
        asio::detached);
    io.run();
    const result<json::object> body =
        answer ? parse_json_object(answer->body) : result<json::object>(answer.error());
    if (!answer || answer->status != 200 || !body)
    {
        return report_failure(answer);
    }
    if (as_json)
    {
        std::cout << answer->body;
        return exit_success;
    }
    for (const json::value& entry : get_array(*body, "rollouts"))
    {
        if (entry.is_object())
        {
            print_rollout(entry.get_object());
        }
    }
    return exit_success;
}

} // namespace endivestage::daemon
