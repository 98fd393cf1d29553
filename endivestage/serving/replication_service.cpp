#include <endivestage/serving/replication_service.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis idle_poll_interval{50};
/// Pause before another relay is asked. Relays may refuse at once, one after the other.
constexpr millis failed_poll_pause{20};
/// Time for which a router asks relays for the tables at the first start of a fleet, when callers
/// come only seconds later.
constexpr millis first_start_period{4000};
/// After this time a started router has heard from the routers that are alive. Until then it would
/// take itself for the only one, and poll the table service.
constexpr millis probe_period{2000};
/// All routers of a fleet that starts for the first time have registered after this time.
constexpr millis registration_period{600};
/// Interval at which relays exchange the loads of their followers; similar to the interval at which
/// followers poll.
constexpr millis load_exchange_interval{200};

std::vector<relay_candidate> to_candidates(std::span<const relay_peer> peers)
{
    std::vector<relay_candidate> candidates;
    for (const relay_peer& peer : peers)
    {
        candidates.push_back(peer.candidate);
    }
    return candidates;
}

} // namespace

std::string_view to_string(shared_table table)
{
    switch (table)
    {
    case shared_table::operations:
        return "operations";
    case shared_table::endpoints:
        return "endpoints";
    case shared_table::routers:
        break;
    }
    return "routers";
}

replication_service::replication_service(asio::io_context& context, const clock& time,
                                         table_client& tables, router_id self, source_choice choice,
                                         replication_callbacks callbacks)
    : self_(std::move(self)),
      context_(context),
      time_(time),
      tables_(tables),
      source_choice_(std::move(choice)),
      callbacks_(std::move(callbacks))
{
    for (const shared_table table : shared_tables)
    {
        replicas_.emplace(table, table_replica{});
        service_states_.emplace(table, service_state{});
        freshness_.emplace(table, freshness_lease{millis{0}});
        served_changes_.try_emplace(table, table);
    }
}

void replication_service::start(const change_batch& routers, bool first_start)
{
    apply(shared_table::routers, routers);
    reads_routers_again_ = first_start;
    probes_known_at_ = time_.now() + probe_period;
    const std::size_t registered = callbacks_.registered_routers().size();
    start_sequence_ =
        start_sequence(time_.now(), first_start ? first_start_period
                                                : start_sequence::relay_period(self_, registered));
    // Runs first, so that the primary reads the table service without a pause.
    asio::co_spawn(context_, follow_relays(), asio::detached);
    for (const shared_table table : shared_tables)
    {
        asio::co_spawn(context_, follow_service(table), asio::detached);
    }
    asio::co_spawn(context_, refresh_old_copies(), asio::detached);
    asio::co_spawn(context_, exchange_loads(), asio::detached);
}

bool replication_service::is_complete() const
{
    return std::all_of(shared_tables.begin(), shared_tables.end(),
                       [this](shared_table table)
                       { return replicas_.at(table).revision().has_value(); });
}

std::optional<millis> replication_service::age(shared_table table) const
{
    return freshness_.at(table).age(time_.now());
}

std::optional<millis> replication_service::age() const
{
    const std::optional<millis> operations = age(shared_table::operations);
    const std::optional<millis> endpoints = age(shared_table::endpoints);
    return operations && endpoints ? std::max(operations, endpoints) : std::nullopt;
}

awaitable<void> replication_service::wait_for_change(millis max_wait)
{
    asio::steady_timer timer(context_, std::chrono::milliseconds(max_wait.count));
    waiters_.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    waiters_.erase(&timer);
}

void replication_service::renew_freshness(shared_table table, time_point instant)
{
    const std::optional<millis> before = age();
    freshness_.at(table).renew(instant);
    const std::optional<millis> after = age();
    if (after && !source_choice_.is_overdue(*after) &&
        (!before || source_choice_.is_overdue(*before)))
    {
        end_waits(); // Followers whose copies are overdue as well get this one.
    }
    if (table == shared_table::operations)
    {
        callbacks_.on_current(instant);
    }
}

bool replication_service::is_settling() const
{
    return outage_.rewritten_by(time_.now()).has_value();
}

std::uint64_t replication_service::era() const
{
    std::uint64_t latest = 0;
    for (const auto& [table, replica] : replicas_)
    {
        latest = std::max(latest, replica.era());
    }
    return latest;
}

// A router without copies has nothing that a restore could have taken back.
bool replication_service::is_restored(std::uint64_t source_era) const
{
    const bool has_copy = std::any_of(replicas_.begin(), replicas_.end(),
                                      [](const std::pair<const shared_table, table_replica>& entry)
                                      { return entry.second.position().has_value(); });
    return has_copy && source_era > era();
}

