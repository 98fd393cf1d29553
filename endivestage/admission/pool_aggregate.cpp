#include <endivestage/admission/pool_aggregate.hpp>

#include <algorithm>

namespace endivestage
{

pool_aggregate::pool_aggregate(const aggregate_config& config, time_point now)
    : config_(config),
      started_(now)
{
}

void pool_aggregate::update(const router_id& owner, std::uint64_t view,
                            std::span<const engine_load> engines, millis age, time_point now)
{
    std::erase_if(engines_,
                  [&](const auto& item) {
                      return item.second.owner == owner ||
                             now - item.second.sampled_at > config_.digest_ttl;
                  });
    for (const engine_load& engine : engines)
    {
        auto [it, added] = engines_.try_emplace(engine.engine);
        if (added || it->second.view <= view)
        {
            it->second = {owner, view, engine.load, engine.capacity, now - age};
        }
    }
}

std::optional<pool_mean> pool_aggregate::mean(time_point now) const
{
    if (now - started_ < config_.warm_up_period)
    {
        return std::nullopt;
    }
    pool_mean sums;
    for (const auto& [engine, entry] : engines_)
    {
        if (now - entry.sampled_at <= config_.digest_ttl)
        {
            sums.load += entry.load;
            sums.capacity += entry.capacity;
            sums.oldest_age = std::max(sums.oldest_age, now - entry.sampled_at);
        }
    }
    return sums.capacity > 0.0 ? std::optional(sums) : std::nullopt;
}

} // namespace endivestage
