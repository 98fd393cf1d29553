/// \file
/// \brief Kept connections to endpoints.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <map>
#include <memory>

namespace endivestage::serving
{

/// \brief Connections without a request, by endpoint. Not thread-safe.
class connection_pool
{
public:
    using connection = std::shared_ptr<daemon::http_connection>;

    /// \param time Must outlive the pool.
    explicit connection_pool(const clock& time) : time_(time) {}

    /// \returns The connection used last that is still open and was idle for less than \p
    /// most_idle; null when there is none.
    connection acquire(const endpoint_id& endpoint, millis most_idle);

    /// \brief Keeps a connection for the next request.
    /// \param lifetime The endpoint closes it when it was idle for so long.
    void release(const endpoint_id& endpoint, connection kept, millis lifetime);

    /// \brief Closes all connections to an endpoint.
    void close_all(const endpoint_id& endpoint);

    /// \brief Closes connections that the endpoint is about to close.
    void expire();

    std::size_t size() const;

private:
    struct entry
    {
        connection kept;
        time_point idle_since;
        time_point expires;
    };

    /// A request must not meet the endpoint's close on the way.
    static constexpr millis close_margin{700};

    const clock& time_;
    std::map<endpoint_id, std::deque<entry>> idle_;
};

} // namespace endivestage::serving