bool replication_service::apply(shared_table table, const change_batch& batch)
{
    const bool was_complete = is_complete();
    table_replica& replica = replicas_.at(table);
    const std::optional<table_position> before = replica.position();
    const std::vector<replicated_row> changed = replica.apply(batch);
    const bool entered = before && replica.era() != before->era;
    if (entered)
    {
        log_event(log_level::warning, "store_era_entered",
                  {{"table", to_string(table)},
                   {"era_before", before->era},
                   {"era", replica.era()},
                   {"revision_before", before->revision},
                   {"revision", batch.revision},
                   {"age_ms", age(table).value_or(millis{-1})}});
    }
    const time_point now = time_.now();
    const std::optional<time_point> rewritten_by = outage_.rewritten_by(now);
    if (entered && callbacks_.on_era_entered)
    {
        callbacks_.on_era_entered(table, changed, rewritten_by.value_or(now));
    }
    else if (!changed.empty())
    {
        callbacks_.on_rows_changed(table, changed, rewritten_by);
    }
    if (!changed.empty() || is_complete() != was_complete)
    {
        end_waits();
    }
    return !changed.empty();
}

void replication_service::end_waits()
{
    for (asio::steady_timer* waiter : waiters_)
    {
        waiter->cancel();
    }
}

void replication_service::update_source(const change_source& source)
{
    const bool primary = source.type == change_source::kind::service;
    if (source.is_relay != relaying_ || primary != primary_ || source.relay != current_relay_)
    {
        log_event(
            log_level::info, "source_changed",
            {{"source", source.relay.empty() ? std::string("table_service") : source.relay.str()},
             {"relaying", source.is_relay},
             {"primary", primary},
             {"cut_off", source_choice_.is_cut_off()},
             {"age_ms", age(shared_table::operations).value_or(millis{-1})},
             {"endpoints_age_ms", age(shared_table::endpoints).value_or(millis{-1})}});
    }
    relaying_ = source.is_relay;
    primary_ = primary;
    current_relay_ = source.relay;
}

std::vector<relay_candidate> replication_service::live_candidates() const
{
    return to_candidates(callbacks_.live_routers());
}

awaitable<void> replication_service::exchange_loads()
{
    for (;;)
    {
        co_await daemon::sleep_for(load_exchange_interval);
        if (!relaying_)
        {
            continue;
        }
        const time_point now = time_.now();
        load_aggregator_.apply_router_report(hash64(self_.view()), callbacks_.open_requests(), now);
        const std::vector<engine_requests> follower_loads = load_aggregator_.follower_loads(now);
        const std::vector<router_id> relays = source_choice_.choose_relays(live_candidates(), now);
        for (const router_id& relay : relays)
        {
            if (relay != self_)
            {
                callbacks_.send_to_relay(relay, sum_kind::loads, follower_loads);
                if (rollouts_ != nullptr)
                {
                    rollouts_->send_to_relay(relay);
                }
            }
        }
        exchange_failures(relays, now);
        callbacks_.on_fleet_loads(load_aggregator_.changes_since(0, now));
    }
}

awaitable<void> replication_service::follow_relays()
{
    for (;;)
    {
        std::vector<relay_peer> live = is_complete() && time_.now() >= probes_known_at_
                                           ? callbacks_.live_routers()
                                           : callbacks_.registered_routers();
        const change_source source = source_choice_.choose(to_candidates(live), time_.now());
        if (!is_complete())
        {
            co_await start_from_relay(source, std::move(live));
            continue;
        }
        if (start_sequence_)
        {
            // Relays that were not running yet when this router started are asked again.
            source_choice_.forget_failures();
            start_sequence_.reset();
            continue;
        }
        update_source(source);
        if (source.type == change_source::kind::service)
        {
            co_await daemon::sleep_for(idle_poll_interval * 2);
            continue;
        }
        if (source.type == change_source::kind::refresh)
        {
            // The copies are read by refresh_old_copies.
            co_await daemon::sleep_for(idle_poll_interval);
            continue;
        }
        const auto it = std::find_if(live.begin(), live.end(),
                                     [&](const relay_peer& relay)
                                     { return relay.candidate.id == source.relay; });
        relay_peer chosen = *it;
        const std::error_code ec = co_await poll_relay(std::move(chosen));
        if (ec)
        {
            co_await daemon::sleep_for(failed_poll_pause);
        }
    }
}

awaitable<void> replication_service::start_from_relay(const change_source& source,
                                                      std::vector<relay_peer> live)
{
    if (reads_routers_again_)
    {
        co_await daemon::sleep_for(registration_period);
        co_await poll_service(shared_table::routers, millis{0});
        reads_routers_again_ = false;
        co_return;
    }
    if (start_sequence_->reads_service(source, time_.now()))
    {
        starts_from_service_ = true;
        end_waits();
        co_await wait_for_change(idle_poll_interval);
        co_return;
    }
    {
        const auto it = std::find_if(live.begin(), live.end(),
                                     [&](const relay_peer& relay)
                                     { return relay.candidate.id == source.relay; });
        relay_peer chosen = *it;
        const std::error_code ec = co_await poll_relay(std::move(chosen));
        const relay_answer answer = !ec                            ? relay_answer::tables
                                    : ec == errc::peer_unavailable ? relay_answer::not_ready
                                                                   : relay_answer::unreachable;
        co_await daemon::sleep_for(start_sequence::pause_after(answer));
    }
}

} // namespace endivestage::serving
