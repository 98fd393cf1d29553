/// \file
/// \brief Candidate engines of a chat by weighted rendezvous hashing.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace endivestage
{

/// \brief An engine of a pool, as the ranking needs it.
struct pool_engine
{
    std::uint64_t hash = 0; ///< hash64 of the endpoint name; equal on all routers.
    double capacity = 1.0;  ///< Weight; positive, in a unit common to the pool.
    std::uint32_t zone = 0; ///< Number of the availability zone, assigned by the caller.
    bool usable = true;     ///< False while the engine is leaving, out of service or suspected.
};

/// \brief Ranks the engines of one pool for each chat.
///
/// The order is that of rank_by_rendezvous over the usable engines, with one exception: the second
/// rank is the best engine outside of the zone of the first, if there is one.
class candidate_ranking
{
public:
    candidate_ranking() = default;

    /// \param engines All engines of the pool; results are positions in this span.
    explicit candidate_ranking(std::span<const pool_engine> engines);

    /// \brief Adds an engine to the ranking or removes it. Chats whose first rank is another engine
    /// keep it, unless the added engine ranks before it.
    /// \param position Position of the engine in the constructor's span; must be in range.
    void set_usable(std::size_t position, bool usable);

    /// \param chat_key Hash of the chat id, see chat_key().
    /// \returns Positions of the best \p limit usable engines, best first; fewer when fewer are
    /// usable.
    std::vector<std::size_t> candidates(std::uint64_t chat_key, std::size_t limit) const;

    /// \returns Number of usable engines.
    std::size_t usable_count() const;

    /// \returns Number of engines, usable or not.
    std::size_t size() const { return zones_.size(); }

private:
    struct weight_class
    {
        double capacity = 1.0;
        std::vector<std::uint64_t> hashes;
        std::vector<std::uint32_t> positions;
    };

    void rebuild();
    void move_other_zone_second(std::vector<std::size_t>& ranked, std::uint64_t chat_key) const;
    std::vector<std::size_t> best(std::uint64_t chat_key, std::size_t limit,
                                  const std::uint32_t* excluded_zone) const;

    std::vector<pool_engine> engines_;
    std::vector<std::uint32_t> zones_;
    std::vector<weight_class> classes_; // Usable engines grouped by equal capacity.
};

/// \returns The hash by which a chat is ranked and recorded in a recency_index.
std::uint64_t chat_key(const chat_id& chat);

} // namespace endivestage
