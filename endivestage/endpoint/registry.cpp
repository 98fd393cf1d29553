#include <endivestage/endpoint/registry.hpp>

#include <algorithm>
#include <cassert>
#include <set>

namespace endivestage
{

std::string_view to_string(endpoint_status status)
{
    switch (status)
    {
    case endpoint_status::usable:
        return "usable";
    case endpoint_status::unknown:
        return "unknown";
    case endpoint_status::leaving:
        return "leaving";
    case endpoint_status::zone_out_of_service:
        return "zone_out_of_service";
    case endpoint_status::gone:
        return "gone";
    case endpoint_status::suspected:
        return "suspected";
    case endpoint_status::held_down:
        break;
    }
    return "held_down";
}

void endpoint_registry::apply(std::shared_ptr<const fleet_configuration> configuration)
{
    assert(configuration != nullptr);
    configuration_ = std::move(configuration);
    std::map<endpoint_id, endpoint_health> next;
    for (const pool& model_pool : configuration_->pools)
    {
        for (const endpoint_entry& entry : model_pool.engines)
        {
            insert(next, entry);
        }
    }
    for (const service& entry : configuration_->services)
    {
        for (const service_pool& region_pool : entry.pools)
        {
            for (const endpoint_entry& endpoint : region_pool.endpoints)
            {
                insert(next, endpoint);
            }
        }
    }
    endpoints_ = std::move(next);
}

void endpoint_registry::insert(std::map<endpoint_id, endpoint_health>& next,
                               const endpoint_entry& entry) const
{
    endpoint_health health;
    const auto it = endpoints_.find(entry.id);
    // An id with another address is another process, to which earlier failures do not apply.
    if (it != endpoints_.end() && it->second.entry.host == entry.host &&
        it->second.entry.port == entry.port)
    {
        health = it->second;
    }
    health.entry = entry;
    next.emplace(entry.id, std::move(health));
}

void endpoint_registry::on_host_list(const host_list& list, time_point now)
{
    if (revision_ && list.revision <= *revision_)
    {
        return;
    }
    revision_ = list.revision;
    for (const host_entry& entry : list.hosts)
    {
        update_host(entry, now);
    }
    mark_missing_hosts(list, now);
}

void endpoint_registry::update_host(const host_entry& entry, time_point now)
{
    const auto [it, inserted] = hosts_.try_emplace(entry.host);
    known_host& host = it->second;
    const bool restarted = !inserted && entry.generation > host.generation;
    if (restarted && !host.gone)
    {
        on_host_gone(entry.host, now);
    }
    const bool returned = host.gone || restarted;
    // An entry that is not marked as leaving does not undo the mark, because the list may lag
    // behind the host.
    const bool still_leaving = host.leaving && !returned;
    host = {std::max(host.generation, entry.generation),
            entry.state == host_state::leaving || still_leaving, false};
    if (returned)
    {
        on_host_returned(entry.host, now);
    }
}

void endpoint_registry::mark_missing_hosts(const host_list& list, time_point now)
{
    std::set<std::string_view> present;
    for (const host_entry& entry : list.hosts)
    {
        present.insert(entry.host);
    }
    for (auto& [name, host] : hosts_)
    {
        if (!host.gone && !present.contains(name))
        {
            on_host_gone(name, now);
            host.gone = true;
            host.leaving = false;
        }
    }
}

void endpoint_registry::on_host_returned(const std::string& host, time_point now)
{
    for (auto& [id, health] : endpoints_)
    {
        if (health.entry.host == host)
        {
            health.suspected = false;
            health.probe_failed_at.reset();
            health.connection_failed_at.reset();
            start_hold_down(health, now);
        }
    }
}

void endpoint_registry::on_host_gone(const std::string& host, time_point now)
{
    for (auto& [id, health] : endpoints_)
    {
        if (health.entry.host != host)
        {
            continue;
        }
        // A planned departure is no failure, and the failure of a suspected endpoint has already
        // been counted.
        if (!is_leaving(health) && !health.suspected)
        {
            count_failure(health, now);
        }
        health.announced_leaving = false;
    }
}

void endpoint_registry::on_leaving(const endpoint_id& id)
{
    endpoint_health* health = find(id);
    if (health != nullptr)
    {
        health->announced_leaving = true;
    }
}

void endpoint_registry::on_probe(const endpoint_id& id, bool success, time_point now)
{
    endpoint_health* health = find(id);
    if (health != nullptr)
    {
        record_result(*health, health->probe_failed_at, success, now);
    }
}

void endpoint_registry::on_connection(const endpoint_id& id, bool success, time_point now)
{
    endpoint_health* health = find(id);
    if (health != nullptr)
    {
        record_result(*health, health->connection_failed_at, success, now);
    }
}

void endpoint_registry::record_result(endpoint_health& health, std::optional<time_point>& failed_at,
                                      bool success, time_point now) const
{
    if (!success)
    {
        failed_at = now;
        suspect_if_both_failed(health, now);
        return;
    }
    health.probe_failed_at.reset();
    health.connection_failed_at.reset();
    if (health.suspected)
    {
        health.suspected = false;
        start_hold_down(health, now);
    }
}

void endpoint_registry::suspect_if_both_failed(endpoint_health& health, time_point now) const
{
    const auto recent = [&](const std::optional<time_point>& failed_at)
    {
        return failed_at && now - *failed_at <= config_.suspicion_window;
    };
    if (!health.suspected && recent(health.probe_failed_at) && recent(health.connection_failed_at))
    {
        health.suspected = true;
        count_failure(health, now);
    }
}

void endpoint_registry::count_failure(endpoint_health& health, time_point now) const
{
    if (health.last_failure_at && now - *health.last_failure_at >= config_.failure_count_ttl)
    {
        health.failure_count = 0;
    }
    ++health.failure_count;
    health.last_failure_at = now;
}

void endpoint_registry::start_hold_down(endpoint_health& health, time_point now) const
{
    if (health.failure_count < 2)
    {
        return;
    }
    millis duration = config_.initial_hold_down;
    for (std::uint32_t n = 2; n < health.failure_count && duration < config_.max_hold_down; ++n)
    {
        duration = duration * 2;
    }
    health.held_down_until = now + std::min(duration, config_.max_hold_down);
}

endpoint_registry::endpoint_health* endpoint_registry::find(const endpoint_id& id)
{
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

const endpoint_registry::known_host*
endpoint_registry::find_host(const endpoint_health& health) const
{
    const auto it = hosts_.find(health.entry.host);
    return it == hosts_.end() ? nullptr : &it->second;
}

bool endpoint_registry::is_leaving(const endpoint_health& health) const
{
    const known_host* host = find_host(health);
    return health.announced_leaving || (host != nullptr && host->leaving);
}

bool endpoint_registry::is_gone(const endpoint_health& health) const
{
    // Until the first host list arrives, only the configuration counts: a router that starts while
    // the list is unavailable must still find endpoints.
    const known_host* host = find_host(health);
    return host == nullptr ? revision_.has_value() : host->gone;
}

endpoint_status endpoint_registry::status(const endpoint_id& id, const zone_table& zones,
                                          time_point now) const
{
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? endpoint_status::unknown : status_of(it->second, zones, now);
}

endpoint_status endpoint_registry::status_of(const endpoint_health& health, const zone_table& zones,
                                             time_point now) const
{
    if (is_leaving(health))
    {
        return endpoint_status::leaving;
    }
    if (!zones.in_service(health.entry.zone))
    {
        return endpoint_status::zone_out_of_service;
    }
    if (is_gone(health))
    {
        return endpoint_status::gone;
    }
    if (health.suspected)
    {
        return endpoint_status::suspected;
    }
    const bool held_down = health.held_down_until && now < *health.held_down_until;
    return held_down ? endpoint_status::held_down : endpoint_status::usable;
}

std::vector<usable_endpoint>
endpoint_registry::find_usable(const pool_id& id, const zone_table& zones, time_point now) const
{
    const pool* model_pool = configuration_ == nullptr ? nullptr : configuration_->find(id);
    std::vector<const endpoint_entry*> entries;
    if (model_pool != nullptr)
    {
        for (const endpoint_entry& entry : model_pool->engines)
        {
            entries.push_back(&entry);
        }
    }
    return select(entries, zones, now);
}

std::vector<usable_endpoint> endpoint_registry::find_usable(const service_id& id,
                                                            const region_id& region,
                                                            const zone_table& zones,
                                                            time_point now) const
{
    const service* found = configuration_ == nullptr ? nullptr : configuration_->find(id);
    std::vector<const endpoint_entry*> entries;
    if (found != nullptr)
    {
        for (const service_pool& region_pool : found->pools)
        {
            for (const endpoint_entry& entry : region_pool.endpoints)
            {
                if (region.empty() || region_pool.region == region)
                {
                    entries.push_back(&entry);
                }
            }
        }
    }
    std::sort(entries.begin(), entries.end(),
              [](const endpoint_entry* a, const endpoint_entry* b) { return a->id < b->id; });
    return select(entries, zones, now);
}

std::vector<usable_endpoint>
endpoint_registry::select(std::span<const endpoint_entry* const> entries, const zone_table& zones,
                          time_point now) const
{
    std::vector<usable_endpoint> usable;
    std::vector<usable_endpoint> held_down;
    for (const endpoint_entry* entry : entries)
    {
        const endpoint_status status = status_of(endpoints_.at(entry->id), zones, now);
        if (status == endpoint_status::usable || status == endpoint_status::held_down)
        {
            (status == endpoint_status::usable ? usable : held_down)
                .push_back({entry->id, entry->host, entry->port, entry->zone, entry->capacity});
        }
    }
    return usable.empty() ? held_down : usable;
}

} // namespace endivestage
