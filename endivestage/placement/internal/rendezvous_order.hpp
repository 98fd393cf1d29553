/// \file
/// \brief Order of nodes of equal weight by rendezvous hashing, without computing their scores.
#pragma once

#include <cstdint>

namespace endivestage::internal
{

/// \brief Sort key of a node, for the comparison with nodes of equal weight.
///
/// Nodes of equal weight have the same order by this value as by rendezvous_score, which is
/// monotone in these 53 bits. The score needs a logarithm per node: with 600 engines, ranking by
/// score exceeds the 5 us that a placement decision may take.
/// A test compares the two orders.
/// \returns A value that is larger for a better rank.
inline std::uint64_t rendezvous_order(std::uint64_t key_hash, std::uint64_t node_hash)
{
    std::uint64_t x = key_hash ^ (node_hash + 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    x ^= x >> 31U;
    return x >> 11U;
}

} // namespace endivestage::internal
