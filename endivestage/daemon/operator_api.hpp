/// \file
/// \brief HTTP interface for operators; every call needs an operator token.
#pragma once

#include <endivestage/daemon/admission_service.hpp>
#include <endivestage/daemon/cluster_service.hpp>
#include <endivestage/daemon/configuration_service.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/service_caller.hpp>

#include <functional>
#include <string>
#include <vector>

namespace endivestage::daemon
{

/// \brief Operator calls under /v1/operator. See docs/operators.md.
class operator_api
{
public:
    /// \param stop Begins the planned stop of this router.
    /// \param stop_state Returns the step of a planned stop.
    operator_api(node_context& node, configuration_service& configuration, cluster_service& cluster,
                 admission_service& admission, service_caller& services, std::function<void()> stop,
                 std::function<std::string()> stop_state);

    /// \brief Answers peers that gather the timeline.
    void start();

    /// \returns Whether the path belongs to this interface.
    static bool handles(const http_target& target);

    /// \brief Answers one request.
    awaitable<void> handle(const http_request& request, const http_target& target,
                           response_writer& writer);

private:
    bool authorized(const http_request& request) const;
    awaitable<http_response> dispatch(const http_request& request, const http_target& target);
    http_response status() const;
    http_response list_zones() const;
    awaitable<http_response> change_zone(std::string zone, const http_request& request);
    http_response show_configuration() const;
    awaitable<http_response> apply_configuration(const http_request& request);
    awaitable<http_response> timeline(const http_target& target);
    awaitable<http_response> list_requests(const http_target& target);
    awaitable<http_response> show_request(const http_target& target);
    awaitable<http_response> settle_request(const http_request& request, const http_target& target);
    awaitable<std::vector<timeline_event>> read_peer(member peer, boost::json::object question);

    node_context& node_;
    configuration_service& configuration_;
    cluster_service& cluster_;
    admission_service& admission_;
    service_caller& services_;
    std::function<void()> stop_;
    std::function<std::string()> stop_state_;
};

} // namespace endivestage::daemon
