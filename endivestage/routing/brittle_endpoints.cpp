#include <endivestage/routing/brittle_endpoints.hpp>

#include <algorithm>
#include <charconv>

namespace endivestage
{

std::string encode_rejection_limit(std::uint32_t per_second)
{
    return std::to_string(per_second);
}

std::optional<std::uint32_t> decode_rejection_limit(std::string_view text)
{
    std::uint32_t per_second = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), per_second);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole && per_second > 0 ? std::optional<std::uint32_t>(per_second) : std::nullopt;
}

bool brittle_endpoints::record_statement(const service_id& service, std::uint32_t per_second,
                                         time_point now)
{
    const auto it = services_.find(service);
    if (it == services_.end() || now - it->second.stated_at >= ttl)
    {
        services_[service] = {per_second, now, now - repeat_interval};
        return true;
    }
    // A higher limit of another endpoint does not prolong the lowest one.
    if (per_second <= it->second.per_second)
    {
        it->second.per_second = per_second;
        it->second.stated_at = now;
    }
    return false;
}

std::optional<std::uint32_t>
brittle_endpoints::record_answer(const endpoint_record& endpoint,
                                 std::optional<std::uint32_t> per_second, time_point now)
{
    const bool known = services_.contains(endpoint.service);
    if (!per_second && !known)
    {
        return std::nullopt;
    }
    answers_[endpoint.id] = {per_second, now};
    if (!per_second)
    {
        return std::nullopt;
    }
    record_statement(endpoint.service, *per_second, now);
    service_statement& statement = services_[endpoint.service];
    if (now - statement.announced_at < repeat_interval)
    {
        return std::nullopt;
    }
    statement.announced_at = now;
    return statement.per_second;
}

bool brittle_endpoints::record_announcement(const service_id& service, std::uint32_t per_second,
                                            time_point now)
{
    const bool is_new = record_statement(service, per_second, now);
    services_[service].announced_at = now;
    return is_new;
}

std::optional<std::uint32_t> brittle_endpoints::limit(const endpoint_record& endpoint,
                                                      time_point now) const
{
    const auto service = services_.find(endpoint.service);
    if (service == services_.end() || now - service->second.stated_at >= ttl)
    {
        return std::nullopt;
    }
    const auto answer = answers_.find(endpoint.id);
    const bool answered = answer != answers_.end() && now - answer->second.at < ttl;
    if (!answered)
    {
        return service->second.per_second;
    }
    const bool outdated =
        !answer->second.per_second && answer->second.at < service->second.stated_at;
    return outdated ? std::optional<std::uint32_t>(service->second.per_second)
                    : answer->second.per_second;
}

std::size_t brittle_endpoints::services(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(services_.begin(), services_.end(),
                      [&](const std::pair<const service_id, service_statement>& entry)
                      { return now - entry.second.stated_at < ttl; }));
}

void brittle_endpoints::expire(time_point now)
{
    std::erase_if(services_, [&](const std::pair<const service_id, service_statement>& entry)
                  { return now - entry.second.stated_at >= ttl; });
    std::erase_if(answers_, [&](const std::pair<const endpoint_id, endpoint_answer>& entry)
                  { return now - entry.second.at >= ttl; });
}

} // namespace endivestage
