/// \file
/// \brief Entry point for callers' requests.
#pragma once

#include <endivestage/daemon/http_server.hpp>
#include <endivestage/serving/handover_header.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <set>

namespace endivestage::serving
{

class exchange;

/// \brief Serves callers' requests by forwarding them to endpoints. Its state is in
/// \ref router_state.
class request_service
{
public:
    /// \param state Must outlive the service.
    request_service(boost::asio::any_io_executor executor, router_state& state)
        : executor_(std::move(executor)),
          state_(state)
    {
    }

    /// \brief Serves one request and sends its response to \p caller.
    daemon::awaitable<void> serve(http_request request, daemon::response_writer& caller);

    /// \brief Serves a request that another router has handed over, or refuses it at once.
    daemon::awaitable<void> serve_taken(http_request request, daemon::response_writer& caller);

    /// \brief Gives up attempts on connections that have been silent since \p since or before,
    /// where the request may go on elsewhere.
    void leave_silent_connections(time_point since);

    /// \brief Ends open requests whose response has not begun, with a failure or a refusal.
    void end_open_requests();

private:
    daemon::awaitable<void> run(std::shared_ptr<exchange> handler);
    std::optional<handover_refusal> find_refusal(const handover_info& info) const;

    boost::asio::any_io_executor executor_;
    router_state& state_;
    std::set<exchange*> open_;
};

} // namespace endivestage::serving
