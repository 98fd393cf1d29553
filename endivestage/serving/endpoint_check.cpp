#include <endivestage/serving/endpoint_check.hpp>

#include <endivestage/daemon/sleep.hpp>

#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;

namespace
{

constexpr millis check_timeout{250};
/// Something on the way that accepts a connection for an endpoint that it cannot reach resets it
/// within about this time.
constexpr millis reset_wait{30};
/// A connection that was opened as a check waits for a request for at most this time.
constexpr millis idle_timeout{3000};

} // namespace

awaitable<checked_connection> open_checked(boost::asio::any_io_executor executor,
                                           router_state& state, endpoint_record endpoint)
{
    std::shared_ptr<daemon::http_connection> connection =
        std::make_shared<daemon::http_connection>(std::move(executor));
    daemon::network_address address{endpoint.host, endpoint.port};
    const std::error_code ec =
        co_await connection->connect(std::move(address), check_timeout, check_timeout);
    state.metrics.record_connection(!ec);
    checked_connection checked;
    if (ec)
    {
        co_return checked;
    }
    co_await daemon::sleep_for(reset_wait);
    checked.reset = !connection->quiet();
    if (!checked.reset)
    {
        checked.connection = std::move(connection);
    }
    co_return checked;
}

void keep_checked(router_state& state, const endpoint_record& endpoint,
                  std::shared_ptr<daemon::http_connection> connection)
{
    if (!state.notices.is_leaving(endpoint))
    {
        state.pool.release(endpoint.id, std::move(connection), idle_timeout);
    }
}

} // namespace endivestage::serving
