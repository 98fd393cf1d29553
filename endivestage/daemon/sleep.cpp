#include <endivestage/daemon/sleep.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace endivestage::daemon
{

namespace asio = boost::asio;

awaitable<void> sleep_for(millis d)
{
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(d.count));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace endivestage::daemon
