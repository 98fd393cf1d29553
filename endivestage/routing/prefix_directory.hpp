/// \file
/// \brief Which engines were seen to hold which parts of prompts.
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

/// \brief A part of a prompt that other requests may share.
struct prompt_part
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;

    bool operator==(const prompt_part&) const = default;
};

/// \brief News for other routers: an engine holds a part.
struct prefix_sighting
{
    std::uint64_t part = 0;
    std::uint64_t engine = 0; ///< Hash of the engine's id.

    bool operator==(const prefix_sighting&) const = default;
};

/// \brief Remembers for each part of a prompt the engines that served it last.
///
/// An engine that lacks a prefix can copy it from another engine's cache, which costs less than to
/// read it again. The directory names an engine to copy from. It holds what this router saw and
/// what others told it (\ref sighting); a wrong entry costs a request that copies nothing.
class prefix_directory
{
public:
    /// \param capacity Parts remembered; the least recently used ones yield.
    /// \param lifetime Entries older than this are not used, since the engine's cache is bounded.
    explicit prefix_directory(std::size_t capacity = 4096, millis lifetime = millis{60000})
        : capacity_(capacity),
          lifetime_(lifetime)
    {
    }

    /// \brief The engine has read all parts.
    /// \returns What other routers may not know yet.
    std::vector<prefix_sighting> record_served(std::span<const prompt_part> parts,
                                               std::uint64_t engine, time_point now);

    /// \brief Another router saw it.
    /// \returns Whether it is news that should be passed on.
    bool apply(const prefix_sighting& seen, time_point now);

    /// \brief The engine's cache is gone.
    void remove_engine(std::uint64_t engine);

    /// \param target,usable Hashes of engines' ids; usable ones may be copied from.
    /// \param least_tokens Fewer tokens are not worth a copy.
    /// \returns An engine that holds more of the prompt's beginning than \p target does, by at
    /// least \p least_tokens; the one that holds most.
    template <class Usable>
    std::optional<std::uint64_t> find_source(std::span<const prompt_part> parts,
                                             std::uint64_t target, Usable usable,
                                             std::uint32_t min_tokens, time_point now) const;

    /// \returns Whether the engine is known to hold a part.
    bool holds(std::uint64_t part, std::uint64_t engine, time_point now) const;

    /// \returns Whether any engine is known to hold a part.
    bool contains(std::uint64_t part, time_point now) const;

    std::size_t size() const { return parts_.size(); }

private:
    struct holder
    {
        std::uint64_t engine = 0;
        time_point seen;
        time_point announced; ///< When routers last told each other.
    };

    /// More holders than this are not told about: there are sources enough.
    static constexpr std::size_t max_holders = 8;
    /// Routers that start learn what is told again.
    static constexpr millis announce_interval{45000};

    struct entry
    {
        std::vector<holder> holders; ///< The latest first.
        std::list<std::uint64_t>::iterator position;
    };

    const entry* find(std::uint64_t hash) const;
    bool holds(const entry& part, std::uint64_t engine, time_point now) const;
    entry& touch(std::uint64_t part);
    void trim();

    std::size_t capacity_;
    millis lifetime_;
    std::unordered_map<std::uint64_t, entry> parts_;
    std::list<std::uint64_t> recency_; ///< The latest first.
};

template <class Usable>
std::optional<std::uint64_t>
prefix_directory::find_source(std::span<const prompt_part> parts, std::uint64_t target,
                              Usable usable, std::uint32_t min_tokens, time_point now) const
{
    std::optional<std::uint64_t> best;
    std::uint32_t missing = 0;
    for (const prompt_part& part : parts)
    {
        const entry* known = find(part.hash);
        if (known == nullptr)
        {
            break;
        }
        if (holds(*known, target, now))
        {
            missing = 0;
            best.reset();
            continue;
        }
        missing += part.tokens;
        bool found = false;
        // Each target begins elsewhere in the list, which spreads copies over the holders.
        const std::size_t count = known->holders.size();
        for (std::size_t n = 0; n < count; ++n)
        {
            const holder& candidate = known->holders[(target + n) % count];
            if (!found && now - candidate.seen < lifetime_ && usable(candidate.engine))
            {
                found = true;
                if (missing >= min_tokens)
                {
                    best = candidate.engine;
                }
            }
        }
        if (!found)
        {
            break;
        }
    }
    return best;
}

} // namespace endivestage
