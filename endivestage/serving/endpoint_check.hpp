/// \file
/// \brief Opens a connection to an endpoint to find out whether this router reaches it.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace endivestage::serving
{

/// \brief A new connection to an endpoint.
struct checked_connection
{
    std::shared_ptr<daemon::http_connection> connection; ///< Null if it failed.
    /// It was accepted, and reset at once.
    bool reset = false;
};

/// \brief Opens a connection. The caller records the result.
daemon::awaitable<checked_connection> open_checked(boost::asio::any_io_executor executor,
                                                   router_state& state, endpoint_record endpoint);

/// \brief Keeps such a connection for the next request.
void keep_checked(router_state& state, const endpoint_record& endpoint,
                  std::shared_ptr<daemon::http_connection> connection);

} // namespace endivestage::serving
