#include <endivestage/serving/connection_pool.hpp>

#include <utility>

namespace endivestage::serving
{

connection_pool::connection_ptr connection_pool::acquire(const endpoint_id& endpoint,
                                                         millis max_idle_time)
{
    const auto it = idle_.find(endpoint);
    if (it == idle_.end())
    {
        return nullptr;
    }
    const time_point now = time_.now();
    while (!it->second.empty())
    {
        entry last = std::move(it->second.back());
        it->second.pop_back();
        if (now - last.idle_since > max_idle_time)
        {
            // The remaining connections have been idle for even longer.
            it->second.clear();
            return nullptr;
        }
        if (now < last.expires_at && last.connection->quiet())
        {
            return last.connection;
        }
    }
    return nullptr;
}

void connection_pool::release(const endpoint_id& endpoint, connection_ptr connection,
                              millis idle_timeout)
{
    const time_point now = time_.now();
    if (idle_timeout <= close_margin)
    {
        return;
    }
    idle_[endpoint].push_back({std::move(connection), now, now + idle_timeout - close_margin});
}

bool connection_pool::has_idle_since(const endpoint_id& endpoint, time_point since) const
{
    const auto it = idle_.find(endpoint);
    return it != idle_.end() && !it->second.empty() && it->second.back().idle_since >= since;
}

void connection_pool::close_idle_before(time_point since)
{
    for (auto it = idle_.begin(); it != idle_.end();)
    {
        while (!it->second.empty() && it->second.front().idle_since < since)
        {
            it->second.pop_front();
        }
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

void connection_pool::close_all(const endpoint_id& endpoint)
{
    idle_.erase(endpoint);
}

void connection_pool::expire()
{
    const time_point now = time_.now();
    for (auto it = idle_.begin(); it != idle_.end();)
    {
        while (!it->second.empty() && it->second.front().expires_at <= now)
        {
            it->second.pop_front();
        }
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::size_t connection_pool::size() const
{
    std::size_t total = 0;
    for (auto it = idle_.begin(); it != idle_.end(); ++it)
    {
        total += it->second.size();
    }
    return total;
}

} // namespace endivestage::serving
