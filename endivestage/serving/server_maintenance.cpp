#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis maintenance_interval{250};
/// Longer delays of the event loop are logged. All requests of this router wait meanwhile.
constexpr millis logged_loop_delay{100};
constexpr std::size_t max_addresses = 64;

} // namespace

void server::update_metrics()
{
    router_gauges gauges;
    gauges.open_requests = state_.open_requests;
    gauges.idle_connections = state_.pool.size();
    gauges.waiting_requests = state_.overload.waiting();
    gauges.endpoints = state_.endpoints.size();
    gauges.routers = state_.routers.size();
    gauges.notices = state_.notices.size();
    gauges.brittle_services = state_.brittle.services(time_.now());
    gauges.failing_endpoints = state_.endpoints.fleet_failures(time_.now());
    gauges.response_bytes = state_.response_memory.in_use();
    gauges.request_bytes = state_.request_bytes->in_use();
    gauges.unfinished_request_bytes = state_.request_bytes->unfinished_bytes();
    gauges.evicted_requests = state_.request_bytes->evictions();
    gauges.caller_connections = caller_server_.open_connections();
    gauges.config_version = state_.routes ? state_.routes->version() : 0;
    gauges.ready = accepts_callers();
    gauges.taken_requests = state_.taken_requests;
    gauges.cuts = state_.reach.cuts();
    gauges.cut_off = state_.reach.cut_off_since().has_value();
    record_start_gate(state_.start, state_.metrics);
    if (replication_)
    {
        gauges.copy_age = replication_->age(shared_table::operations).value_or(millis{-1});
        gauges.endpoints_copy_age = replication_->age(shared_table::endpoints).value_or(millis{-1});
        gauges.relaying = replication_->is_relaying();
        gauges.primary = replication_->is_primary();
        gauges.store_calls = replication_->store_calls();
        gauges.store_era = replication_->era();
        gauges.store_restores = replication_->restores();
    }
    state_.metrics.set_gauges(gauges);
    update_rollout_metrics();
}

bool server::accepts_callers() const
{
    const bool isolated = reach_service_ && reach_service_->is_isolated();
    return state_.is_ready() && !stopping_ && !isolated;
}

address_answer server::addresses(zone_id zone, region_id region)
{
    std::vector<router_status> routers;
    const bool isolated = reach_service_ && reach_service_->is_isolated();
    const bool accepts = accepts_callers();
    if (accepts)
    {
        router_status self;
        self.id = settings_.name;
        self.host = settings_.callers.host;
        self.port = settings_.callers.port;
        self.zone = settings_.zone;
        self.region = settings_.region;
        self.live = true;
        routers.push_back(std::move(self));
    }
    const std::vector<relay_peer> live =
        peer_service_ ? peer_service_->live_peers() : std::vector<relay_peer>{};
    // If all routers are cut off, they are all listed: the endpoints may be down.
    const bool any_reaches = accepts || isolated ||
                             std::any_of(live.begin(), live.end(),
                                         [this](const relay_peer& peer)
                                         { return !peer_service_->is_cut_off(peer.candidate.id); });
    for (const relay_peer& peer : live)
    {
        if (any_reaches && peer_service_->is_cut_off(peer.candidate.id))
        {
            continue;
        }
        router_status other;
        other.id = peer.candidate.id;
        other.host = peer.address.host;
        other.port = settings_.callers.port;
        other.zone = peer.candidate.zone;
        other.region = settings_.region;
        other.live = true;
        routers.push_back(std::move(other));
    }
    address_query query;
    query.zone = std::move(zone);
    query.region = std::move(region);
    query.rotation = ++rotation_;
    query.max_entries = max_addresses;
    query.lifetime = settings_.bounds.address_lifetime;
    return make_address_answer(routers, query);
}

void server::record_loop_delay(millis delay)
{
    state_.metrics.record_loop_delay(delay);
    if (delay > logged_loop_delay)
    {
        log_event(log_level::warning, "loop_delayed", {{"delay_ms", delay}});
    }
}

awaitable<void> server::run_maintenance()
{
    for (;;)
    {
        const time_point due = time_.now() + maintenance_interval;
        co_await daemon::sleep_for(maintenance_interval);
        record_loop_delay(time_.now() - due);
        state_.pool.expire();
        state_.router_connections.expire();
        state_.brittle.expire(time_.now());
        state_.rejections.expire(time_.now());
        maintain_versions();
        apply_deferred_rows();
        daemon::flush_log();
        for (const endpoint_id& returned : state_.notices.expire(state_.endpoints, time_.now()))
        {
            log_event(log_level::info, "endpoint_returned", {{"endpoint", returned}});
        }
        for (const endpoint_id& expired : state_.endpoints.expire(time_.now()))
        {
            log_event(log_level::info, "endpoint_forgotten", {{"endpoint", expired}});
        }
    }
}

} // namespace endivestage::serving
