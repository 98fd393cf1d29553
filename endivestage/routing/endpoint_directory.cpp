#include <endivestage/routing/endpoint_directory.hpp>

#include <algorithm>
#include <utility>

namespace endivestage
{

namespace
{

/// Weight of the latest outcome in the moving average, which covers about the last ten outcomes.
constexpr double latest_outcome_weight = 0.15;

} // namespace

std::string_view to_string(endpoint_outcome outcome)
{
    switch (outcome)
    {
    case endpoint_outcome::served:
        return "served";
    case endpoint_outcome::failed:
        return "failed";
    case endpoint_outcome::shed:
        return "shed";
    case endpoint_outcome::misdirected:
        return "misdirected";
    case endpoint_outcome::unreachable:
        return "unreachable";
    case endpoint_outcome::broken:
        break;
    }
    return "broken";
}

void endpoint_directory::update(const endpoint_record& record, time_point now)
{
    endpoint_state& state = endpoints_[record.id];
    const bool exists = !state.record.id.empty();
    const bool restarted =
        exists && (state.record.started_at != record.started_at ||
                   state.record.host != record.host || state.record.port != record.port);
    if (restarted)
    {
        const std::uint32_t in_flight = state.in_flight;
        state = endpoint_state{};
        state.in_flight = in_flight;
    }
    state.record = record;
    state.hash = hash64(record.id.view());
    by_hash_[state.hash] = record.id;
    state.kept_until.reset();
    if (record.cold_left > millis{0})
    {
        state.cold_until = std::max(state.cold_until, now + record.cold_left);
    }
}

void endpoint_directory::remove(const endpoint_id& id, time_point now,
                                std::optional<time_point> keep_until)
{
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end())
    {
        return;
    }
    if (keep_until && now < *keep_until && !it->second.record.draining)
    {
        it->second.kept_until = keep_until;
        return;
    }
    by_hash_.erase(it->second.hash);
    endpoints_.erase(it);
}

std::vector<endpoint_id> endpoint_directory::expire(time_point now)
{
    std::vector<endpoint_id> expired;
    for (auto it = endpoints_.begin(); it != endpoints_.end();)
    {
        if (it->second.kept_until && now >= *it->second.kept_until)
        {
            expired.push_back(it->first);
            by_hash_.erase(it->second.hash);
            it = endpoints_.erase(it);
        }
        else
        {
            ++it;
        }
    }
    return expired;
}

void endpoint_directory::set_out_of_service(std::set<zone_id> zones, time_point now,
                                            const std::map<service_id, millis>& cold_periods)
{
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        const zone_id& zone = it->second.record.zone;
        const auto period = cold_periods.find(it->second.record.service);
        if (out_of_service_.contains(zone) && !zones.contains(zone) && period != cold_periods.end())
        {
            it->second.cold_until = std::max(it->second.cold_until, now + period->second);
        }
    }
    out_of_service_ = std::move(zones);
}

void endpoint_directory::begin_request(const endpoint_id& id)
{
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end())
    {
        ++it->second.in_flight;
    }
}

void endpoint_directory::end_request(const endpoint_id& id, endpoint_outcome outcome,
                                     time_point now, millis cold_period)
{
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end())
    {
        return;
    }
    endpoint_state& state = it->second;
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    const bool lost =
        outcome == endpoint_outcome::unreachable || outcome == endpoint_outcome::broken;
    const bool is_failure = lost || outcome == endpoint_outcome::failed;
    if (outcome != endpoint_outcome::shed && outcome != endpoint_outcome::misdirected)
    {
        state.failure_rate +=
            latest_outcome_weight * ((is_failure ? 1.0 : 0.0) - state.failure_rate);
    }
    if (outcome == endpoint_outcome::served || outcome == endpoint_outcome::failed)
    {
        state.answered_failure_rate = state.failure_rate;
    }
    if (outcome == endpoint_outcome::served)
    {
        if (state.consecutive_failures > 1)
        {
            // The endpoint was unreachable and may have restarted with an empty cache, even if its
            // record does not show it yet.
            state.presumed_cold_until = std::max(state.presumed_cold_until, now + cold_period);
            state.presumed_by_loss_at = state.lost_at;
        }
        state.consecutive_failures = 0;
        state.lost_at = time_point{-1000000};
        state.avoid_until = time_point{};
    }
    if (lost)
    {
        ++state.consecutive_failures;
        state.lost_at = now;
        const std::int64_t doublings = std::min<std::uint32_t>(state.consecutive_failures - 1, 6);
        const millis avoidance = std::min(
            config_.max_avoidance, config_.initial_avoidance * (std::int64_t{1} << doublings));
        // One or two broken answers are no evidence that the endpoint is down.
        if (outcome == endpoint_outcome::unreachable || state.consecutive_failures > 2)
        {
            state.avoid_until = now + avoidance;
        }
    }
    if (outcome == endpoint_outcome::misdirected)
    {
        state.avoid_until = now + config_.max_avoidance;
    }
}

void endpoint_directory::forget_losses(time_point since)
{
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        endpoint_state& state = it->second;
        if (state.lost_at >= since)
        {
            state.consecutive_failures = 0;
            state.lost_at = time_point{-1000000};
            state.avoid_until = time_point{};
            state.failure_rate = state.answered_failure_rate;
        }
        if (state.presumed_by_loss_at >= since)
        {
            state.presumed_cold_until = time_point{};
        }
    }
}

void endpoint_directory::record_load_report(const endpoint_id& id, double requests, time_point now)
{
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end())
    {
        it->second.reported_load = requests;
        it->second.in_flight_at_report = it->second.in_flight;
        it->second.reported_load_at = now;
    }
}

