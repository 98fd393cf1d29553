#include <endivestage/continuation/version_history.hpp>

#include <algorithm>

namespace endivestage
{

std::string version_name(const endpoint_record& endpoint)
{
    if (!endpoint.version.empty())
    {
        return "version " + endpoint.version;
    }
    return "endpoint " + endpoint.id.str() + " " + std::to_string(endpoint.started_at);
}

std::uint64_t version_key(const endpoint_record& endpoint)
{
    return hash64(version_name(endpoint));
}

void version_history::expire(service_versions& known, time_point now) const
{
    std::erase_if(known.last_seen, [&](const std::pair<const std::string, time_point>& entry)
                  { return now - entry.second >= retention_; });
}

bool version_history::record_endpoint(const endpoint_record& endpoint, time_point now)
{
    service_versions& known = services_[endpoint.service];
    expire(known, now);
    const std::size_t before = known.last_seen.size();
    known.last_seen[version_name(endpoint)] = now;
    return before == 1 && known.last_seen.size() == 2;
}

void version_history::restore(const service_id& service, std::span<const std::string> versions,
                              time_point now)
{
    service_versions& known = services_[service];
    known.stored = {versions.begin(), versions.end()};
    for (const std::string& version : versions)
    {
        known.last_seen.try_emplace(version, now);
    }
}

void version_history::record_erased(const service_id& service)
{
    const auto it = services_.find(service);
    if (it != services_.end())
    {
        it->second.stored.clear();
    }
}

void version_history::refresh(const service_id& service, const endpoint_directory& endpoints,
                              time_point now)
{
    service_versions& known = services_[service];
    for (const endpoint_record* endpoint : endpoints.records(service))
    {
        known.last_seen[version_name(*endpoint)] = now;
    }
    expire(known, now);
}

bool version_history::is_mixed(const service_id& service) const
{
    const auto it = services_.find(service);
    return it != services_.end() && it->second.last_seen.size() > 1;
}

std::vector<std::uint64_t> version_history::versions(const service_id& service) const
{
    std::vector<std::uint64_t> keys;
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return keys;
    }
    const std::map<std::string, time_point>& seen = found->second.last_seen;
    keys.reserve(seen.size());
    for (auto it = seen.begin(); it != seen.end(); ++it)
    {
        keys.push_back(hash64(it->first));
    }
    return keys;
}

std::vector<version_row> version_history::find_due(std::span<const service_id> services,
                                                   time_point now)
{
    std::vector<version_row> due;
    for (const service_id& service : services)
    {
        service_versions& known = services_[service];
        std::set<std::string> wanted;
        for (auto it = known.last_seen.begin();
             it != known.last_seen.end() && wanted.size() < config_.max_listed; ++it)
        {
            wanted.insert(it->first);
        }
        if (wanted.empty() || wanted == known.stored ||
            now - known.written_at < config_.retry_interval)
        {
            continue;
        }
        known.written_at = now;
        due.push_back({service, {wanted.begin(), wanted.end()}});
    }
    return due;
}

} // namespace endivestage
