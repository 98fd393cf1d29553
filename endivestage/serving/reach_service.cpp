#include <endivestage/serving/reach_service.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>
#include <endivestage/serving/endpoint_check.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis tick_interval{50};
/// An endpoint answers its health check when it has a free slot.
constexpr millis response_timeout{400};
constexpr std::size_t max_health_bytes = 65536;
/// Outcomes of this time before the first failed connection may have had the same cause.
constexpr millis unnoticed_period{1500};

} // namespace

reach_service::reach_service(asio::io_context& context, router_state& state, peer_service& peers)
    : context_(context),
      state_(state),
      peers_(peers)
{
    state_.on_doubt = [this]
    {
        begin_checks();
    };
    state_.handover_targets = [this]
    {
        return targets();
    };
}

std::vector<handover_target> reach_service::targets() const
{
    std::vector<handover_target> found;
    for (const relay_peer& peer : peers_.live_peers())
    {
        if (!peers_.is_cut_off(peer.candidate.id))
        {
            found.push_back(
                {{peer.candidate.id, peer.candidate.zone, peer.candidate.weight}, peer.address});
        }
    }
    return found;
}

bool reach_service::is_isolated() const
{
    return announced_ && !targets().empty();
}

void reach_service::begin_checks()
{
    apply_state();
    if (!running_)
    {
        running_ = true;
        asio::co_spawn(context_, run_checks(), asio::detached);
    }
}

std::vector<endpoint_id> reach_service::find_candidates() const
{
    const time_point now = state_.time.now();
    std::vector<endpoint_id> found;
    for (const service_profile& service : state_.routes->services())
    {
        for (const endpoint_state* endpoint : state_.endpoints.available(service.name, now))
        {
            if (!state_.endpoints.fails_for_fleet(*endpoint, now) &&
                !state_.notices.is_leaving(endpoint->record))
            {
                found.push_back(endpoint->record.id);
            }
        }
    }
    return found;
}

awaitable<void> reach_service::run_checks()
{
    while (running_)
    {
        const time_point now = state_.time.now();
        if (state_.routes)
        {
            for (const endpoint_id& id :
                 state_.reach.choose_checks(find_candidates(), state_.random, now))
            {
                asio::co_spawn(context_, check(state_.endpoints.find(id)->record), asio::detached);
            }
        }
        apply_state();
        running_ = announced_ || state_.reach.state(now) != reach_state::reached;
        if (running_)
        {
            co_await daemon::sleep_for(tick_interval);
        }
    }
}

awaitable<void> reach_service::check(endpoint_record endpoint)
{
    checked_connection checked = co_await open_checked(context_.get_executor(), state_, endpoint);
    bool usable = checked.connection != nullptr;
    if (!usable)
    {
        state_.record_connection(endpoint.id, checked.reset ? connection_result::reset
                                                            : connection_result::failed);
    }
    else if (state_.reach.checks_need_response(state_.time.now()))
    {
        usable = co_await ask(checked.connection, endpoint);
    }
    else
    {
        state_.record_connection(endpoint.id, connection_result::works);
    }
    state_.reach.end_check(endpoint.id);
    apply_state();
    if (usable)
    {
        keep_checked(state_, endpoint, std::move(checked.connection));
    }
}

awaitable<bool> reach_service::ask(std::shared_ptr<daemon::http_connection> connection,
                                   endpoint_record endpoint)
{
    const service_profile* service = state_.routes->find_service(endpoint.service);
    http_request request;
    request.target = service != nullptr ? service->health_path : "/";
    request.fields.emplace_back("Host", daemon::to_string({endpoint.host, endpoint.port}));
    const time_point sent_at = state_.time.now();
    connection->send(std::move(request));
    const result<http_response> head = co_await connection->read_head(response_timeout);
    if (!head)
    {
        state_.record_lost_response(endpoint.id, sent_at);
        co_return false;
    }
    // Whatever it says, it answers.
    state_.reach.record_response(state_.time.now());
    state_.record_connection(endpoint.id, connection_result::works);
    const result<std::string> body =
        co_await daemon::read_body(*connection, response_timeout, max_health_bytes);
    co_return body && connection->reusable();
}

void reach_service::apply_state()
{
    const time_point now = state_.time.now();
    const bool cut_off = state_.reach.state(now) == reach_state::cut_off;
    if (cut_off && !cut_off_)
    {
        cut_off_at_ = now;
        cut_off_since_ = state_.reach.cut_off_since().value_or(now);
        log_event(log_level::warning, "endpoints_cut_off",
                  {{"since_ms", now - cut_off_since_},
                   {"cuts", state_.reach.cuts()},
                   {"routers", targets().size()},
                   {"idle_connections", state_.pool.size()}});
        // An idle connection that lives on cannot be told from one that is silent.
        state_.pool.close_idle_before(cut_off_since_);
    }
    if (!cut_off && cut_off_)
    {
        state_.endpoints.forget_losses(cut_off_since_ - unnoticed_period);
        log_event(
            log_level::warning, "endpoints_reached",
            {{"cut_off_ms", now - cut_off_since_}, {"handed_over_open", state_.handovers.open()}});
    }
    const bool turned_cut_off = cut_off && !cut_off_;
    cut_off_ = cut_off;
    announce(now);
    if (turned_cut_off && cut_off_callback_)
    {
        cut_off_callback_();
    }
}

void reach_service::announce(time_point now)
{
    const bool announced = state_.reach.is_announced(now);
    const bool repeat = announced && now - announced_at_ >= fleet_reach::repeat_interval;
    if (announced == announced_ && !repeat)
    {
        return;
    }
    if (announced != announced_)
    {
        log_event(log_level::info, "reach_announced", {{"cut_off", announced}});
    }
    announced_ = announced;
    announced_at_ = now;
    peers_.announce_reach(announced);
}

} // namespace endivestage::serving
