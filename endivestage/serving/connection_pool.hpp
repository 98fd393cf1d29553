/// \file
/// \brief Pool of idle connections to endpoints.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <map>
#include <memory>

namespace endivestage::serving
{

/// \brief Idle connections by endpoint. Not thread-safe.
class connection_pool
{
public:
    using connection_ptr = std::shared_ptr<daemon::http_connection>;

    /// \param time Must outlive the pool.
    explicit connection_pool(const clock& time) : time_(time) {}

    /// \returns The most recently used connection that is still open and was idle for at most
    /// \p max_idle_time; null when there is none.
    connection_ptr acquire(const endpoint_id& endpoint, millis max_idle_time);

    /// \returns Whether there is a connection that has been idle since \p since or later.
    bool has_idle_since(const endpoint_id& endpoint, time_point since) const;

    /// \brief Closes all connections that have been idle since before \p since.
    void close_idle_before(time_point since);

    /// \brief Returns a connection to the pool for the next request.
    /// \param idle_timeout Idle time after which the endpoint closes the connection.
    void release(const endpoint_id& endpoint, connection_ptr connection, millis idle_timeout);

    /// \brief Closes all idle connections to an endpoint.
    void close_all(const endpoint_id& endpoint);

    /// \brief Closes connections whose idle timeout at the endpoint is about to elapse.
    void expire();

    /// \returns The number of idle connections to all endpoints.
    std::size_t size() const;

private:
    struct entry
    {
        connection_ptr connection;
        time_point idle_since;
        time_point expires_at;
    };

    /// Connections are not reused this shortly before the endpoint's idle timeout, so that a
    /// request does not cross with the endpoint's close.
    static constexpr millis close_margin{700};

    const clock& time_;
    std::map<endpoint_id, std::deque<entry>> idle_;
};

} // namespace endivestage::serving
