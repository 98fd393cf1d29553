#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>
#include <endivestage/serving/server.hpp>

#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis announce_retry_delay{300};

} // namespace

awaitable<void> server::announce_self()
{
    while (!stopping_)
    {
        std::string row = peer_service_->own_row();
        const std::error_code ec = co_await platform_.tables->write(
            shared_table::routers, settings_.name.str(), std::move(row));
        if (!ec)
        {
            co_return;
        }
        co_await daemon::sleep_for(announce_retry_delay);
    }
}

void server::update_lifecycle()
{
    if (state_.lifecycle == lifecycle_state::starting && state_.routes &&
        state_.operations_lease.is_valid(time_.now()) && replication_->is_complete())
    {
        state_.lifecycle = lifecycle_state::serving;
        log_event(log_level::info, "serving",
                  {{"endpoints", state_.endpoints.size()},
                   {"after_ms", time_.now() - state_.start_time}});
        state_.start.open();
    }
}

} // namespace endivestage::serving
