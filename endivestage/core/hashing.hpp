/// \file
/// \brief Hashing for placement. All routers must compute equal values for equal names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \returns The 64-bit xxHash (XXH3) of the bytes of \p data.
/// \param seed Gives independent hash functions for different uses.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// \brief Score of a node for a key under weighted rendezvous hashing; the largest score wins.
///
/// Uses -weight / ln(u) with u uniform in (0, 1) drawn from both hashes, so a node of twice the
/// weight wins twice as many keys.
/// \param weight Capacity of the node in any unit common to all nodes; must be positive.
/// \sa rank_by_rendezvous
double rendezvous_score(std::uint64_t key_hash, std::uint64_t node_hash, double weight = 1.0);

/// \brief A node that takes part in a ranking.
struct weighted_node
{
    std::uint64_t hash = 0;
    double weight = 1.0;
};

/// \returns Positions in \p nodes of the best \p limit nodes for the key, best first.
/// \param limit Number of positions wanted; fewer are returned when there are fewer nodes.
std::vector<std::size_t>
rank_by_rendezvous(std::uint64_t key_hash, std::span<const weighted_node> nodes, std::size_t limit);

} // namespace endivestage
