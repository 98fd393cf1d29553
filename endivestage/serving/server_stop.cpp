#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis stop_poll_interval{50};
/// The process exits this long before the platform would kill it.
constexpr millis stop_margin{500};
/// Requests that are open late in a planned stop end this long before the process exits, so that
/// their last bytes are still sent.
constexpr millis delivery_margin{100};

} // namespace

void server::stop()
{
    if (stopping_)
    {
        return;
    }
    stopping_ = true;
    state_.lifecycle = lifecycle_state::stopping;
    state_.start.stop();
    log_event(log_level::info, "stopping", {{"open_requests", state_.open_requests}});
    if (peer_service_)
    {
        peer_service_->leave();
    }
    caller_server_.announce_close();
    asio::co_spawn(context_, shut_down(), asio::detached);
}

awaitable<void> server::shut_down()
{
    const time_point started_at = time_.now();
    const time_point deadline = started_at + settings_.bounds.stop_grace - stop_margin;
    planned_stop_.begin(started_at);
    bool refusing = false;
    while (time_.now() < deadline)
    {
        stop_progress progress;
        // A connection without a request yet counts too: its request may be on the way.
        progress.open_requests = caller_server_.open_connections() + state_.taken_requests;
        progress.in_view = false;
        bool done = false;
        for (const stop_action action : planned_stop_.tick(progress, time_.now()))
        {
            refusing = refusing || action == stop_action::refuse_connections;
            done = done || action == stop_action::exit;
        }
        // Where the stop's time is short, it ends before the address responses have expired.
        if (refusing || time_.now() - started_at >= settings_.bounds.stop_grace / 2)
        {
            state_.completion_limit = deadline - delivery_margin;
        }
        if (refusing)
        {
            caller_server_.stop_accepting();
            caller_server_.close_idle();
        }
        if (time_.now() >= deadline - delivery_margin)
        {
            request_service_.end_open_requests();
        }
        if (done)
        {
            break;
        }
        co_await daemon::sleep_for(stop_poll_interval);
    }
    log_event(log_level::info, "stopped", {{"open_requests", state_.open_requests}});
    context_.stop();
}

} // namespace endivestage::serving
