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
/// \param seed Selects one of many independent hash functions.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// \brief Score of a node for a key under weighted rendezvous hashing; the largest score wins.
///
/// The score is -weight / ln(u), where u is derived from both hashes and uniform in (0, 1), so that
/// a node of twice the weight wins twice as many keys.
/// \param weight Capacity of the node in any unit common to all nodes; must be positive.
/// \sa rank_by_rendezvous
double rendezvous_score(std::uint64_t key_hash, std::uint64_t node_hash, double weight = 1.0);

/// \brief A node to be ranked by rank_by_rendezvous.
struct weighted_node
{
    std::uint64_t hash = 0;
    double weight = 1.0;
};

/// \returns Positions in \p nodes of the nodes with the largest scores for the key, largest first.
/// \param limit Maximum number of positions; fewer are returned when there are fewer nodes.
std::vector<std::size_t>
rank_by_rendezvous(std::uint64_t key_hash, std::span<const weighted_node> nodes, std::size_t limit);

} // namespace endivestage
