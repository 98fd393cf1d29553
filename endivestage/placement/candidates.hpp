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

/// \brief An engine that may serve chats of a pool.
struct pool_engine
{
    std::uint64_t hash = 0; ///< hash64 of the endpoint's name; equal on all routers.
    double capacity = 1.0;  ///< Weight; positive, in a unit common to the pool.
    std::uint32_t zone = 0; ///< Small number of the availability zone, local to the caller.
    bool usable = true;     ///< False while leaving, out of service or suspected.
};

/// \brief Ranks the engines of one pool for chats.
///
/// Ranks equal those of rank_by_rendezvous over the usable engines, except that the second rank is
/// the best engine of another zone than the first when there is one.
class candidate_ranking
{
public:
    candidate_ranking() = default;

    /// \param engines All engines of the pool; results are positions in this span.
    explicit candidate_ranking(std::span<const pool_engine> engines);

    /// \brief Changes whether an engine takes part. Other engines keep their chats.
    /// \param position Position given to the constructor; must be in range.
    void set_usable(std::size_t position, bool usable);

    /// \returns Positions of the best \p limit usable engines, best first; fewer when fewer are
    /// usable.
    /// \param chat_key Hash of the chat id, see chat_key().
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
    void put_other_zone_second(std::vector<std::size_t>& ranked, std::uint64_t chat_key) const;
    std::vector<std::size_t> best(std::uint64_t chat_key, std::size_t limit,
                                  const std::uint32_t* other_than_zone) const;

    std::vector<pool_engine> engines_;
    std::vector<std::uint32_t> zones_;
    std::vector<weight_class> classes_; // Usable engines grouped by equal capacity.
};

/// \returns The key under which a chat is ranked and remembered.
std::uint64_t chat_key(const chat_id& chat);

} // namespace endivestage
