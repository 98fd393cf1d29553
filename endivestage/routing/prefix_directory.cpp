#include <endivestage/routing/prefix_directory.hpp>

#include <algorithm>

namespace endivestage
{

const prefix_directory::entry* prefix_directory::find(std::uint64_t hash) const
{
    const auto it = parts_.find(hash);
    return it == parts_.end() ? nullptr : &it->second;
}

bool prefix_directory::holds(const entry& part, std::uint64_t engine, time_point now) const
{
    return std::any_of(part.holders.begin(), part.holders.end(),
                       [&](const holder& h)
                       { return h.engine == engine && now - h.last_seen < ttl_; });
}

bool prefix_directory::holds(std::uint64_t part, std::uint64_t engine, time_point now) const
{
    const entry* recorded = find(part);
    return recorded != nullptr && holds(*recorded, engine, now);
}

bool prefix_directory::contains(std::uint64_t part, time_point now) const
{
    const entry* recorded = find(part);
    return recorded != nullptr &&
           std::any_of(recorded->holders.begin(), recorded->holders.end(),
                       [&](const holder& h) { return now - h.last_seen < ttl_; });
}

prefix_directory::entry& prefix_directory::touch(std::uint64_t part)
{
    const auto [it, inserted] = parts_.try_emplace(part);
    if (inserted)
    {
        recency_.push_front(part);
    }
    else
    {
        recency_.splice(recency_.begin(), recency_, it->second.position);
    }
    it->second.position = recency_.begin();
    return it->second;
}

void prefix_directory::evict()
{
    while (parts_.size() > capacity_)
    {
        parts_.erase(recency_.back());
        recency_.pop_back();
    }
}

std::vector<prefix_sighting> prefix_directory::record_served(std::span<const prompt_part> parts,
                                                             std::uint64_t engine, time_point now)
{
    std::vector<prefix_sighting> announcements;
    for (const prompt_part& part : parts)
    {
        entry& recorded = touch(part.hash);
        const auto it = std::find_if(recorded.holders.begin(), recorded.holders.end(),
                                     [&](const holder& h) { return h.engine == engine; });
        if (it != recorded.holders.end())
        {
            it->last_seen = now;
            if (now - it->announced > announce_interval)
            {
                it->announced = now;
                announcements.push_back({part.hash, engine});
            }
        }
        else if (recorded.holders.size() < max_holders)
        {
            recorded.holders.push_back({engine, now, now});
            announcements.push_back({part.hash, engine});
        }
    }
    evict();
    return announcements;
}

bool prefix_directory::apply(const prefix_sighting& sighting, time_point now)
{
    entry& recorded = touch(sighting.part);
    const auto it = std::find_if(recorded.holders.begin(), recorded.holders.end(),
                                 [&](const holder& h) { return h.engine == sighting.engine; });
    bool is_new = false;
    if (it != recorded.holders.end())
    {
        is_new = now - it->announced > announce_interval;
        it->last_seen = now;
        it->announced = now;
    }
    else if (recorded.holders.size() < max_holders)
    {
        recorded.holders.push_back({sighting.engine, now, now});
        is_new = true;
    }
    evict();
    return is_new;
}

void prefix_directory::remove_engine(std::uint64_t engine)
{
    for (auto it = parts_.begin(); it != parts_.end(); ++it)
    {
        std::erase_if(it->second.holders, [&](const holder& h) { return h.engine == engine; });
    }
}

} // namespace endivestage
