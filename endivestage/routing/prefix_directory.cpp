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
                       { return h.engine == engine && now - h.seen < lifetime_; });
}

bool prefix_directory::holds(std::uint64_t part, std::uint64_t engine, time_point now) const
{
    const entry* known = find(part);
    return known != nullptr && holds(*known, engine, now);
}

bool prefix_directory::contains(std::uint64_t part, time_point now) const
{
    const entry* known = find(part);
    return known != nullptr &&
           std::any_of(known->holders.begin(), known->holders.end(),
                       [&](const holder& h) { return now - h.seen < lifetime_; });
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

void prefix_directory::trim()
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
    std::vector<prefix_sighting> news;
    for (const prompt_part& part : parts)
    {
        entry& known = touch(part.hash);
        const auto it = std::find_if(known.holders.begin(), known.holders.end(),
                                     [&](const holder& h) { return h.engine == engine; });
        if (it != known.holders.end())
        {
            it->seen = now;
            if (now - it->announced > announce_interval)
            {
                it->announced = now;
                news.push_back({part.hash, engine});
            }
        }
        else if (known.holders.size() < max_holders)
        {
            known.holders.push_back({engine, now, now});
            news.push_back({part.hash, engine});
        }
    }
    trim();
    return news;
}

bool prefix_directory::apply(const prefix_sighting& seen, time_point now)
{
    entry& known = touch(seen.part);
    const auto it = std::find_if(known.holders.begin(), known.holders.end(),
                                 [&](const holder& h) { return h.engine == seen.engine; });
    bool news = false;
    if (it != known.holders.end())
    {
        news = now - it->announced > announce_interval;
        it->seen = now;
        it->announced = now;
    }
    else if (known.holders.size() < max_holders)
    {
        known.holders.push_back({seen.engine, now, now});
        news = true;
    }
    trim();
    return news;
}

void prefix_directory::remove_engine(std::uint64_t engine)
{
    for (auto it = parts_.begin(); it != parts_.end(); ++it)
    {
        std::erase_if(it->second.holders, [&](const holder& h) { return h.engine == engine; });
    }
}

} // namespace endivestage
