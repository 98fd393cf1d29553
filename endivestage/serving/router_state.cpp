#include <endivestage/serving/router_state.hpp>

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

void router_state::record_lost_response(const endpoint_id& endpoint)
{
    const time_point now = time.now();
    const endpoint_state* silent = endpoints.find(endpoint);
    if (silent == nullptr || endpoints.fails_for_fleet(*silent, now))
    {
        return;
    }
    reach.record_lost_response(endpoint, now);
    if (reach.state(now) != reach_state::reached && on_doubt)
    {
        on_doubt();
    }
}

} // namespace endivestage::serving
