#include <endivestage/daemon/node_context.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <exception>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;

namespace
{

void log_exception(std::exception_ptr failure)
{
    if (!failure)
    {
        return;
    }
    try
    {
        std::rethrow_exception(std::move(failure));
    }
    catch (const std::exception& error)
    {
        log_event(log_level::error, "task_failed",
                  {make_error_code(errc::internal), {"reason", error.what()}});
    }
}

awaitable<void> run_repeatedly(millis period, std::function<awaitable<void>()> work)
{
    for (;;)
    {
        co_await work();
        co_await sleep_for(period);
    }
}

} // namespace

void spawn(asio::io_context& io, std::function<awaitable<void>()> work)
{
    // The coroutine refers to the function object, which must live as long as the coroutine.
    auto kept = std::make_shared<std::function<awaitable<void>()>>(std::move(work));
    asio::co_spawn(
        asio::make_strand(io), [kept] { return (*kept)(); },
        [kept](std::exception_ptr failure) { log_exception(std::move(failure)); });
}

void spawn_loop(asio::io_context& io, millis period, std::function<awaitable<void>()> work)
{
    spawn(io, [period, work = std::move(work)] { return run_repeatedly(period, work); });
}

} // namespace endivestage::daemon
