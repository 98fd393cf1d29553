/// \file
/// \brief Entry point for callers' requests.
#pragma once

#include <endivestage/daemon/http_server.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/any_io_executor.hpp>

namespace endivestage::serving
{

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

private:
    boost::asio::any_io_executor executor_;
    router_state& state_;
};

} // namespace endivestage::serving
