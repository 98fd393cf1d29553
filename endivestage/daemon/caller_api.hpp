/// \file
/// \brief HTTP interface for callers.
#pragma once

#include <endivestage/daemon/chat_service.hpp>
#include <endivestage/daemon/cluster_service.hpp>
#include <endivestage/daemon/configuration_service.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/service_caller.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace endivestage::daemon
{

/// \brief Checks callers' requests and passes them to the services. See docs/callers.md.
class caller_api
{
public:
    /// \param serving Whether this router accepts new requests.
    caller_api(node_context& node, configuration_service& configuration, cluster_service& cluster,
               chat_service& chats, service_caller& services, std::function<bool()> serving);

    /// \returns Whether the path belongs to this interface.
    static bool handles(const http_target& target);

    /// \brief Answers one request.
    awaitable<void> handle(const http_request& request, const http_target& target,
                           response_writer& writer);

    /// \returns Whether the router can serve: a configuration is in force and it is not leaving.
    bool ready() const;

private:
    /// Who sent a request, and with which priority and deadline.
    struct caller_identity
    {
        team_id team;
        std::uint8_t priority = 0;
        time_point deadline;
        request_id request;
    };

    result<caller_identity> identify(const http_request& request) const;
    request_id make_request_id();
    http_response addresses(const http_target& target);
    awaitable<void> chat(const http_request& request, const http_target& target,
                         response_writer& writer);
    awaitable<void> stream(const http_target& target, response_writer& writer);
    awaitable<void> service_call(const http_request& request, const http_target& target,
                                 response_writer& writer);
    awaitable<void> request_state(const http_request& request, const http_target& target,
                                  response_writer& writer);

    node_context& node_;
    configuration_service& configuration_;
    cluster_service& cluster_;
    chat_service& chats_;
    service_caller& services_;
    std::function<bool()> serving_;
    std::atomic<std::uint64_t> rotation_{0};
};

} // namespace endivestage::daemon
