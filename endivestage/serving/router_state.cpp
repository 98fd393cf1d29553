#include <endivestage/serving/router_state.hpp>

#include <endivestage/daemon/logging.hpp>

namespace endivestage::serving
{

void router_state::record_connection(const endpoint_id& endpoint, connection_result outcome)
{
    const time_point now = time.now();
    if (outcome == connection_result::works)
    {
        reach.record_connection(endpoint, now);
        return;
    }
    const endpoint_state* failed = endpoints.find(endpoint);
    // What other routers see as well says nothing about this router's link.
    if (failed == nullptr || endpoints.fails_for_fleet(*failed, now))
    {
        return;
    }
    if (outcome == connection_result::reset)
    {
        reach.record_reset_connection(endpoint, now);
    }
    else
    {
        reach.record_failed_connection(endpoint, now);
    }
    if (reach.state(now) != reach_state::reached && on_doubt)
    {
        on_doubt();
    }
}

void router_state::record_lost_response(const endpoint_id& endpoint, time_point sent_at)
{
    const time_point now = time.now();
    const endpoint_state* silent = endpoints.find(endpoint);
    if (silent == nullptr || endpoints.fails_for_fleet(*silent, now))
    {
        return;
    }
    reach.record_lost_response(endpoint, sent_at, now);
    if (reach.state(now) != reach_state::reached && on_doubt)
    {
        on_doubt();
    }
}

void router_state::record_rejection_limit(const endpoint_record& endpoint,
                                          std::optional<std::uint32_t> per_second)
{
    const time_point now = time.now();
    const bool was_brittle = brittle.limit(endpoint, now).has_value();
    const std::optional<std::uint32_t> announced = brittle.record_answer(endpoint, per_second, now);
    const std::optional<std::uint32_t> limit = brittle.limit(endpoint, now);
    if (limit.has_value() != was_brittle)
    {
        daemon::log_event(daemon::log_level::info, limit ? "endpoint_brittle" : "endpoint_sound",
                          {{"endpoint", endpoint.id},
                           {"service", endpoint.service},
                           {"max_rejections_per_s", limit.value_or(0)}});
    }
    if (announced && announce_brittle)
    {
        announce_brittle(endpoint.service, *announced);
    }
}

bool router_state::may_risk_rejection(const endpoint_state& endpoint, bool only_free) const
{
    const time_point now = time.now();
    const std::optional<std::uint32_t> limit = brittle.limit(endpoint.record, now);
    if (!limit)
    {
        return true;
    }
    endpoint_room room;
    room.slots = endpoint.reported_slots > 0 ? endpoint.reported_slots : endpoint.record.slots;
    room.load = endpoints.estimated_load(endpoint, now);
    room.known = routers.size() == 1 || endpoints.has_current_loads(now);
    return rejections.may_send(endpoint.record.id, *limit, room, routers, only_free, now);
}

} // namespace endivestage::serving
