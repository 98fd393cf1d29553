/// \file
/// \brief Directory of the engines that have parts of prompts in their prefix caches.
#pragma once

#include <endivestage/core.hpp>

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivestage
{

/// \brief A part of a prompt that other requests may share. The parts of a prompt follow each other
/// from its beginning.
struct prompt_part
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0; ///< Length of the part.

    bool operator==(const prompt_part&) const = default;
};

/// \brief Announcement to other routers that an engine has a part of a prompt cached.
struct prefix_sighting
{
    std::uint64_t part = 0;   ///< Hash of the part.
    std::uint64_t engine = 0; ///< Hash of the engine's id.

    bool operator==(const prefix_sighting&) const = default;
};

/// \brief Records for each part of a prompt the engines that served it.
///
/// An engine without a prefix can copy it from another engine's cache, which costs less than
/// processing it again. The directory finds an engine to copy from. Its entries come from this
/// router's own requests and from announcements of other routers (\ref prefix_sighting). An
/// outdated entry costs one copy request that transfers nothing.
class prefix_directory
{
public:
    /// \param capacity Maximum number of parts; the least recently used ones are evicted.
    /// \param ttl Older entries are not used, because the engine's cache is bounded and may have
    /// evicted the part.
    explicit prefix_directory(std::size_t capacity = 4096, millis ttl = millis{60000})
        : capacity_(capacity),
          ttl_(ttl)
    {
    }

    /// \brief Records that an engine served a prompt and therefore has all its parts cached.
    /// \returns Sightings to announce to other routers: new ones, and those announced too long ago.
    std::vector<prefix_sighting> record_served(std::span<const prompt_part> parts,
                                               std::uint64_t engine, time_point now);

    /// \brief Applies an announcement of another router.
    /// \returns Whether it was new to this router and should be forwarded.
    bool apply(const prefix_sighting& sighting, time_point now);

    /// \brief Removes an engine from all parts; its cache no longer exists.
    void remove_engine(std::uint64_t engine);

    /// \brief Finds an engine from which \p target can copy the beginning of a prompt.
    /// \param target Hash of the id of the engine that will serve the prompt.
    /// \param usable Predicate on the hash of an engine's id: whether it may be copied from.
    /// \param min_tokens Copying fewer tokens costs more than processing them.
    /// \returns The engine that holds the longest beginning of the prompt, if that is at least
    /// \p min_tokens longer than what \p target holds.
    template <class Usable>
    std::optional<std::uint64_t> find_source(std::span<const prompt_part> parts,
                                             std::uint64_t target, Usable usable,
                                             std::uint32_t min_tokens, time_point now) const;

    /// \returns Whether an unexpired entry says that the engine holds the part.
    bool holds(std::uint64_t part, std::uint64_t engine, time_point now) const;

    /// \returns Whether an unexpired entry says that any engine holds the part.
    bool contains(std::uint64_t part, time_point now) const;

    std::size_t size() const { return parts_.size(); }

private:
    struct holder
    {
        std::uint64_t engine = 0;
        time_point last_seen;
        time_point announced; ///< When the sighting was last exchanged between routers.
    };

    /// Further holders of a part are neither recorded nor announced; these are enough to copy from.
    static constexpr std::size_t max_holders = 8;
    /// Sightings are announced again after this time, for routers that have started since.
    static constexpr millis announce_interval{45000};

    struct entry
    {
        std::vector<holder> holders;
        std::list<std::uint64_t>::iterator position;
    };

    const entry* find(std::uint64_t hash) const;
    bool holds(const entry& part, std::uint64_t engine, time_point now) const;
    entry& touch(std::uint64_t part);
    void evict();

    std::size_t capacity_;
    millis ttl_;
    std::unordered_map<std::uint64_t, entry> parts_;
    std::list<std::uint64_t> recency_; ///< Hashes of parts, most recently used first.
};

template <class Usable>
std::optional<std::uint64_t>
prefix_directory::find_source(std::span<const prompt_part> parts, std::uint64_t target,
                              Usable usable, std::uint32_t min_tokens, time_point now) const
{
    std::optional<std::uint64_t> source;
    std::uint32_t missing_tokens = 0;
    for (const prompt_part& part : parts)
    {
        const entry* recorded = find(part.hash);
        if (recorded == nullptr)
        {
            break;
        }
        if (holds(*recorded, target, now))
        {
            missing_tokens = 0;
            source.reset();
            continue;
        }
        missing_tokens += part.tokens;
        bool found = false;
        // Each target starts at another position of the list, which distributes copies over the
        // holders.
        const std::size_t count = recorded->holders.size();
        for (std::size_t n = 0; n < count; ++n)
        {
            const holder& candidate = recorded->holders[(target + n) % count];
            if (!found && now - candidate.last_seen < ttl_ && usable(candidate.engine))
            {
                found = true;
                if (missing_tokens >= min_tokens)
                {
                    source = candidate.engine;
                }
            }
        }
        if (!found)
        {
            break;
        }
    }
    return source;
}

} // namespace endivestage