void endpoint_directory::record_load_report(const endpoint_id& id, const load_report& report,
                                            time_point now)
{
    record_load_report(
        id, static_cast<double>(report.running) + static_cast<double>(report.waiting), now);
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end())
    {
        return;
    }
    it->second.reported_slots = report.slots;
    if (report.pace)
    {
        it->second.pace = report.pace;
        it->second.pace_at = now;
    }
}

std::vector<engine_requests> endpoint_directory::open_requests() const
{
    std::vector<engine_requests> open;
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        if (it->second.in_flight > 0)
        {
            open.push_back({it->second.hash, it->second.in_flight});
        }
    }
    return open;
}

void endpoint_directory::apply_fleet_loads(const load_changes& changes, time_point now)
{
    fleet_loads_at_ = now;
    if (changes.complete)
    {
        for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
        {
            it->second.other_routers_in_flight = 0.0;
        }
    }
    for (const engine_requests& sum : changes.loads)
    {
        const auto id = by_hash_.find(sum.engine);
        const auto it = id == by_hash_.end() ? endpoints_.end() : endpoints_.find(id->second);
        if (it != endpoints_.end())
        {
            const double own = static_cast<double>(it->second.in_flight);
            it->second.other_routers_in_flight =
                std::max(0.0, static_cast<double>(sum.requests) - own);
        }
    }
}

std::vector<engine_requests> endpoint_directory::failing_endpoints(time_point now) const
{
    struct service_count
    {
        std::size_t endpoints = 0;
        std::vector<engine_requests> failing;
    };
    std::vector<engine_requests> reported;
    const auto is_failing = [&](const std::pair<const endpoint_id, endpoint_state>& entry)
    {
        return now - entry.second.lost_at <= config_.failure_ttl;
    };
    if (std::none_of(endpoints_.begin(), endpoints_.end(), is_failing))
    {
        return reported;
    }
    std::map<service_id, service_count> services;
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        service_count& service = services[it->second.record.service];
        ++service.endpoints;
        if (is_failing(*it))
        {
            service.failing.push_back({it->second.hash, 1});
        }
    }
    for (auto it = services.begin(); it != services.end(); ++it)
    {
        const service_count& service = it->second;
        const std::size_t max_failing =
            std::max<std::size_t>(1, service.endpoints / config_.own_link_divisor);
        if (service.failing.size() <= max_failing)
        {
            reported.insert(reported.end(), service.failing.begin(), service.failing.end());
        }
    }
    return reported;
}

void endpoint_directory::apply_fleet_failures(const load_changes& changes, time_point now)
{
    fleet_failures_at_ = now;
    if (changes.complete)
    {
        for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
        {
            it->second.failing_routers = 0;
        }
    }
    for (const engine_requests& sum : changes.loads)
    {
        const auto id = by_hash_.find(sum.engine);
        const auto it = id == by_hash_.end() ? endpoints_.end() : endpoints_.find(id->second);
        if (it != endpoints_.end())
        {
            it->second.failing_routers = sum.requests;
        }
    }
}

std::size_t endpoint_directory::fleet_failures(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const std::pair<const endpoint_id, endpoint_state>& entry)
                      { return fails_for_fleet(entry.second, now); }));
}

bool endpoint_directory::fails_for_fleet(const endpoint_state& endpoint, time_point now) const
{
    return endpoint.failing_routers >= config_.min_failing_routers &&
           now - fleet_failures_at_ <= config_.fleet_loads_ttl;
}

void endpoint_directory::record_cold_report(const endpoint_id& id, millis left, time_point now)
{
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end())
    {
        it->second.cold_until = std::max(it->second.cold_until, now + left);
    }
}

std::vector<const endpoint_state*> endpoint_directory::available(const service_id& service,
                                                                 time_point now) const
{
    std::vector<const endpoint_state*> found;
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        const endpoint_record& record = it->second.record;
        const bool expired = it->second.kept_until && now >= *it->second.kept_until;
        if (record.service == service && !record.draining && !expired &&
            !out_of_service_.contains(record.zone))
        {
            found.push_back(&it->second);
        }
    }
    return found;
}

std::vector<const endpoint_record*> endpoint_directory::records(const service_id& service) const
{
    std::vector<const endpoint_record*> found;
    for (auto it = endpoints_.begin(); it != endpoints_.end(); ++it)
    {
        if (it->second.record.service == service)
        {
            found.push_back(&it->second.record);
        }
    }
    return found;
}

const endpoint_state* endpoint_directory::find(const endpoint_id& id) const
{
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

const endpoint_state* endpoint_directory::find_by_hash(std::uint64_t hash) const
{
    const auto it = by_hash_.find(hash);
    return it == by_hash_.end() ? nullptr : find(it->second);
}

double endpoint_directory::estimated_load(const endpoint_state& endpoint, time_point now) const
{
    if (now - fleet_loads_at_ > config_.fleet_loads_ttl)
    {
        return observed_load(endpoint, now);
    }
    const double sum = static_cast<double>(endpoint.in_flight) + endpoint.other_routers_in_flight;
    const bool reported = now - endpoint.reported_load_at <= config_.fresh_report_ttl;
    return reported ? std::max(sum, observed_load(endpoint, now)) : sum;
}

double endpoint_directory::observed_load(const endpoint_state& endpoint, time_point now) const
{
    const double own = static_cast<double>(endpoint.in_flight);
    const millis age = now - endpoint.reported_load_at;
    if (age > config_.report_ttl)
    {
        return own;
    }
    if (age > config_.full_weight_report_ttl)
    {
        return std::max(own, endpoint.reported_load / 2.0);
    }
    const double since = own - static_cast<double>(endpoint.in_flight_at_report);
    return std::max(own, endpoint.reported_load + since);
}

} // namespace endivestage
